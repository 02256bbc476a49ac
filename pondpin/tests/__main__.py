"""Runs all tests and closes with one line that counts them."""

import sys
import unittest
from pathlib import Path

from pondpin.tests.support import prepare


class CountingResult(unittest.TextTestResult):
    """Counts the tests that passed."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.passed = 0

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Count a test that passed."""
        super().addSuccess(test)
        self.passed += 1


def main() -> int:
    """Run; the exit status is 1 when any test failed or none ran."""
    prepare()
    folder = Path(__file__).parent
    pattern = f"test_{sys.argv[1]}.py" if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(folder), pattern, top_level_dir=str(folder.parent.parent)
    )
    runner = unittest.TextTestRunner(resultclass=CountingResult, stream=sys.stdout, verbosity=1)
    result = runner.run(suite)
    assert isinstance(result, CountingResult)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(result.expectedFailures)
    print(f"{result.passed} passed, {failed} failed, {skipped} skipped", flush=True)
    return 1 if failed or result.passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
