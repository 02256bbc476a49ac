"""What answers say of their upstreams: how it is read, and what it bars."""

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


def rest_of(*values: str, date: str = "", status: int = 503) -> Notice:
    return parse_notice(status, False, values, date, WALL)


class ReadingTest(unittest.TestCase):
    def test_seconds_and_fractions(self) -> None:
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(rest_of(value), Notice(rest=seconds), value)
        self.assertEqual(rest_of("0"), EMPTY_NOTICE)

    def test_a_moment_counts_from_when_the_answer_was_made(self) -> None:
        until = http_date(WALL + 9)
        self.assertEqual(rest_of(until).rest, 9.0)
        # By the clock that made the answer, whatever this machine's says.
        self.assertEqual(rest_of(until, date=http_date(WALL + 4)).rest, 5.0)
        self.assertEqual(rest_of(until, date="soon").rest, 9.0)
        self.assertEqual(rest_of(http_date(WALL - 60)), EMPTY_NOTICE)

    def test_what_is_no_wish_is_told_and_asks_for_nothing(self) -> None:
        odd = ("-1", "nan", "inf", "1e3", "soon", "", "3 s", "0x10", "٣", "Wed, 99 Oct 2026 7:28")
        for value in odd:
            notice = rest_of(value)
            self.assertEqual(notice.rest, 0.0, value)
            self.assertEqual(notice.invalid_rest, value.strip())

    def test_nothing_that_is_asked_is_shortened(self) -> None:
        self.assertEqual(rest_of("86400000").rest, 86_400_000.0)
        self.assertEqual(rest_of("9" * 400).rest, float("inf"))

    def test_of_two_the_later_end_counts(self) -> None:
        self.assertEqual(rest_of("2", "5", "3").rest, 5.0)
        self.assertEqual(rest_of("2, 5").rest, 5.0)
        self.assertEqual(rest_of("2", http_date(WALL + 8)).rest, 8.0)
        mixed = rest_of("soon", "4")
        self.assertEqual((mixed.rest, mixed.invalid_rest), (4.0, "soon"))

    def test_only_a_503_asks_for_rest(self) -> None:
        for status in (200, 301, 421, 429, 500, 502, 504):
            self.assertEqual(rest_of("3", status=status), EMPTY_NOTICE)

    def test_leaving_is_one_word_in_any_answer(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertTrue(response_notice(status, [(b"Server-Leaving", b"1")]).is_leaving)
        for value in (b"0", b"", b"yes", b"11"):
            self.assertFalse(response_notice(200, [(b"Server-Leaving", value)]).is_leaving)
        self.assertTrue(
            response_notice(
                200, [(b"SERVER-LEAVING", b"0"), (b"x", b""), (b"server-leaving", b" 1 ")]
            ).is_leaving
        )

    def test_a_head_keeps_every_header_it_came_with(self) -> None:
        raw = [(b"Server-Leaving", b"1"), (b"Retry-After", b"3"), (b"Retry-After", b"4")]
        head = PlatformDialect().read_head(503, raw)
        self.assertEqual(head.notice, Notice(True, 4.0))
        self.assertEqual(list(head.headers), raw)


class LimitTest(unittest.TestCase):
    """Limits for all instances together: what is one, and which of two counts."""

    def limit_of(self, *values: str) -> Notice:
        return response_notice(
            200, [(b"Server-Limit", value.encode("latin-1")) for value in values]
        )

    def test_decimal_numbers(self) -> None:
        for value, limit in (("1", 1.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(self.limit_of(value), Notice(limit=limit), value)
        self.assertEqual(self.limit_of("0"), Notice(limit=0.0))
        self.assertEqual(self.limit_of("9" * 400), Notice(limit=float("inf")))

    def test_odd_ones_name_none(self) -> None:
        for value in ("-1", "nan", "inf", "1e3", "many", "1 a second", "0x10", "+2", "1_0"):
            self.assertEqual(self.limit_of(value), Notice(invalid_limit=value))
        self.assertEqual(self.limit_of(""), Notice(invalid_limit="an empty value"))

    def test_of_several_the_lowest_counts_beside_odd_ones(self) -> None:
        self.assertEqual(self.limit_of("3", "2").limit, 2.0)
        self.assertEqual(self.limit_of("3, 2,5").limit, 2.0)
        self.assertEqual(self.limit_of("soon", "4"), Notice(limit=4.0, invalid_limit="soon"))

    def test_any_answer_may_name_one_beside_its_other_words(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertEqual(response_notice(status, [(b"SERVER-LIMIT", b"2")]).limit, 2.0)
        raw = [(b"server-leaving", b"1"), (b"retry-after", b"3"), (b"server-limit", b"2")]
        self.assertEqual(response_notice(503, raw), Notice(True, 3.0, limit=2.0))

    def test_words_that_nobody_reads_are_kept_for_the_log(self) -> None:
        raw = [(b"Server-Mood", b"low"), (b"Server", b"x"), (b"server-limit", b"2")]
        head = PlatformDialect().read_head(200, raw)
        self.assertEqual(head.unknown_headers, (("server-mood", "low"),))

    def test_an_answer_that_was_asked_for_later_counts(self) -> None:
        known = LimitReport(2.0, 10.0, 10.2, "a")
        for limit in (5.0, 1.0, None):
            later = LimitReport(limit, 10.3, 10.4, "b")
            self.assertIs(merge_reports(known, later), later)
            self.assertIs(merge_reports(later, known), later)

    def test_of_two_in_no_known_order_the_lower_counts(self) -> None:
        known = LimitReport(2.0, 10.0, 10.2, "a")
        self.assertIs(merge_reports(known, LimitReport(5.0, 9.0, 10.4, "b")), known)
        self.assertIs(merge_reports(known, LimitReport(None, 9.0, 10.4, "b")), known)
        lower = LimitReport(0.0, 9.0, 10.4, "b")
        self.assertIs(merge_reports(known, lower), lower)
        self.assertIs(merge_reports(lower, known), lower)

    @given(st.permutations(range(5)), st.lists(st.sampled_from((None, 0.0, 1.0, 3.0)), min_size=5))
    def test_words_that_follow_one_another_count_in_whatever_order_they_come(
        self, order: list[int], limits: list[float | None]
    ) -> None:
        words = [LimitReport(limits[n], float(n), n + 0.5, "x") for n in range(5)]
        found: LimitReport | None = None
        for place in order:
            found = merge_reports(found, words[place])
        self.assertEqual(found, words[4])


class StandingTest(unittest.TestCase):
    def test_leaving_is_final(self) -> None:
        standing = Availability()
        self.assertTrue(standing.apply_notice(Notice(is_leaving=True), "answer", NOW, 0.0))
        self.assertFalse(standing.apply_notice(Notice(is_leaving=True), "answer", NOW + 1, 0.0))
        standing.record_accepted(NOW + 2)
        self.assertIs(standing.block_reason(NOW + 1e6), BlockReason.LEAVING)

    @given(
        st.lists(
            st.tuples(st.floats(0, 20), st.floats(0, 30), st.floats(0, 1), st.booleans()),
            max_size=12,
        ),
        st.floats(0, 60),
    )
    def test_every_rest_is_kept_to_its_end(
        self, asked: list[tuple[float, float, float, bool]], at: float
    ) -> None:
        standing = Availability()
        now, latest = NOW, 0.0
        for gap, rest, draw, took in asked:
            now += gap
            standing.apply_notice(Notice(rest=rest), "answer", now, draw)
            if took:
                standing.record_accepted(now)
            if rest > 0:
                latest = max(latest, now + rest)
        if now <= now + at < latest:
            self.assertIs(standing.block_reason(now + at), BlockReason.RESTING)
        if now + at >= latest + MAX_JITTER_SECONDS:
            self.assertIsNot(standing.block_reason(now + at), BlockReason.RESTING)
            self.assertIs(standing.block_reason(now + at), BlockReason.NONE)

    def test_the_return_is_bit_by_bit(self) -> None:
        standing = Availability()
        standing.apply_notice(Notice(rest=3.0), "answer", NOW, 0.0)
        back = NOW + 3.0
        self.assertIs(standing.block_reason(back), BlockReason.NONE)
        self.assertIs(standing.block_reason(back, own_in_flight=1), BlockReason.SLOW_START)
        standing.record_accepted(back)
        self.assertIs(standing.block_reason(back, own_in_flight=1), BlockReason.NONE)
        self.assertIs(standing.block_reason(back, own_in_flight=2), BlockReason.SLOW_START)
        self.assertIs(
            standing.block_reason(back + SLOW_START_STEP_SECONDS, own_in_flight=2), BlockReason.NONE
        )
        self.assertIs(
            standing.block_reason(back + SLOW_START_SECONDS, own_in_flight=99), BlockReason.NONE
        )

    def test_an_answer_in_a_rest_opens_nothing(self) -> None:
        standing = Availability()
        standing.apply_notice(Notice(rest=3.0), "answer", NOW, 0.0)
        standing.record_accepted(NOW + 1)
        self.assertIs(standing.block_reason(NOW + 2.9), BlockReason.RESTING)
        self.assertIs(standing.block_reason(NOW + 3.0, own_in_flight=1), BlockReason.SLOW_START)

    def test_instances_come_back_at_moments_of_their_own(self) -> None:
        moments = set()
        for draw in (0.0, 0.3, 0.9):
            standing = Availability()
            standing.apply_notice(Notice(rest=3.0), "answer", NOW, draw)
            assert standing.rest is not None
            moments.add(standing.rest.resume_at)
        self.assertEqual(len(moments), 3)
        self.assertLessEqual(max(moments), NOW + 3.0 + MAX_JITTER_SECONDS)

    def test_why_nobody_is_left(self) -> None:
        leaving, resting, longer, free = (Availability() for _ in range(4))
        leaving.record_leaving("list", NOW)
        resting.apply_notice(Notice(rest=2.0), "answer", NOW, 0.0)
        longer.apply_notice(Notice(rest=5.0), "answer", NOW, 0.0)
        self.assertIsNone(find_unavailability([], NOW))
        self.assertIsNone(find_unavailability([leaving, resting, free], NOW))
        found = find_unavailability([leaving, longer, resting], NOW)
        assert found is not None
        self.assertEqual((found.reason, found.resume_at), (BlockReason.RESTING, NOW + 2.0))
        found = find_unavailability([leaving], NOW)
        assert found is not None
        self.assertIs(found.reason, BlockReason.LEAVING)

    def test_what_is_remembered_is_bounded_and_what_is_in_use_is_kept(self) -> None:
        standings: AvailabilityTable[int] = AvailabilityTable(lambda life: life == 0)
        first = standings.get_or_create(0)
        for life in range(1, MAX_LIVES + 500):
            standings.get_or_create(life)
        self.assertLessEqual(len(standings.by_life), MAX_LIVES + 1)
        self.assertIs(standings.get_or_create(0), first)


if __name__ == "__main__":
    unittest.main()
