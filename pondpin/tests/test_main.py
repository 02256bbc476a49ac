"""The entry point ignores SIGHUP before it imports the program."""

import signal
import subprocess
import sys
import unittest

SCRIPT = """
import signal, sys
import pondpin.main
assert "pydantic" not in sys.modules and "twisted" not in sys.modules, "loads too much"
seen = []
class Watch:
    def find_spec(self, name, path=None, target=None):
        if name == "pondpin.launch":
            seen.append(signal.getsignal(signal.SIGHUP))
sys.meta_path.insert(0, Watch())
sys.argv = ["pondpin-entry", "--version"]
pondpin.main.main()
print(seen == [signal.SIG_IGN])
"""


class MainTest(unittest.TestCase):
    def setUp(self) -> None:
        # Under nohup the test run ignores SIGHUP: not to be attributed to the program.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)

    def test_sighup_while_loading_is_ignored(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(result.stdout.splitlines()[-1], "True")

    def test_missing_settings_exit_with_a_message(self) -> None:
        result = subprocess.run(
            [sys.executable, "-m", "pondpin.main", "--settings=/nowhere"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("/nowhere", result.stderr)
        self.assertNotEqual(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)


if __name__ == "__main__":
    unittest.main()
