"""Runs all tests and closes with one line that counts them."""

import sys
import unittest
from pathlib import Path
from typing import Any

from pondpin.tests.known_red import KnownRed, read_list
from pondpin.tests.support import prepare


class CountingResult(unittest.TextTestResult):
    """Counts the tests that passed, and keeps apart those that are known to fail."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.passed = 0
        self.known_by_test: dict[str, KnownRed] = {}
        self.passed_names: set[str] = set()
        self.red_names: set[str] = set()

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Count a test that passed."""
        super().addSuccess(test)
        self.passed += 1
        self.passed_names.add(test.id())

    def addFailure(self, test: unittest.TestCase, err: Any) -> None:
        """Take a failed test."""
        if not self._is_known(test):
            super().addFailure(test, err)

    def addError(self, test: unittest.TestCase, err: Any) -> None:
        """Take a test that raised."""
        if not self._is_known(test):
            super().addError(test, err)

    def _is_known(self, test: unittest.TestCase) -> bool:
        if test.id() not in self.known_by_test:
            return False
        self.red_names.add(test.id())
        return True

    def tell_known(self) -> list[str]:
        """A line for each listed test: whether it failed, passed or did not run."""
        lines = []
        for name, known in self.known_by_test.items():
            state = "passes now, take it off the list" if name in self.passed_names else "failed"
            state = state if name in self.passed_names | self.red_names else "did not run"
            lines.append(f"known red: {name}: {state} ({known.cause}; {known.issue})")
        return lines

    @property
    def missing(self) -> set[str]:
        """Listed tests that did not run: their names may be wrong."""
        return self.known_by_test.keys() - self.passed_names - self.red_names


def main() -> int:
    """Run; the exit status is 1 when any test failed that is not known to, or none ran."""
    prepare()
    folder = Path(__file__).parent
    is_whole = len(sys.argv) <= 1
    pattern = "test_*.py" if is_whole else f"test_{sys.argv[1]}.py"
    suite = unittest.defaultTestLoader.discover(
        str(folder), pattern, top_level_dir=str(folder.parent.parent)
    )
    known = read_list()
    result = run(suite, known)
    print("\n".join(result.tell_known()))
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(result.expectedFailures)
    print(f"{result.passed} passed, {failed} failed, {skipped} skipped", flush=True)
    is_wrong_list = is_whole and bool(result.missing)
    return 1 if failed or is_wrong_list or result.passed == 0 else 0


def run(
    suite: unittest.TestSuite, known: dict[str, KnownRed], stream: Any = None
) -> CountingResult:
    """Run a suite; failures of known tests are kept apart."""

    def make(*arguments: object, **options: object) -> CountingResult:
        result = CountingResult(*arguments, **options)
        result.known_by_test = known
        return result

    runner = unittest.TextTestRunner(
        resultclass=make,
        stream=stream or sys.stdout,
        verbosity=1,
    )
    result = runner.run(suite)
    assert isinstance(result, CountingResult)
    return result


if __name__ == "__main__":
    sys.exit(main())
