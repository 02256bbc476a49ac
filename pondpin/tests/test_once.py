"""Call tokens and what became of them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondpin.call_tokens import CallToken, read_token, sign_token
from pondpin.codes import Code, Ran
from pondpin.cursors import Cursor, read_cursor, sign_cursor
from pondpin.errors import PondpinError
from pondpin.invariants import InvariantError, Invariants
from pondpin.once import KeptAnswer, OnceTable, Stage
from pondpin.signing import make_signer

SIGNER = make_signer("k" * 32, ())
TOKEN = CallToken("entry-a1", 123456789, 42, "padyak", 1_800_000_000, 7)


def strict_table(kept: float = 10.0) -> OnceTable:
    invariants = Invariants()
    invariants.fatal = True
    return OnceTable(kept, invariants)


def answer(now: float = 0.0, ran: Ran = Ran.RAN) -> KeptAnswer:
    return KeptAnswer(200, "application/json", b"{}", ran, now)


class TokenTest(unittest.TestCase):
    def test_there_and_back(self) -> None:
        self.assertEqual(read_token(SIGNER, sign_token(SIGNER, TOKEN)), TOKEN)

    def test_a_key_being_rotated_still_verifies(self) -> None:
        newer = make_signer("n" * 32, ("k" * 32,))
        self.assertEqual(read_token(newer, sign_token(SIGNER, TOKEN)), TOKEN)

    @given(st.text(max_size=80))
    def test_any_text_is_refused(self, text: str) -> None:
        with self.assertRaises(PondpinError) as caught:
            read_token(SIGNER, text)
        self.assertIs(caught.exception.code, Code.TOKEN_INVALID)

    @given(position=st.integers(0, 60), character=st.characters(codec="ascii"))
    def test_a_changed_token_is_refused(self, position: int, character: str) -> None:
        text = sign_token(SIGNER, TOKEN)
        changed = text[:position] + character + text[position + 1 :]
        if changed != text:
            with self.assertRaises(PondpinError):
                read_token(SIGNER, changed)

    @given(st.text(max_size=80))
    def test_any_cursor_is_refused(self, text: str) -> None:
        with self.assertRaises(PondpinError):
            read_cursor(SIGNER, text)

    def test_cursor_there_and_back(self) -> None:
        cursor = Cursor("entry-a1.x.1", 1, "engine-1", "padyak", "chat", 1_800_000_000, 17)
        self.assertEqual(read_cursor(SIGNER, f"{sign_cursor(SIGNER, cursor)}:17"), cursor)


class TableTest(unittest.TestCase):
    def test_a_token_is_begun_once(self) -> None:
        table = strict_table()
        number = table.issue()
        table.begin(number)
        with self.assertRaises(InvariantError):
            table.begin(number)

    def test_a_closed_token_never_runs(self) -> None:
        table = strict_table()
        for begun in (True, False):
            number = table.issue()
            if begun:
                table.begin(number)
            table.close(number)
            self.assertIs(table.stage(number), Stage.CLOSED)
            with self.assertRaises(InvariantError):
                table.begin(number)

    def test_what_was_sent_can_not_be_closed(self) -> None:
        table = strict_table()
        number = table.issue()
        table.begin(number)
        table.finish(number, answer())
        with self.assertRaises(InvariantError):
            table.close(number)

    def test_a_forgotten_answer_is_never_run_again(self) -> None:
        table = strict_table(kept=5.0)
        number = table.issue()
        table.begin(number)
        table.finish(number, answer(now=0.0))
        table.forget_old(6.0)
        self.assertIs(table.stage(number), Stage.FORGOTTEN)


class OnceMachine(RuleBasedStateMachine):
    """Callers, failures and time in any order: no number ever runs twice."""

    def __init__(self) -> None:
        super().__init__()
        self.table = strict_table(kept=3.0)
        self.now = 0.0
        self.runs: dict[int, int] = {}
        self.told_not_run: set[int] = set()

    @rule()
    def issue(self) -> None:
        self.runs[self.table.issue()] = 0

    @rule(number=st.integers(0, 40))
    def try_call(self, number: int) -> None:
        if number in self.runs and self.table.stage(number) is Stage.UNUSED:
            self.table.begin(number)

    @rule(number=st.integers(0, 40), ran=st.sampled_from([Ran.RAN, Ran.UNKNOWN, Ran.NOT_RUN]))
    def end_call(self, number: int, ran: Ran) -> None:
        if number not in self.table.running:
            return
        if ran is Ran.NOT_RUN:
            self.table.close(number)
            self.told_not_run.add(number)
        else:
            self.runs[number] += 1
            self.table.finish(number, answer(self.now, ran))

    @rule(seconds=st.floats(0, 5))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.table.forget_old(self.now)

    @invariant()
    def runs_at_most_once(self) -> None:
        for number, count in self.runs.items():
            assert count <= 1
            if number in self.told_not_run:
                assert count == 0
            if count:
                assert self.table.stage(number) in (Stage.DONE, Stage.FORGOTTEN)


OnceMachineTest = OnceMachine.TestCase
