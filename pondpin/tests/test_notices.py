"""Notices and limit reports in responses: parsing, merging and the availability that follows."""

import unittest
from datetime import UTC, datetime
from email.utils import format_datetime

from hypothesis import given
from hypothesis import strategies as st

from pondpin.availability import (
    MAX_JITTER_SECONDS,
    MAX_LIVES,
    SLOW_START_SECONDS,
    SLOW_START_STEP_SECONDS,
    Availability,
    AvailabilityTable,
    BlockReason,
    find_unavailability,
)
from pondpin.notices import EMPTY_NOTICE, Notice, parse_notice
from pondpin.platform.headers import PlatformDialect, response_notice
from pondpin.upstream_limits import LimitReport, merge_reports

NOW = 1000.0
WALL = 1_700_000_000.0


def http_date(seconds: float) -> str:
    return format_datetime(datetime.fromtimestamp(seconds, UTC), usegmt=True)


def parse_rest_values(*values: str, date: str = "", status: int = 503) -> Notice:
    return parse_notice(status, False, values, date, WALL)


class RestTest(unittest.TestCase):
    def test_seconds_and_fractions(self) -> None:
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(parse_rest_values(value), Notice(rest=seconds), value)
        self.assertEqual(parse_rest_values("0"), EMPTY_NOTICE)

    def test_an_http_date_counts_from_the_date_of_the_response(self) -> None:
        until = http_date(WALL + 9)
        self.assertEqual(parse_rest_values(until).rest, 9.0)
        # By the clock of the response's Date, not by this machine's.
        self.assertEqual(parse_rest_values(until, date=http_date(WALL + 4)).rest, 5.0)
        self.assertEqual(parse_rest_values(until, date="soon").rest, 9.0)
        self.assertEqual(parse_rest_values(http_date(WALL - 60)), EMPTY_NOTICE)

    def test_an_invalid_value_is_kept_and_sets_no_rest(self) -> None:
        invalid = (
            "-1",
            "nan",
            "inf",
            "1e3",
            "soon",
            "",
            "3 s",
            "0x10",
            "٣",
            "Wed, 99 Oct 2026 7:28",
        )
        for value in invalid:
            notice = parse_rest_values(value)
            self.assertEqual(notice.rest, 0.0, value)
            self.assertEqual(notice.invalid_rest, value.strip())

    def test_a_long_rest_is_not_shortened(self) -> None:
        self.assertEqual(parse_rest_values("86400000").rest, 86_400_000.0)
        self.assertEqual(parse_rest_values("9" * 400).rest, float("inf"))

    def test_the_latest_of_several_ends_applies(self) -> None:
        self.assertEqual(parse_rest_values("2", "5", "3").rest, 5.0)
        self.assertEqual(parse_rest_values("2, 5").rest, 5.0)
        self.assertEqual(parse_rest_values("2", http_date(WALL + 8)).rest, 8.0)
        mixed = parse_rest_values("soon", "4")
        self.assertEqual((mixed.rest, mixed.invalid_rest), (4.0, "soon"))

    def test_only_a_503_sets_a_rest(self) -> None:
        for status in (200, 301, 421, 429, 500, 502, 504):
            self.assertEqual(parse_rest_values("3", status=status), EMPTY_NOTICE)

    def test_leaving_is_read_from_any_response(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertTrue(response_notice(status, [(b"Server-Leaving", b"1")]).is_leaving)
        for value in (b"0", b"", b"yes", b"11"):
            self.assertFalse(response_notice(200, [(b"Server-Leaving", value)]).is_leaving)
        self.assertTrue(
            response_notice(
                200, [(b"SERVER-LEAVING", b"0"), (b"x", b""), (b"server-leaving", b" 1 ")]
            ).is_leaving
        )

    def test_a_head_keeps_all_headers(self) -> None:
        raw = [(b"Server-Leaving", b"1"), (b"Retry-After", b"3"), (b"Retry-After", b"4")]
        head = PlatformDialect().read_head(503, raw)
        self.assertEqual(head.notice, Notice(True, 4.0))
        self.assertEqual(list(head.headers), raw)


class LimitTest(unittest.TestCase):
    """Limits for all instances together: parsing, and which of two reports applies."""

    def limit_of(self, *values: str) -> Notice:
        return response_notice(
            200, [(b"Server-Limit", value.encode("latin-1")) for value in values]
        )

    def test_decimal_numbers(self) -> None:
        for value, limit in (("1", 1.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(self.limit_of(value), Notice(limit=limit), value)
        self.assertEqual(self.limit_of("0"), Notice(limit=0.0))
        self.assertEqual(self.limit_of("9" * 400), Notice(limit=float("inf")))

    def test_invalid_values_set_no_limit(self) -> None:
        for value in ("-1", "nan", "inf", "1e3", "many", "1 a second", "0x10", "+2", "1_0"):
            self.assertEqual(self.limit_of(value), Notice(invalid_limit=value))
        self.assertEqual(self.limit_of(""), Notice(invalid_limit="an empty value"))

    def test_the_lowest_valid_limit_applies(self) -> None:
        self.assertEqual(self.limit_of("3", "2").limit, 2.0)
        self.assertEqual(self.limit_of("3, 2,5").limit, 2.0)
        self.assertEqual(self.limit_of("soon", "4"), Notice(limit=4.0, invalid_limit="soon"))

    def test_any_response_may_report_a_limit_with_other_notices(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertEqual(response_notice(status, [(b"SERVER-LIMIT", b"2")]).limit, 2.0)
        raw = [(b"server-leaving", b"1"), (b"retry-after", b"3"), (b"server-limit", b"2")]
        self.assertEqual(response_notice(503, raw), Notice(True, 3.0, limit=2.0))

    def test_unknown_headers_are_kept_for_the_log(self) -> None:
        raw = [(b"Server-Mood", b"low"), (b"Server", b"x"), (b"server-limit", b"2")]
        head = PlatformDialect().read_head(200, raw)
        self.assertEqual(head.unknown_headers, (("server-mood", "low"),))

    def test_the_report_of_the_later_request_applies(self) -> None:
        known = LimitReport(2.0, 10.0, 10.2, "a")
        for limit in (5.0, 1.0, None):
            later = LimitReport(limit, 10.3, 10.4, "b")
            self.assertIs(merge_reports(known, later), later)
            self.assertIs(merge_reports(later, known), later)

    def test_without_known_order_the_lower_limit_applies(self) -> None:
        known = LimitReport(2.0, 10.0, 10.2, "a")
        self.assertIs(merge_reports(known, LimitReport(5.0, 9.0, 10.4, "b")), known)
        self.assertIs(merge_reports(known, LimitReport(None, 9.0, 10.4, "b")), known)
        lower = LimitReport(0.0, 9.0, 10.4, "b")
        self.assertIs(merge_reports(known, lower), lower)
        self.assertIs(merge_reports(lower, known), lower)

    @given(st.permutations(range(5)), st.lists(st.sampled_from((None, 0.0, 1.0, 3.0)), min_size=5))
    def test_ordered_reports_merge_in_any_order_of_arrival(
        self, order: list[int], limits: list[float | None]
    ) -> None:
        reports = [LimitReport(limits[n], float(n), n + 0.5, "x") for n in range(5)]
        found: LimitReport | None = None
        for index in order:
            found = merge_reports(found, reports[index])
        self.assertEqual(found, reports[4])


class AvailabilityTest(unittest.TestCase):
    def test_leaving_is_final(self) -> None:
        availability = Availability()
        self.assertTrue(availability.apply_notice(Notice(is_leaving=True), "answer", NOW, 0.0))
        self.assertFalse(availability.apply_notice(Notice(is_leaving=True), "answer", NOW + 1, 0.0))
        availability.record_accepted(NOW + 2)
        self.assertIs(availability.block_reason(NOW + 1e6), BlockReason.LEAVING)

    @given(
        st.lists(
            st.tuples(st.floats(0, 20), st.floats(0, 30), st.floats(0, 1), st.booleans()),
            max_size=12,
        ),
        st.floats(0, 60),
    )
    def test_every_rest_lasts_to_its_end(
        self, events: list[tuple[float, float, float, bool]], at: float
    ) -> None:
        availability = Availability()
        now, latest = NOW, 0.0
        for gap, rest, draw, is_accepted in events:
            now += gap
            availability.apply_notice(Notice(rest=rest), "answer", now, draw)
            if is_accepted:
                availability.record_accepted(now)
            if rest > 0:
                latest = max(latest, now + rest)
        if now <= now + at < latest:
            self.assertIs(availability.block_reason(now + at), BlockReason.RESTING)
        if now + at >= latest + MAX_JITTER_SECONDS:
            self.assertIsNot(availability.block_reason(now + at), BlockReason.RESTING)
            self.assertIs(availability.block_reason(now + at), BlockReason.NONE)

    def test_slow_start_after_a_rest(self) -> None:
        availability = Availability()
        availability.apply_notice(Notice(rest=3.0), "answer", NOW, 0.0)
        resumes = NOW + 3.0
        self.assertIs(availability.block_reason(resumes), BlockReason.NONE)
        self.assertIs(availability.block_reason(resumes, own_in_flight=1), BlockReason.SLOW_START)
        availability.record_accepted(resumes)
        self.assertIs(availability.block_reason(resumes, own_in_flight=1), BlockReason.NONE)
        self.assertIs(availability.block_reason(resumes, own_in_flight=2), BlockReason.SLOW_START)
        self.assertIs(
            availability.block_reason(resumes + SLOW_START_STEP_SECONDS, own_in_flight=2),
            BlockReason.NONE,
        )
        self.assertIs(
            availability.block_reason(resumes + SLOW_START_SECONDS, own_in_flight=99),
            BlockReason.NONE,
        )

    def test_a_request_accepted_during_a_rest_has_no_effect(self) -> None:
        availability = Availability()
        availability.apply_notice(Notice(rest=3.0), "answer", NOW, 0.0)
        availability.record_accepted(NOW + 1)
        self.assertIs(availability.block_reason(NOW + 2.9), BlockReason.RESTING)
        self.assertIs(availability.block_reason(NOW + 3.0, own_in_flight=1), BlockReason.SLOW_START)

    def test_instances_resume_at_different_times(self) -> None:
        times = set()
        for draw in (0.0, 0.3, 0.9):
            availability = Availability()
            availability.apply_notice(Notice(rest=3.0), "answer", NOW, draw)
            assert availability.rest is not None
            times.add(availability.rest.resume_at)
        self.assertEqual(len(times), 3)
        self.assertLessEqual(max(times), NOW + 3.0 + MAX_JITTER_SECONDS)

    def test_unavailability_of_a_set(self) -> None:
        leaving, resting, longer, available = (Availability() for _ in range(4))
        leaving.record_leaving("list", NOW)
        resting.apply_notice(Notice(rest=2.0), "answer", NOW, 0.0)
        longer.apply_notice(Notice(rest=5.0), "answer", NOW, 0.0)
        self.assertIsNone(find_unavailability([], NOW))
        self.assertIsNone(find_unavailability([leaving, resting, available], NOW))
        found = find_unavailability([leaving, longer, resting], NOW)
        assert found is not None
        self.assertEqual((found.reason, found.resume_at), (BlockReason.RESTING, NOW + 2.0))
        found = find_unavailability([leaving], NOW)
        assert found is not None
        self.assertIs(found.reason, BlockReason.LEAVING)

    def test_the_table_is_bounded_and_keeps_lives_in_use(self) -> None:
        table: AvailabilityTable[int] = AvailabilityTable(lambda life: life == 0)
        first = table.get_or_create(0)
        for life in range(1, MAX_LIVES + 500):
            table.get_or_create(life)
        self.assertLessEqual(len(table.by_life), MAX_LIVES + 1)
        self.assertIs(table.get_or_create(0), first)


if __name__ == "__main__":
    unittest.main()
