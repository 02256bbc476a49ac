"""Worth lost, split by kind, size, time and cause, from logs alone."""

import tempfile
import unittest
from pathlib import Path

from pondpin.relay.log import EventLog
from pondpin.relay.log_events import CallerDisconnected, Ended, LogEvent, Placed, Refused
from pondpin.tests.support import FakeClock
from pondpin.tools.log_story import LogLine, read_lines
from pondpin.tools.losses import (
    LATE_LOSS,
    forecast_errors,
    parse_worth,
    plot_losses,
    read_outcomes,
    split,
    weigh,
)


def placed(request: str, forecast: int, waited: int = 0, attempt: int = 1) -> Placed:
    return Placed(
        request=request,
        attempt=attempt,
        route="r",
        version=1,
        proof_age_ms=0,
        upstream="e0",
        in_flight=0,
        reading_ms=0,
        candidates=4,
        target_ms=300,
        prompt_tokens=1000,
        waited_ms=waited,
        first_event_ms=forecast,
    )


def ended(request: str, first: int, gap: int = 0, tokens: int = 1000) -> Ended:
    return Ended(
        request=request,
        route="r",
        status=200,
        upstream="e0",
        attempts=1,
        first_ms=first,
        total_ms=first,
        events=4,
        longest_gap_ms=gap,
        prompt_tokens=tokens,
        target_ms=300,
        gap_target_ms=200,
    )


class LossesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.clock = FakeClock()

    def lines(self, *events: LogEvent) -> list[LogLine]:
        path = self.folder / "a.log"
        with path.open("wb") as file:
            log = EventLog("a", self.clock, self.clock, file.fileno())
            for event in events:
                self.clock.advance(0.5)
                log.write(event)
            log.flush()
        return read_lines([path])

    def causes(self, *events: LogEvent) -> dict[str, str]:
        return {item.request: item.cause for item in read_outcomes(self.lines(*events))}

    def test_each_request_has_one_cause(self) -> None:
        refused = Refused(request="f", code="NO_UPSTREAM", detail="", after_ms=1, target_ms=300)
        gone = CallerDisconnected(request="g", route="r", after_ms=9, events=0, target_ms=300)
        found = self.causes(
            placed("a", 100), ended("a", 120),
            placed("b", 100), ended("b", 400),
            placed("c", 100, waited=250), ended("c", 400),
            placed("d", 350), ended("d", 400),
            placed("e", 100), ended("e", 120, gap=201),
            refused,
            gone,
            placed("h", 100),
            placed("i", 100), placed("i", 100, attempt=2), ended("i", 400),
        )  # fmt: skip
        self.assertEqual(
            found,
            {
                "a": "in time",
                "b": "late: forecast wrong",
                "c": "late: waited for engines",
                "d": "late: engines busy",
                "e": "pause",
                "f": "refused: NO_UPSTREAM",
                "g": "caller gave up",
                "h": "instance or log ended",
                "i": "late: second try",
            },
        )

    def test_every_table_sums_to_the_whole_loss(self) -> None:
        lines = self.lines(ended("a", 100), ended("b", 400), ended("c", 100, 900, 9000))
        tables = split(weigh(read_outcomes(lines), {300: 2.0}), 10.0)
        sums = [sum(row.lost for row in rows) for rows in tables.values()]
        for value in sums:
            self.assertAlmostEqual(value, sums[0])
            self.assertLess(value, LATE_LOSS)
        self.assertAlmostEqual(sum(row.worth for row in tables["kind"]), 1.0)
        plot_losses(tables, self.folder / "a.png")
        self.assertTrue((self.folder / "a.png").read_bytes().startswith(b"\x89PNG"))

    def test_a_forecast_counts_from_the_arrival(self) -> None:
        lines = self.lines(placed("a", 100, waited=100), ended("a", 400))
        (row,) = forecast_errors(lines)
        self.assertEqual((row.kind, row.requests, row.median), ("300 ms", 1, 0.5))

    def test_worth_is_given_by_target(self) -> None:
        self.assertEqual(parse_worth("300=1.3,3000=24"), {300: 1.3, 3000: 24.0})
        self.assertEqual(parse_worth(""), {})
        with self.assertRaises(ValueError):
            parse_worth("300")


if __name__ == "__main__":
    unittest.main()
