"""What answers say of their upstreams: how it is read, and what it bars."""

import unittest
from datetime import UTC, datetime
from email.utils import format_datetime

from hypothesis import given
from hypothesis import strategies as st

from pondpin.limits import LimitWord, counts
from pondpin.notices import NOTHING, Notice, read_notice
from pondpin.platform.requests import PlatformDialect, notice_of
from pondpin.standing import (
    KEPT_LIVES,
    MOST_SPREAD_SECONDS,
    RETURN_SECONDS,
    RETURN_STEP_SECONDS,
    Bar,
    Standing,
    Standings,
    nobody_left,
)

NOW = 1000.0
WALL = 1_700_000_000.0


def http_date(seconds: float) -> str:
    return format_datetime(datetime.fromtimestamp(seconds, UTC), usegmt=True)


def rest_of(*values: str, date: str = "", status: int = 503) -> Notice:
    return read_notice(status, False, values, date, WALL)


class ReadingTest(unittest.TestCase):
    def test_seconds_and_fractions(self) -> None:
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(rest_of(value), Notice(rest=seconds), value)
        self.assertEqual(rest_of("0"), NOTHING)

    def test_a_moment_counts_from_when_the_answer_was_made(self) -> None:
        until = http_date(WALL + 9)
        self.assertEqual(rest_of(until).rest, 9.0)
        # By the clock that made the answer, whatever this machine's says.
        self.assertEqual(rest_of(until, date=http_date(WALL + 4)).rest, 5.0)
        self.assertEqual(rest_of(until, date="soon").rest, 9.0)
        self.assertEqual(rest_of(http_date(WALL - 60)), NOTHING)

    def test_what_is_no_wish_is_told_and_asks_for_nothing(self) -> None:
        odd = ("-1", "nan", "inf", "1e3", "soon", "", "3 s", "0x10", "٣", "Wed, 99 Oct 2026 7:28")
        for value in odd:
            notice = rest_of(value)
            self.assertEqual(notice.rest, 0.0, value)
            self.assertEqual(notice.odd, value.strip())

    def test_nothing_that_is_asked_is_shortened(self) -> None:
        self.assertEqual(rest_of("86400000").rest, 86_400_000.0)
        self.assertEqual(rest_of("9" * 400).rest, float("inf"))

    def test_of_two_the_later_end_counts(self) -> None:
        self.assertEqual(rest_of("2", "5", "3").rest, 5.0)
        self.assertEqual(rest_of("2, 5").rest, 5.0)
        self.assertEqual(rest_of("2", http_date(WALL + 8)).rest, 8.0)
        mixed = rest_of("soon", "4")
        self.assertEqual((mixed.rest, mixed.odd), (4.0, "soon"))

    def test_only_a_503_asks_for_rest(self) -> None:
        for status in (200, 301, 421, 429, 500, 502, 504):
            self.assertEqual(rest_of("3", status=status), NOTHING)

    def test_leaving_is_one_word_in_any_answer(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertTrue(notice_of(status, [(b"Server-Leaving", b"1")]).leaves)
        for value in (b"0", b"", b"yes", b"11"):
            self.assertFalse(notice_of(200, [(b"Server-Leaving", value)]).leaves)
        self.assertTrue(
            notice_of(
                200, [(b"SERVER-LEAVING", b"0"), (b"x", b""), (b"server-leaving", b" 1 ")]
            ).leaves
        )

    def test_a_head_keeps_every_header_it_came_with(self) -> None:
        raw = [(b"Server-Leaving", b"1"), (b"Retry-After", b"3"), (b"Retry-After", b"4")]
        head = PlatformDialect().read_head(503, raw)
        self.assertEqual(head.notice, Notice(True, 4.0))
        self.assertEqual(list(head.headers), raw)


class LimitTest(unittest.TestCase):
    """Limits for all instances together: what is one, and which of two counts."""

    def limit_of(self, *values: str) -> Notice:
        return notice_of(200, [(b"Server-Limit", value.encode("latin-1")) for value in values])

    def test_decimal_numbers(self) -> None:
        for value, limit in (("1", 1.0), ("0.25", 0.25), (".5", 0.5), ("2.", 2.0), (" 7 ", 7.0)):
            self.assertEqual(self.limit_of(value), Notice(limit=limit), value)
        self.assertEqual(self.limit_of("0"), Notice(limit=0.0))
        self.assertEqual(self.limit_of("9" * 400), Notice(limit=float("inf")))

    def test_odd_ones_name_none(self) -> None:
        for value in ("-1", "nan", "inf", "1e3", "many", "1 a second", "0x10", "+2", "1_0"):
            self.assertEqual(self.limit_of(value), Notice(odd_limit=value))
        self.assertEqual(self.limit_of(""), Notice(odd_limit="an empty value"))

    def test_of_several_the_lowest_counts_beside_odd_ones(self) -> None:
        self.assertEqual(self.limit_of("3", "2").limit, 2.0)
        self.assertEqual(self.limit_of("3, 2,5").limit, 2.0)
        self.assertEqual(self.limit_of("soon", "4"), Notice(limit=4.0, odd_limit="soon"))

    def test_any_answer_may_name_one_beside_its_other_words(self) -> None:
        for status in (200, 206, 400, 421, 429, 500, 503):
            self.assertEqual(notice_of(status, [(b"SERVER-LIMIT", b"2")]).limit, 2.0)
        raw = [(b"server-leaving", b"1"), (b"retry-after", b"3"), (b"server-limit", b"2")]
        self.assertEqual(notice_of(503, raw), Notice(True, 3.0, limit=2.0))

    def test_words_that_nobody_reads_are_kept_for_the_log(self) -> None:
        raw = [(b"Server-Mood", b"low"), (b"Server", b"x"), (b"server-limit", b"2")]
        head = PlatformDialect().read_head(200, raw)
        self.assertEqual(head.unknown_headers, (("server-mood", "low"),))

    def test_an_answer_that_was_asked_for_later_counts(self) -> None:
        known = LimitWord(2.0, 10.0, 10.2, "a")
        for limit in (5.0, 1.0, None):
            later = LimitWord(limit, 10.3, 10.4, "b")
            self.assertIs(counts(known, later), later)
            self.assertIs(counts(later, known), later)

    def test_of_two_in_no_known_order_the_lower_counts(self) -> None:
        known = LimitWord(2.0, 10.0, 10.2, "a")
        self.assertIs(counts(known, LimitWord(5.0, 9.0, 10.4, "b")), known)
        self.assertIs(counts(known, LimitWord(None, 9.0, 10.4, "b")), known)
        lower = LimitWord(0.0, 9.0, 10.4, "b")
        self.assertIs(counts(known, lower), lower)
        self.assertIs(counts(lower, known), lower)

    @given(st.permutations(range(5)), st.lists(st.sampled_from((None, 0.0, 1.0, 3.0)), min_size=5))
    def test_words_that_follow_one_another_count_in_whatever_order_they_come(
        self, order: list[int], limits: list[float | None]
    ) -> None:
        words = [LimitWord(limits[n], float(n), n + 0.5, "x") for n in range(5)]
        found: LimitWord | None = None
        for place in order:
            found = counts(found, words[place])
        self.assertEqual(found, words[4])


class StandingTest(unittest.TestCase):
    def test_leaving_is_final(self) -> None:
        standing = Standing()
        self.assertTrue(standing.hear(Notice(leaves=True), "answer", NOW, 0.0))
        self.assertFalse(standing.hear(Notice(leaves=True), "answer", NOW + 1, 0.0))
        standing.note_taken(NOW + 2)
        self.assertIs(standing.bar(NOW + 1e6), Bar.LEAVES)

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
        standing = Standing()
        now, latest = NOW, 0.0
        for gap, rest, draw, took in asked:
            now += gap
            standing.hear(Notice(rest=rest), "answer", now, draw)
            if took:
                standing.note_taken(now)
            if rest > 0:
                latest = max(latest, now + rest)
        if now <= now + at < latest:
            self.assertIs(standing.bar(now + at), Bar.RESTS)
        if now + at >= latest + MOST_SPREAD_SECONDS:
            self.assertIsNot(standing.bar(now + at), Bar.RESTS)
            self.assertIs(standing.bar(now + at), Bar.NONE)

    def test_the_return_is_bit_by_bit(self) -> None:
        standing = Standing()
        standing.hear(Notice(rest=3.0), "answer", NOW, 0.0)
        back = NOW + 3.0
        self.assertIs(standing.bar(back), Bar.NONE)
        self.assertIs(standing.bar(back, open_here=1), Bar.RETURNS)
        standing.note_taken(back)
        self.assertIs(standing.bar(back, open_here=1), Bar.NONE)
        self.assertIs(standing.bar(back, open_here=2), Bar.RETURNS)
        self.assertIs(standing.bar(back + RETURN_STEP_SECONDS, open_here=2), Bar.NONE)
        self.assertIs(standing.bar(back + RETURN_SECONDS, open_here=99), Bar.NONE)

    def test_an_answer_in_a_rest_opens_nothing(self) -> None:
        standing = Standing()
        standing.hear(Notice(rest=3.0), "answer", NOW, 0.0)
        standing.note_taken(NOW + 1)
        self.assertIs(standing.bar(NOW + 2.9), Bar.RESTS)
        self.assertIs(standing.bar(NOW + 3.0, open_here=1), Bar.RETURNS)

    def test_instances_come_back_at_moments_of_their_own(self) -> None:
        moments = set()
        for draw in (0.0, 0.3, 0.9):
            standing = Standing()
            standing.hear(Notice(rest=3.0), "answer", NOW, draw)
            assert standing.rest is not None
            moments.add(standing.rest.back_at)
        self.assertEqual(len(moments), 3)
        self.assertLessEqual(max(moments), NOW + 3.0 + MOST_SPREAD_SECONDS)

    def test_why_nobody_is_left(self) -> None:
        leaving, resting, longer, free = (Standing() for _ in range(4))
        leaving.note_leaving("list", NOW)
        resting.hear(Notice(rest=2.0), "answer", NOW, 0.0)
        longer.hear(Notice(rest=5.0), "answer", NOW, 0.0)
        self.assertIsNone(nobody_left([], NOW))
        self.assertIsNone(nobody_left([leaving, resting, free], NOW))
        found = nobody_left([leaving, longer, resting], NOW)
        assert found is not None
        self.assertEqual((found.bar, found.back_at), (Bar.RESTS, NOW + 2.0))
        found = nobody_left([leaving], NOW)
        assert found is not None
        self.assertIs(found.bar, Bar.LEAVES)

    def test_what_is_remembered_is_bounded_and_what_is_in_use_is_kept(self) -> None:
        standings: Standings[int] = Standings(lambda life: life == 0)
        first = standings.of(0)
        for life in range(1, KEPT_LIVES + 500):
            standings.of(life)
        self.assertLessEqual(len(standings.by_life), KEPT_LIVES + 1)
        self.assertIs(standings.of(0), first)


if __name__ == "__main__":
    unittest.main()
