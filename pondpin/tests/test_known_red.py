"""The list of tests that are known to fail: its form, and what the runner makes of it."""

import io
import unittest

from pondpin.tests.__main__ import CountingResult, run
from pondpin.tests.known_red import KnownRed, parse_list


class Sample(unittest.TestCase):
    """Tests to be run by a test; not found by discovery, since their names don't begin so."""

    def fails(self) -> None:
        self.fail("as it must")

    def raises(self) -> None:
        raise ValueError("as it must")

    def passes(self) -> None:
        pass


def play(names: list[str], known: list[str]) -> CountingResult:
    prefix = f"{Sample.__module__}.{Sample.__qualname__}."
    entries = {prefix + name: KnownRed(prefix + name, "a cause", "issue 1") for name in known}
    suite = unittest.TestSuite(Sample(name) for name in names)
    return run(suite, entries, io.StringIO())


class ListTest(unittest.TestCase):
    def test_each_line_names_test_cause_and_issue(self) -> None:
        found = parse_list("a.b.c | too slow | issue 4\n\n")
        self.assertEqual(found, {"a.b.c": KnownRed("a.b.c", "too slow", "issue 4")})

    def test_lines_of_another_form_and_long_lists_are_refused(self) -> None:
        for text in ("a.b.c", "a | | issue 4", "a | b | c | d"):
            with self.assertRaises(ValueError):
                parse_list(text)
        with self.assertRaises(ValueError):
            parse_list("".join(f"t{number} | cause | issue\n" for number in range(4)))


class RunnerTest(unittest.TestCase):
    def test_known_failures_are_kept_apart_and_told(self) -> None:
        result = play(["fails", "raises", "passes"], ["fails", "raises"])
        self.assertEqual((result.passed, result.failures, result.errors), (1, [], []))
        self.assertEqual([": failed (" in line for line in result.tell_known()], [True, True])

    def test_any_other_failure_counts(self) -> None:
        result = play(["fails", "raises"], ["fails"])
        self.assertEqual(len(result.errors), 1)

    def test_a_listed_test_that_passes_or_is_missing_is_told(self) -> None:
        result = play(["passes"], ["passes", "fails"])
        told = "\n".join(result.tell_known())
        self.assertIn("passes now", told)
        self.assertIn("did not run", told)
        self.assertEqual(len(result.missing), 1)


if __name__ == "__main__":
    unittest.main()
