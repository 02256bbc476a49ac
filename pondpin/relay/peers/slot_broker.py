"""Acquires slots of contended upstreams from their owners.

Each life has an owner among the live instances of its data centre, see `SlotOwner`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from pondpin.clocks import Clock
from pondpin.overload.slots import SlotRequest
from pondpin.relay.model import Load
from pondpin.relay.peers.life_owners import SlotOwners
from pondpin.relay.peers.permit_issuer import PermitOwner
from pondpin.relay.peers.slot_messages import (
    SLOTS_FORMAT,
    UNKNOWN_LOAD,
    SlotAnswer,
    SlotAsk,
    SlotEnd,
    SlotMessage,
    SlotOutcomeCode,
    decode_slots,
    encode_slots,
)
from pondpin.relay.peers.slot_owner import HUNDREDTHS, MILLISECONDS, SlotOwner
from pondpin.relay.slot_results import SlotGrant, SlotRefusal
from pondpin.relay.upstreams.contention import EVIDENCE_SECONDS, OWNER_ANSWER, Contention
from pondpin.relay.upstreams.state import REPORTED_LOAD_SECONDS, UpstreamState

# An owner is silent without any answer for this long, or after the wait that it acknowledged. A
# round trip takes 11 ms at most, a busy instance replies about 20 ms later.
ANSWER_TIMEOUT_SECONDS = 0.05
# Times that an ask is sent in it: a datagram may be lost.
SENDS = 2
# A waiting ask is acknowledged again after this long, as its owner may end.
ACKNOWLEDGED_SECONDS = 0.25
# Instances asked: one that names the owner, the owner, and the earlier one if it has just started.
MAX_OWNERS = 3
# Passes of the event loop that handle a datagram at both sides if they are in one process.
LOOP_PASSES = 4
# An event loop that is this late may have read an answer late.
LATE_SECONDS = 0.01
# When a caller returns whose request was not decided on within its wait.
UNDECIDED_RETRY_SECONDS = 0.4
# A silent owner is not asked for this long; by then digests show that it ended.
SILENT_SECONDS = 1.0
# An instance that has just started owns nothing, and is asked again after this long: while some
# instances ask it and others the earlier owner, both grant the same slots.
UNSETTLED_SECONDS = 0.1
# Ends, and decisions on asks that waited, are sent again after this long: a lost end would occupy
# its slot until the grant lapses, at least 0.5 s.
AGAIN_SECONDS = 0.01
# A key has the lower bits of the boot, and a count.
BOOT_BITS = 36
COUNT_BITS = 27


@dataclass(slots=True)
class _Pending:
    """An ask of this instance.

    bound: until when it waits. granted_at: its owner's forecast, None before the first.
    is_heard: its owner acknowledged the last message. is_late: the own event loop was late, so that
    the owner may have answered in time.
    """

    answer: "asyncio.Future[SlotAnswer]"
    bound: float
    granted_at: float | None = None
    is_heard: bool = False
    is_late: bool = False


@dataclass
class SlotBroker:
    """Asks for the requests of this instance; write sends a datagram to a host."""

    boot: int
    host: str
    owners: SlotOwners
    contention: Contention
    write: Callable[[bytes, str], None]
    clock: Clock
    owner: SlotOwner = field(init=False)

    def __post_init__(self) -> None:
        self._count = 0
        self._pending: dict[int, _Pending] = {}
        self._scarce_until_by_service: dict[str, float] = {}
        self.bytes_out = 0

    def new_key(self) -> int:
        """A key that no other instance, and no earlier process of this one, uses."""
        self._count = (self._count + 1) % (1 << COUNT_BITS)
        return (self.boot % (1 << BOOT_BITS)) << COUNT_BITS | self._count

    def is_scarce(self, service: str) -> bool:
        """Whether owners of a service's upstreams refused requests for good a moment ago."""
        return self.clock() < self._scarce_until_by_service.get(service, float("-inf"))

    async def acquire(self, state: UpstreamState, request: SlotRequest) -> SlotGrant | SlotRefusal:
        """Acquire a slot of a life.

        A request goes on without a decision if no owner is known, or the owner is silent. One that
        has just started is replaced at once by the next in order, which was the owner before.
        """
        undecided = SlotGrant(0, state.life)
        for _ in range(MAX_OWNERS):
            owner = self.owners.owner(state)
            if not owner.host:
                return undecided
            host = self._host_of(owner)
            answer = await self._acquire_of(state, request, host)
            if answer is None:
                return undecided
            if answer.outcome is not SlotOutcomeCode.NOT_OWNER:
                return self._result(state, request, answer, host)
            if answer.owner_host and not self.owners.is_bypassed(answer.owner_host):
                self.owners.name(state.life, answer.owner_host)
            else:
                self.owners.bypass(owner.host, UNSETTLED_SECONDS)
        return undecided

    def forecast_wait(self, key: int, now: float) -> float:
        """Seconds until an ask is granted; a forecast that was exceeded gives way to its bound."""
        pending = self._pending.get(key)
        if pending is None:
            return 0.0
        if pending.granted_at is None or pending.granted_at < now:
            return max(0.0, pending.bound - now)
        return pending.granted_at - now

    def _host_of(self, owner: PermitOwner) -> str:
        """The host of an owner, "" for this instance."""
        return "" if owner.host == self.host else owner.host

    async def _acquire_of(
        self, state: UpstreamState, request: SlotRequest, host: str
    ) -> SlotAnswer | None:
        """The final answer of an owner, "" for this instance; None if it stays silent."""
        bound = self.clock() + request.max_wait_seconds
        pending = _Pending(asyncio.get_running_loop().create_future(), bound)
        self._pending[request.key] = pending
        is_silent = False
        try:
            if host:
                is_silent = not await self._ask(pending, state, request, host)
            elif self.owner.is_settled():
                await self._ask_self(pending, state, request)
            else:
                pending.answer.set_result(SlotAnswer(request.key, SlotOutcomeCode.NOT_OWNER))
        except BaseException:
            # Its caller left, perhaps as the grant arrived.
            self._end(SlotGrant(request.key, state.life, host), None)
            raise
        finally:
            del self._pending[request.key]
        if pending.answer.done():
            return pending.answer.result()
        self._end(SlotGrant(request.key, state.life, host), None)
        if is_silent:
            if not pending.is_late:
                self.owners.bypass(host, SILENT_SECONDS)
            return None
        # Its owner is alive, and decided nothing within the wait.
        retry_after = round(UNDECIDED_RETRY_SECONDS * MILLISECONDS)
        return SlotAnswer(request.key, SlotOutcomeCode.REFUSED, 0, retry_after)

    async def _ask_self(
        self, pending: _Pending, state: UpstreamState, request: SlotRequest
    ) -> None:
        load = self._recent_load(state)
        self.owner.decide(state, request, "", load)
        if not await self._wait(pending, request.max_wait_seconds):
            self.owner.decide(state, replace(request, max_wait_seconds=0.0), "", load)

    async def _ask(
        self, pending: _Pending, state: UpstreamState, request: SlotRequest, host: str
    ) -> bool:
        """Send an ask until it is decided on or its wait is over; False if the owner is silent.

        While it waits, and at the end of the wait, the owner must acknowledge it.
        """
        ends_at = self.clock() + request.max_wait_seconds
        while True:
            left = max(0.0, ends_at - self.clock())
            data = encode_slots(self._ask_message(state, request, left))
            pending.is_heard = False
            for _ in range(SENDS):
                self._write(data, host)
                if await self._wait(pending, ANSWER_TIMEOUT_SECONDS / SENDS):
                    return True
                if await self._catch_up(pending):
                    return True
                if pending.is_heard:
                    break
            if not pending.is_heard:
                return False
            left = ends_at - self.clock()
            if left <= 0 or await self._wait(pending, min(left, ACKNOWLEDGED_SECONDS)):
                return True

    def _ask_message(
        self, state: UpstreamState, request: SlotRequest, max_wait: float
    ) -> SlotMessage:
        load = self._recent_load(state)
        ask = SlotAsk(
            self.host,
            request.key,
            state.life,
            request.rank,
            request.account,
            round(request.cost_seconds * MILLISECONDS),
            int(max_wait * MILLISECONDS),
            request.is_return,
            request.is_last,
            UNKNOWN_LOAD if load is None else load.running,
            UNKNOWN_LOAD if load is None else load.waiting,
            self.owners.is_bypassed(),
        )
        return SlotMessage(SLOTS_FORMAT, ask=ask)

    def _recent_load(self, state: UpstreamState) -> Load | None:
        is_recent = self.clock() - state.reported_load_at < REPORTED_LOAD_SECONDS
        return state.reported_load if is_recent else None

    async def _catch_up(self, pending: _Pending) -> bool:
        """Whether an answer had arrived, but was not read yet, as the own event loop is late.

        Without it, a busy instance takes all owners for silent, and sends all requests without a
        grant, which makes it busier.
        """
        for _ in range(LOOP_PASSES):
            if pending.is_heard or pending.answer.done():
                break
            await asyncio.sleep(0)
        return pending.answer.done()

    async def _wait(self, pending: _Pending, seconds: float) -> bool:
        if not pending.answer.done():
            began = self.clock()
            await asyncio.wait((pending.answer,), timeout=seconds)
            pending.is_late = pending.is_late or self.clock() - began > seconds + LATE_SECONDS
        return pending.answer.done()

    def _result(
        self, state: UpstreamState, request: SlotRequest, answer: SlotAnswer, host: str
    ) -> SlotGrant | SlotRefusal:
        if answer.is_contended:
            self.contention.record(state.life, OWNER_ANSWER, self.clock())
        if answer.is_scarce:
            self._scarce_until_by_service[state.listed.service] = self.clock() + EVIDENCE_SECONDS
        if answer.outcome is SlotOutcomeCode.GRANTED:
            return SlotGrant(request.key, state.life, host)
        return SlotRefusal(
            answer.wait / MILLISECONDS,
            answer.retry_after / MILLISECONDS,
            answer.share / HUNDREDTHS,
            answer.slots,
            answer.hold / MILLISECONDS,
        )

    def end(self, grant: SlotGrant, state: UpstreamState | None, load: Load | None) -> None:
        """End a grant, with the load that the upstream has just reported.

        An owner that has taken over since gets the load too, as it knows no grants of others and
        grants nothing while it counts their requests.
        """
        if grant.is_decided:
            self._end(grant, load)
        if state is not None and load is not None:
            host = self._host_of(self.owners.owner(state))
            if not grant.is_decided or host != grant.host:
                self.report_load(state, load)

    def _end(self, grant: SlotGrant, load: Load | None) -> None:
        end = SlotEnd(grant.key, grant.life)
        if load is not None:
            end = SlotEnd(grant.key, grant.life, load.running, load.waiting)
        if grant.host:
            self._send_twice(SlotMessage(SLOTS_FORMAT, end=end), grant.host)
        else:
            self.owner.handle_end(end)

    def report_load(self, state: UpstreamState, load: Load) -> None:
        """Tell the owner of a life the load that the upstream has just reported."""
        owner = self.owners.owner(state)
        if owner.host:
            host = self._host_of(owner)
            self._end(SlotGrant(0, state.life, host), load)

    def receive(self, data: bytes) -> None:
        """Handle a message about slots, which may be invalid."""
        message = decode_slots(data)
        if message is None:
            return
        if message.ask is not None:
            self.owner.handle_ask(message.ask)
        if message.answer is not None:
            self._handle_answer(message.answer)
        if message.end is not None:
            self.owner.handle_end(message.end)

    def close(self) -> None:
        """Cancel timers and pending asks."""
        self.owner.close()
        for pending in self._pending.values():
            pending.answer.cancel()

    def send_answer(self, host: str, answer: SlotAnswer, waited: bool) -> None:
        """Send an answer of the own lives' owner; host is "" for an ask of this instance.

        waited: the ask was acknowledged before, so that it is not sent again for some time.
        """
        message = SlotMessage(SLOTS_FORMAT, answer=answer)
        if not host:
            self._handle_answer(answer)
        elif waited:
            self._send_twice(message, host)
        else:
            self._write(encode_slots(message), host)

    def _handle_answer(self, answer: SlotAnswer) -> None:
        pending = self._pending.get(answer.key)
        if pending is None or pending.answer.done():
            # The grant of a late answer lapses, as its life isn't known here any more.
            return
        if answer.outcome is SlotOutcomeCode.WAITING:
            pending.is_heard = True
            pending.granted_at = self.clock() + answer.wait / MILLISECONDS
        else:
            pending.answer.set_result(answer)

    def _send_twice(self, message: SlotMessage, host: str) -> None:
        data = encode_slots(message)
        self._write(data, host)
        asyncio.get_running_loop().call_later(AGAIN_SECONDS, self._write, data, host)

    def _write(self, data: bytes, host: str) -> None:
        self.bytes_out += len(data)
        self.write(data, host)
