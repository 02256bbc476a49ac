"""What became of each call token of this incarnation: a bit for ever, the answer for a while."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from pondpin.codes import Ran
from pondpin.invariants import INVARIANTS, Invariants

MAX_ANSWER_BYTES_HELD = 32 << 20
BITS = 8


class Stage(enum.Enum):
    """How far the call of a token is."""

    UNUSED = "unused"
    RUNNING = "running"
    CLOSED = "not run, for good"
    DONE = "done"
    FORGOTTEN = "done, answer forgotten"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The whole answer of a call, for a caller who asks again. kept_at is in seconds."""

    status: int
    content_type: str
    body: bytes
    ran: Ran
    kept_at: float


@dataclass
class NumberBits:
    """One bit for each token number."""

    bits: bytearray = field(default_factory=bytearray)

    def has(self, number: int) -> bool:
        """Whether the number's bit is set."""
        index = number // BITS
        return index < len(self.bits) and bool(self.bits[index] >> (number % BITS) & 1)

    def add(self, number: int) -> None:
        """Set the number's bit."""
        index = number // BITS
        if index >= len(self.bits):
            self.bits.extend(bytes(index + 1 - len(self.bits)))
        self.bits[index] |= 1 << (number % BITS)


@dataclass
class OnceTable:
    """The calls of this incarnation's tokens, by the token's number.

    Bits are never cleared, so 'ran' and 'not run' stay true after answers are forgotten.
    """

    answers_kept_seconds: float
    invariants: Invariants = INVARIANTS
    issued: int = 0
    spent: NumberBits = field(default_factory=NumberBits)
    closed: NumberBits = field(default_factory=NumberBits)
    running: set[int] = field(default_factory=set)
    answers_by_number: OrderedDict[int, KeptAnswer] = field(default_factory=OrderedDict)
    answer_bytes: int = 0

    def issue(self) -> int:
        """The number of a new token."""
        number = self.issued
        self.issued += 1
        return number

    def stage(self, number: int) -> Stage:
        """How far the call of a number is."""
        if number in self.running:
            return Stage.RUNNING
        if self.closed.has(number):
            return Stage.CLOSED
        if number in self.answers_by_number:
            return Stage.DONE
        return Stage.FORGOTTEN if self.spent.has(number) else Stage.UNUSED

    def begin(self, number: int) -> None:
        """The call is about to be sent: from now on its token is spent."""
        unspent = not self.spent.has(number)
        self.invariants.check(unspent, "token_spent_once", f"token {number}")
        known = number < self.issued
        self.invariants.check(known, "token_was_issued", f"token {number}")
        self.spent.add(number)
        self.running.add(number)

    def close(self, number: int) -> None:
        """No byte of the call was sent, and none ever will be: 'not run' is now true for good.

        A try that is still on its way somewhere must not run the call after its caller
        was told so; who wants to try again takes a new token.
        """
        sent = self.spent.has(number) and number not in self.running
        self.invariants.check(not sent, "token_closed_before_it_was_sent", f"token {number}")
        self.running.discard(number)
        self.spent.add(number)
        self.closed.add(number)

    def finish(self, number: int, answer: KeptAnswer) -> None:
        """The call ended, with an answer or with an unknown outcome."""
        self.invariants.check(number in self.running, "token_finished_while_running")
        self.running.discard(number)
        self.answers_by_number[number] = answer
        self.answer_bytes += len(answer.body)
        while self.answer_bytes > MAX_ANSWER_BYTES_HELD:
            self._drop_oldest()

    def answer(self, number: int) -> KeptAnswer:
        """The answer of a call that is done."""
        return self.answers_by_number[number]

    def forget_old(self, now: float) -> None:
        """Drop answers that were kept long enough; their bits stay."""
        while self.answers_by_number:
            oldest = next(iter(self.answers_by_number.values()))
            if now - oldest.kept_at < self.answers_kept_seconds:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, answer = self.answers_by_number.popitem(last=False)
        self.answer_bytes -= len(answer.body)
