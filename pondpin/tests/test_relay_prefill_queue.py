"""The order of long prompts that wait for engines, common to all instances."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.relay.choosing.prefill_queue import (
    PEER_ENTRY_TTL_SECONDS,
    PrefillQueue,
    QueuedPrompt,
    dispatch_order,
)

NOW = 1000.0


def prompt(key: int, reading: float, due: float) -> QueuedPrompt:
    return QueuedPrompt(key, reading, NOW + due)


def keys(*waiting: QueuedPrompt, engines: int = 10) -> list[int]:
    return [item.key for item in dispatch_order(waiting, NOW, engines)]


class OrderTest(unittest.TestCase):
    def test_the_earliest_due_goes_first_while_all_are_in_time(self) -> None:
        self.assertEqual(keys(prompt(1, 4.0, 3.0), prompt(2, 4.0, 2.0)), [2, 1])

    def test_the_longest_gives_way_when_not_all_can_be_in_time(self) -> None:
        long = prompt(1, 20.0, 2.5)
        short = [prompt(number, 4.0, 2.7) for number in (2, 3, 4)]
        self.assertEqual(keys(long, *short), [2, 3, 4, 1])

    def test_those_that_are_late_go_shortest_first(self) -> None:
        late = [prompt(1, 9.0, -1.0), prompt(2, 3.0, -1.0)]
        self.assertEqual(keys(*late, prompt(3, 20.0, 3.0)), [3, 2, 1])

    @given(st.lists(st.tuples(st.floats(0.1, 30.0), st.floats(-2.0, 6.0)), min_size=1, max_size=12))
    def test_any_order_of_arrival_gives_the_same(self, given: list[tuple[float, float]]) -> None:
        waiting = [prompt(key, reading, due) for key, (reading, due) in enumerate(given)]
        found = keys(*waiting)
        self.assertEqual(sorted(found), list(range(len(given))))
        random.Random(1).shuffle(waiting)
        self.assertEqual(keys(*waiting), found)


class CalendarTest(unittest.TestCase):
    def setUp(self) -> None:
        self.here = PrefillQueue()
        self.there = PrefillQueue()

    def tell(self, now: float = NOW) -> None:
        self.here.update_peer("there", self.there.digest(now), now, now + 5.0)

    def test_instances_agree_on_who_is_first(self) -> None:
        self.here.add(prompt(1, 4.0, 3.0))
        self.there.add(prompt(2, 4.0, 2.0))
        self.tell()
        self.there.update_peer("here", self.here.digest(NOW), NOW, NOW + 5.0)
        self.assertFalse(self.here.is_first(1, NOW, 10))
        self.assertTrue(self.there.is_first(2, NOW, 10))

    def test_a_peer_that_falls_silent_holds_nobody_up(self) -> None:
        self.here.add(prompt(1, 4.0, 3.0))
        self.there.add(prompt(2, 4.0, 2.0))
        self.tell()
        self.assertTrue(self.here.is_first(1, NOW + PEER_ENTRY_TTL_SECONDS, 10))

    def test_what_a_peer_sent_waits_no_more(self) -> None:
        self.here.add(prompt(1, 4.0, 3.0))
        self.there.add(prompt(2, 4.0, 2.0))
        self.tell()
        self.there.remove(2)
        self.tell()
        self.assertTrue(self.here.is_first(1, NOW, 10))
        self.here.remove(1)
        self.assertEqual(self.here.queued(NOW), [])


if __name__ == "__main__":
    unittest.main()
