"""The list of tests that are known to fail: its form, and what the runner makes of it."""

import io
import unittest

from pondpin.tests.__main__ import CountingResult, run, tell_known
from pondpin.tests.known_red import KnownRed, parse_list
from pondpin.tests.side_by_side import (
    LAST,
    SLOWEST_FIRST,
    ModuleResult,
    Total,
    in_order,
    read_result,
)


class Sample(unittest.TestCase):
    """Tests to be run by a test; not found by discovery, since their names don't begin so."""

    def fails(self) -> None:
        self.fail("as it must")

    def raises(self) -> None:
        raise ValueError("as it must")

    def passes(self) -> None:
        pass

    def fails_in_part(self) -> None:
        for number in range(3):
            with self.subTest(number):
                self.assertNotEqual(number, 1)


def told(result: CountingResult) -> list[str]:
    return tell_known(result.known_by_test, result.passed_names, result.red_names)


def play(names: list[str], known: list[str]) -> CountingResult:
    prefix = f"{Sample.__module__}.{Sample.__qualname__}."
    entries = {prefix + name: KnownRed(prefix + name, "a cause", "issue 1") for name in known}
    suite = unittest.TestSuite(Sample(name) for name in names)
    return run(suite, entries, io.StringIO())


class ListTest(unittest.TestCase):
    def test_each_line_names_test_cause_and_issue(self) -> None:
        found = parse_list("a.b.c | too slow | issue 4\n\n")
        self.assertEqual(found, {"a.b.c": KnownRed("a.b.c", "too slow", "issue 4")})

    def test_lines_of_another_form_long_ones_and_repeated_tests_are_refused(self) -> None:
        long = f"a | {'x' * 500} | issue 4"
        twice = "a | b | issue 4\na | c | issue 5\n"
        for text in ("a.b.c", "a | | issue 4", "a | b | c | d", "a | b | an issue", long, twice):
            with self.assertRaises(ValueError):
                parse_list(text)

    def test_each_failing_test_has_its_entry(self) -> None:
        text = "".join(f"t{number} | cause | issue {number}\n" for number in range(4))
        self.assertEqual(len(parse_list(text)), 4)


class RunnerTest(unittest.TestCase):
    def test_known_failures_are_kept_apart_and_told(self) -> None:
        result = play(["fails", "raises", "passes"], ["fails", "raises"])
        self.assertEqual((result.passed, result.failures, result.errors), (1, [], []))
        self.assertEqual([": failed (" in line for line in told(result)], [True, True])

    def test_a_part_that_fails_is_a_failure_of_its_test(self) -> None:
        result = play(["fails_in_part"], ["fails_in_part"])
        self.assertEqual((result.passed, result.failures), (0, []))
        self.assertIn(": failed (", told(result)[0])
        self.assertEqual(len(play(["fails_in_part"], []).failures), 1)

    def test_any_other_failure_counts(self) -> None:
        result = play(["fails", "raises"], ["fails"])
        self.assertEqual(len(result.errors), 1)

    def test_a_listed_test_that_passes_or_is_missing_is_told(self) -> None:
        result = play(["passes"], ["passes", "fails"])
        lines = "\n".join(told(result))
        self.assertIn("passes now", lines)
        self.assertIn("did not run", lines)


class SideBySideTest(unittest.TestCase):
    """The verdict of modules in processes of their own is that of one process."""

    def test_what_a_module_tells_is_read(self) -> None:
        line = 'result: {"passed":3,"failed":1,"red":["a"],"green":["b"]}'
        found = read_result(f"noise\n{line}\n", 1)
        self.assertEqual(found, ModuleResult(3, 1, 0, ("a",), ("b",)))

    def test_a_process_that_dies_or_tells_nothing_fails(self) -> None:
        whole = 'result: {"passed":3}\n'
        for output, status in (("", 0), ("noise\n", 1), (whole, -11), ("result: [\n", 0)):
            result = read_result(output, status)
            self.assertTrue(result.died, output)
            self.assertEqual(Total([ModuleResult(2), result]).failed, 1)

    def test_failures_and_known_ones_are_added_up(self) -> None:
        total = Total([ModuleResult(2, 1, red=("a",)), ModuleResult(3, 0, 2, green=("b",))])
        self.assertEqual((total.sum("passed"), total.failed, total.sum("skipped")), (5, 1, 2))
        self.assertEqual((total.names("red"), total.names("green")), ({"a"}, {"b"}))

    def test_every_module_runs_once_the_slowest_first_and_the_soak_alone(self) -> None:
        names = ["a", LAST, *reversed(SLOWEST_FIRST), "b"]
        self.assertEqual(in_order(names), [*SLOWEST_FIRST, "a", "b"])


if __name__ == "__main__":
    unittest.main()
