"""The entry point: prepared for signals before it loads anything."""

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
        # A test run that outlives its terminal ignores hang-ups: that is not the program's doing.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)

    def test_a_hang_up_while_loading_does_not_end_it(self) -> None:
        answer = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(answer.stdout.splitlines()[-1], "True")

    def test_settings_that_are_missing_end_with_a_message(self) -> None:
        answer = subprocess.run(
            [sys.executable, "-m", "pondpin.main", "--settings=/nowhere"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(answer.returncode, 2)
        self.assertIn("/nowhere", answer.stderr)
        self.assertNotEqual(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)


if __name__ == "__main__":
    unittest.main()
