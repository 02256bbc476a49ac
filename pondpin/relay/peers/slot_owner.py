"""Grants the slots of the upstreams that this instance owns, for the requests of all instances.

An ask is answered once it is granted or refused; one that waits is acknowledged at once, so that a
silent owner is noticed before the wait is over.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pondpin.clocks import Clock
from pondpin.overload.slot_queue import SlotQueue
from pondpin.overload.slots import (
    SlotDecision,
    SlotOutcome,
    SlotRequest,
    SlotScheduler,
    SlotStatus,
)
from pondpin.relay.model import Load
from pondpin.relay.peers.slot_messages import (
    UNKNOWN_LOAD,
    SlotAnswer,
    SlotAsk,
    SlotEnd,
    SlotOutcomeCode,
)
from pondpin.relay.upstreams.contention import EVIDENCE_SECONDS
from pondpin.relay.upstreams.state import UpstreamState

# Interval in which waiting asks and grants without an end are checked, while there are any.
STEP_SECONDS = 0.025
IDLE_STEP_SECONDS = 1.0
# The state of a life without asks is dropped after this long.
IDLE_SECONDS = 10.0
# Weight of a decision in the share of requests that are refused for good, and the share from which
# on slots are scarce: a single refusal amid calm is by chance.
DECISION_WEIGHT = 1.0 / 16
SCARCE_SHARE = 0.15
# A shorter hold time of the first request would be a fault of its forecast.
LEAST_HOLD_SECONDS = 0.001
MILLISECONDS = 1000.0
HUNDREDTHS = 100.0

CODE_BY_OUTCOME = {
    SlotOutcome.GRANTED: SlotOutcomeCode.GRANTED,
    SlotOutcome.WAITING: SlotOutcomeCode.WAITING,
    SlotOutcome.REFUSED: SlotOutcomeCode.REFUSED,
}


@dataclass(slots=True)
class _OwnedLife:
    """The scheduler of a life, when it was last asked, and what it decided.

    refused_share: of the decisions, those that refused a request for good. refused_at: the last.
    """

    scheduler: SlotScheduler
    used_at: float
    refused_share: float = 0.0
    refused_at: float = float("-inf")

    def count(self, is_refused: bool, now: float) -> None:
        """Count a decision that grants a slot or refuses a request for good."""
        self.refused_share += (is_refused - self.refused_share) * DECISION_WEIGHT
        if is_refused:
            self.refused_at = now

    def is_scarce(self, now: float) -> bool:
        """Whether more than a few requests were refused for good lately."""
        return now - self.refused_at < EVIDENCE_SECONDS and self.refused_share >= SCARCE_SHARE


@dataclass
class SlotOwner:
    """Holds a scheduler for each life that instances asked slots of.

    slots_of: number of slots of an upstream. other_owner_host: see SlotOwners. answer: is called
    with the host of an ask, "" for this instance, the answer, and whether the ask was acknowledged
    before.
    """

    by_life: Callable[[int], UpstreamState | None]
    slots_of: Callable[[UpstreamState], int]
    is_settled: Callable[[], bool]
    other_owner_host: Callable[[UpstreamState], str]
    answer: Callable[[str, SlotAnswer, bool], None]
    clock: Clock
    make_scheduler: Callable[[int, float], SlotScheduler] = SlotQueue
    owned_by_life: dict[int, _OwnedLife] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # Hosts of the asks that wait here, and those that no other owner is asked for after a
        # refusal.
        self._host_by_key: dict[int, str] = {}
        self._last_keys: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None

    def status(self, life: int) -> SlotStatus | None:
        """Slots of a life that are granted here; None where this instance isn't asked."""
        owned = self.owned_by_life.get(life)
        return None if owned is None else owned.scheduler.status(self.clock())

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def handle_ask(self, ask: SlotAsk) -> None:
        """Decide on an ask of another instance."""
        state = self.by_life(ask.life)
        if state is None or not self.is_settled():
            self.answer(ask.host, SlotAnswer(ask.key, SlotOutcomeCode.NOT_OWNER), False)
            return
        other_host = "" if ask.is_forced else self.other_owner_host(state)
        if other_host:
            answer = SlotAnswer(ask.key, SlotOutcomeCode.NOT_OWNER, owner_host=other_host)
            self.answer(ask.host, answer, False)
            return
        request = SlotRequest(
            ask.key,
            ask.rank,
            ask.account,
            ask.cost / MILLISECONDS,
            ask.max_wait / MILLISECONDS,
            ask.is_return,
            ask.is_last,
        )
        is_known = ask.running != UNKNOWN_LOAD
        load = Load(ask.running, ask.waiting, 0) if is_known else None
        self.decide(state, request, ask.host, load)

    def decide(
        self, state: UpstreamState, request: SlotRequest, host: str, load: Load | None
    ) -> None:
        """Decide on an ask; load: what the upstream reported last, for a new scheduler."""
        owned = self._owned(state, request.cost_seconds, load)
        self._host_by_key[request.key] = host
        if request.is_last:
            self._last_keys.add(request.key)
        own, *others = owned.scheduler.request(request, self.clock())
        self._deliver(state.life, owned, (own,), acknowledges=True)
        self._deliver(state.life, owned, others)
        self._start_timer()

    def _owned(self, state: UpstreamState, hold_seconds: float, load: Load | None) -> _OwnedLife:
        owned = self.owned_by_life.get(state.life)
        if owned is None:
            hold = max(LEAST_HOLD_SECONDS, hold_seconds)
            owned = _OwnedLife(self.make_scheduler(self.slots_of(state), hold), 0.0)
            self.owned_by_life[state.life] = owned
            # Grants of an earlier owner, and requests that were sent without one.
            if load is not None:
                self._observe(owned, load)
        owned.used_at = self.clock()
        return owned

    def _observe(self, owned: _OwnedLife, load: Load) -> tuple[SlotDecision, ...]:
        return owned.scheduler.observe_load(load.running, load.waiting, self.clock())

    def handle_end(self, end: SlotEnd) -> None:
        """End a grant or withdraw an ask, and apply the load that its upstream reported."""
        owned = self.owned_by_life.get(end.life)
        if owned is None:
            return
        if end.running != UNKNOWN_LOAD:
            load = Load(end.running, end.waiting, 0)
            self._deliver(end.life, owned, self._observe(owned, load))
        if end.key:
            self._forget(end.key)
            self._deliver(end.life, owned, owned.scheduler.release(end.key, self.clock()))

    def _deliver(
        self,
        life: int,
        owned: _OwnedLife,
        decisions: Iterable[SlotDecision],
        acknowledges: bool = False,
    ) -> None:
        """Answer asks whose state changed; acknowledges: also those that wait."""
        for decision in decisions:
            host = self._host_by_key.get(decision.key)
            waits = decision.outcome is SlotOutcome.WAITING
            if host is None or (waits and not acknowledges):
                continue
            is_refused = decision.outcome is SlotOutcome.REFUSED
            if not waits and (not is_refused or decision.key in self._last_keys):
                owned.count(is_refused, self.clock())
            if not waits:
                self._forget(decision.key)
            status = owned.scheduler.status(self.clock())
            answer = SlotAnswer(
                decision.key,
                CODE_BY_OUTCOME[decision.outcome],
                round(decision.wait_seconds * MILLISECONDS),
                round(decision.retry_after_seconds * MILLISECONDS),
                round(decision.account_share * HUNDREDTHS),
                status.slots,
                round(status.hold_seconds * MILLISECONDS),
                waits or status.granted + status.ungranted >= status.slots,
                owned.is_scarce(self.clock()),
            )
            self.answer(host, answer, not acknowledges)

    def _forget(self, key: int) -> None:
        self._host_by_key.pop(key, None)
        self._last_keys.discard(key)

    def _start_timer(self, seconds: float = STEP_SECONDS) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._step)

    def _step(self) -> None:
        """End grants without an end, refuse asks that waited too long, and drop idle lives."""
        self._timer = None
        now = self.clock()
        is_busy = False
        for life, owned in list(self.owned_by_life.items()):
            self._deliver(life, owned, owned.scheduler.expire(now))
            status = owned.scheduler.status(now)
            if status.granted or status.waiting:
                is_busy = True
            elif now - owned.used_at >= IDLE_SECONDS:
                del self.owned_by_life[life]
        if self.owned_by_life:
            self._start_timer(STEP_SECONDS if is_busy else IDLE_STEP_SECONDS)
