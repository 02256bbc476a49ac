"""Peers: heartbeats go before the list, and old lives are not believed."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.membership import (
    Peer,
    alive_peers,
    forget_lost,
    note_heartbeat,
    note_list,
    silence_allowed,
)


def peer(incarnation: int = 1, **changes: object) -> Peer:
    values: dict[str, object] = {
        "name": "b1",
        "address": "127.0.0.1:1",
        "incarnation": incarnation,
        "heard_at": 10.0,
    }
    return Peer(**(values | changes))  # type: ignore[arg-type]


class MembershipTest(unittest.TestCase):
    def test_an_older_life_changes_nothing(self) -> None:
        table = note_heartbeat({}, peer(2))
        self.assertEqual(note_heartbeat(table, peer(1, heard_at=99.0)), table)

    def test_draining_is_sticky_for_a_life(self) -> None:
        table = note_heartbeat({}, peer(1, draining=True))
        table = note_heartbeat(table, peer(1))
        self.assertTrue(table["b1"].draining)
        self.assertFalse(note_heartbeat(table, peer(2))["b1"].draining)

    def test_the_list_adds_and_never_overrides(self) -> None:
        table = note_heartbeat({}, peer(3, revision=7))
        listed = [Peer("b1", "127.0.0.1:9", listed="leaving"), Peer("c1", "127.0.0.1:2")]
        table = note_list(table, listed)
        self.assertEqual((table["b1"].revision, table["b1"].listed), (7, "leaving"))
        self.assertIn("c1", table)

    def test_many_peers_are_heard_rarely(self) -> None:
        self.assertEqual(silence_allowed(3, 2, 1.0, 4), 4.0)
        self.assertEqual(silence_allowed(360, 2, 1.0, 4), 270.0)

    def test_silence_is_loss(self) -> None:
        table = note_heartbeat({}, peer())
        self.assertEqual(len(alive_peers(table, 13.0, 4.0)), 1)
        self.assertEqual(alive_peers(table, 15.0, 4.0), [])
        self.assertEqual(forget_lost(table, 1000.0, 600.0), {})

    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 9)), max_size=30))
    def test_revisions_of_a_life_only_rise(self, heard: list[tuple[int, int]]) -> None:
        table: dict[str, Peer] = {}
        best: dict[int, int] = {}
        for incarnation, revision in heard:
            table = note_heartbeat(table, peer(incarnation, revision=revision))
            best[incarnation] = max(best.get(incarnation, 0), revision)
        if heard:
            newest = max(incarnation for incarnation, _ in heard)
            self.assertEqual(table["b1"].incarnation, newest)
            self.assertEqual(table["b1"].revision, best[newest])
