"""The ledger: what is admitted less what is returned is held."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondpin.invariants import InvariantError, Invariants
from pondpin.ledger import Hold, Ledger


def hold(number: int, attempt: int = 0, upstream: str = "e1") -> Hold:
    return Hold(f"r{number}", attempt, upstream, 10 + number, 100, 50, 0.0, 10.0)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.invariants = Invariants()
        self.invariants.fatal = True
        self.ledger = Ledger(self.invariants)

    def test_a_hold_is_taken_once(self) -> None:
        self.ledger.take(hold(1))
        with self.assertRaises(InvariantError):
            self.ledger.take(hold(1))

    def test_a_hold_is_returned_once(self) -> None:
        self.ledger.take(hold(1))
        self.ledger.give_back(hold(1).key)
        with self.assertRaises(InvariantError):
            self.ledger.give_back(hold(1).key)

    def test_a_breach_outside_tests_is_counted(self) -> None:
        self.invariants.fatal = False
        self.ledger.give_back(hold(1).key)
        self.assertEqual(self.invariants.breaches_by_name["hold_returned_once"], 1)


class LedgerMachine(RuleBasedStateMachine):
    """Requests come and go in any order."""

    def __init__(self) -> None:
        super().__init__()
        invariants = Invariants()
        invariants.fatal = True
        self.ledger = Ledger(invariants)
        self.model: dict[tuple[str, int, str], int] = {}

    @rule(number=st.integers(0, 9), attempt=st.integers(0, 2), upstream=st.sampled_from("abc"))
    def take(self, number: int, attempt: int, upstream: str) -> None:
        item = hold(number, attempt, upstream)
        if item.key not in self.model:
            self.ledger.take(item)
            self.model[item.key] = item.blocks

    @rule(number=st.integers(0, 9), attempt=st.integers(0, 2), upstream=st.sampled_from("abc"))
    def give_back(self, number: int, attempt: int, upstream: str) -> None:
        key = hold(number, attempt, upstream).key
        if key in self.model:
            self.ledger.give_back(key)
            del self.model[key]

    @invariant()
    def agrees(self) -> None:
        assert self.ledger.held_blocks == sum(self.model.values())
        on_all = [len(self.ledger.on_upstream(name)) for name in "abc"]
        assert sum(on_all) == len(self.model)


LedgerMachineTest = LedgerMachine.TestCase
