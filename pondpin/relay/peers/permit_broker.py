"""Gets permits of limited upstreams from their homes, and answers those that ask here.

A home answers with a datagram, within a few ms; who gets no answer asks the next one.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import msgspec

from pondpin.clocks import Clock
from pondpin.pacer import Permit
from pondpin.relay.peers.permit_issuer import PERMIT_VALID_SECONDS, PermitIssuer
from pondpin.relay.upstreams.state import UpstreamState

# The first number of a message; see LIMITS_FORMAT.
PERMITS_FORMAT = 1004
# A way there and back takes 4 ms between data centres; a busy instance answers some 20 ms later.
ANSWER_TIMEOUT_SECONDS = 0.06
# A request asks so many homes; each that has none says when it will, and is not asked before.
MOST_ASKED = 4
# A home that gives no answer is left alone for so long: it may have ended.
SILENT_SECONDS = 0.5
# Told for a permit that nobody knows when to have.
LONGEST_TOLD_SECONDS = 60.0
MILLISECONDS = 1000.0


class PermitAsk(msgspec.Struct, frozen=True, array_like=True):
    """A wish for a permit of any limited upstream of a service whose home the receiver is.

    tried: lives that won't do; longest: the ms for which the request can wait.
    """

    host: str
    number: int
    service: str
    tried: tuple[int, ...]
    longest: int


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer: a permit of a life after so many ms.

    life 0: there is none, and the first comes after so many ms; or wait is 0 too and the sender is
    not the home of any, but perhaps the instance at host is.
    """

    number: int
    life: int
    wait: int
    host: str = ""


class PermitNote(msgspec.Struct, frozen=True, array_like=True):
    """A permit of a life was not spent, or one was spent that nobody had handed out."""

    life: int
    spent: bool


class PermitMessage(msgspec.Struct, frozen=True, array_like=True):
    """One of the three."""

    format: int
    ask: PermitAsk | None = None
    answer: PermitAnswer | None = None
    note: PermitNote | None = None


_MESSAGE = msgspec.msgpack.Decoder(PermitMessage)
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class NoPermit:
    """None can be had in time; the first that is known of comes after so many seconds."""

    retry_after: float


@dataclass
class PermitBroker:
    """The permits that requests of this instance use; write sends a datagram to a host."""

    issuer: PermitIssuer
    boot: int
    host: str
    write: Callable[[bytes, str], None]
    clock: Clock
    rng: random.Random

    def __post_init__(self) -> None:
        """Set up what is waited for."""
        # Answers to an earlier life at this place are none to this one's.
        self._number = self.boot
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        # When a home has a permit again, by its host and the service.
        self._free_at: dict[tuple[str, str], float] = {}
        self._silent_until: dict[str, float] = {}
        self.bytes_out = 0
        self.refused = 0

    async def acquire(
        self, service: str, tried: Collection[int], longest: float
    ) -> Permit | NoPermit:
        """A permit of an upstream of a service that can be spent within longest seconds.

        This instance's own first, then those of other homes.
        """
        states = self.issuer.limited_upstreams(service, tried)
        permit = self.issuer.issue(states, longest)
        if permit is not None:
            return permit
        hosts = self._worth_asking(states, service, longest)
        asked: set[str] = set()
        while hosts and len(asked) < MOST_ASKED:
            host = hosts.pop()
            asked.add(host)
            found = await self._ask(host, service, tried, longest)
            if isinstance(found, Permit):
                return found
            if found and found not in asked:
                hosts.append(found)
        self.refused += 1
        return self._refusal(states, service)

    def _refusal(self, states: Sequence[UpstreamState], service: str) -> NoPermit:
        return NoPermit(self.retry_after(states, service))

    def retry_after(self, states: Sequence[UpstreamState], service: str) -> float:
        """Seconds until the first permit of some upstreams that is known of, or until a home that
        gave no answer is asked again; 0 where neither is known.
        """
        now = self.clock()
        moments = [
            max(self._free_at.get((host, service), now), self._silent_until.get(host, now))
            for host in self._hosts_of(states)
        ]
        back_at = min([*moments, self.issuer.available_at(states)])
        return min(LONGEST_TOLD_SECONDS, max(0.0, back_at - now))

    def release(self, permit: Permit) -> None:
        """A permit was not spent."""
        self._note(permit.life, permit.host, spent=False)

    def record_spent(self, state: UpstreamState) -> None:
        """Something went to a limited upstream without a permit: it counts all the same."""
        if state.is_limited:
            self._note(state.life, self.issuer.owner(state).host, spent=True)

    def receive(self, data: bytes, now: float) -> bool:
        """Take a datagram; False when it is none of these."""
        try:
            message = _MESSAGE.decode(data)
        except msgspec.MsgspecError:
            return False
        if message.ask is not None:
            self._answer(message.ask)
        if message.answer is not None:
            self._heard(message.answer)
        if message.note is not None:
            self._noted(message.note)
        return message.format == PERMITS_FORMAT

    def close(self) -> None:
        """Nobody waits any more."""
        for answer in self._pending.values():
            answer.cancel()

    def _hosts_of(self, states: Sequence[UpstreamState]) -> list[str]:
        """The other instances that are homes of some upstreams."""
        return sorted({self.issuer.owner(state).host for state in states} - {"", self.host})

    def _worth_asking(
        self, states: Sequence[UpstreamState], service: str, longest: float
    ) -> list[str]:
        """Those that may have a permit in time, by chance: none is asked first by all."""
        now = self.clock()
        found = [
            host
            for host in self._hosts_of(states)
            if self._free_at.get((host, service), now) <= now + longest
            and self._silent_until.get(host, now) <= now
        ]
        self.rng.shuffle(found)
        return found

    async def _ask(
        self, host: str, service: str, tried: Collection[int], longest: float
    ) -> Permit | str:
        """The permit that a home has; else where another home may be, "" where it knows none."""
        self._number += 1
        number = self._number
        answer: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        wait = int(longest * MILLISECONDS)
        ask = PermitAsk(self.host, number, service, tuple(tried), wait)
        self._send(PermitMessage(PERMITS_FORMAT, ask=ask), host)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                told = await answer
        except TimeoutError:
            self._silent_until[host] = self.clock() + SILENT_SECONDS
            return ""
        finally:
            # An answer that comes later gives its permit back.
            self._pending.pop(number, None)
        now = self.clock()
        at = now + told.wait / MILLISECONDS
        if told.life:
            return Permit(told.life, at, at + PERMIT_VALID_SECONDS, host)
        if told.wait:
            self._free_at[host, service] = at
        else:
            self._silent_until[host] = now + SILENT_SECONDS
        return told.host

    def _answer(self, ask: PermitAsk) -> None:
        states = self.issuer.limited_upstreams(ask.service, ask.tried)
        permit = self.issuer.issue(states, ask.longest / MILLISECONDS)
        if permit is None:
            answer = self._no(ask, states)
        else:
            wait = round((permit.valid_from - self.clock()) * MILLISECONDS)
            answer = PermitAnswer(ask.number, permit.life, wait)
        self._send(PermitMessage(PERMITS_FORMAT, answer=answer), ask.host)

    def _no(self, ask: PermitAsk, states: Sequence[UpstreamState]) -> PermitAnswer:
        free_at = self.issuer.available_at(states)
        if free_at < float("inf"):
            wait = min(LONGEST_TOLD_SECONDS, free_at - self.clock())
            # 0 would say that this is no home.
            wait_ms = max(1, round(wait * MILLISECONDS))
            return PermitAnswer(ask.number, 0, wait_ms)
        others = [host for host in self._hosts_of(states) if host != ask.host]
        return PermitAnswer(ask.number, 0, 0, others[0] if others else "")

    def _heard(self, told: PermitAnswer) -> None:
        waiting = self._pending.get(told.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(told)
        elif told.life:
            state = self.issuer.table.by_life(told.life)
            if state is not None:
                self._note(told.life, self.issuer.owner(state).host, spent=False)

    def _noted(self, note: PermitNote) -> None:
        self.issuer.record_use(note.life, note.spent)

    def _note(self, life: int, host: str, spent: bool) -> None:
        if host in ("", self.host):
            self.issuer.record_use(life, spent)
        else:
            self._send(PermitMessage(PERMITS_FORMAT, note=PermitNote(life, spent)), host)

    def _send(self, message: PermitMessage, host: str) -> None:
        data = _ENCODER.encode(message)
        self.bytes_out += len(data)
        self.write(data, host)
