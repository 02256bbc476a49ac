"""Decides when a planned request is sent: at once, in its turn, once it hurts less, or never."""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.engine_choice import meets_caller_timeout, should_hold
from pondpin.relay.choosing.jobs import make_job
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.choosing.prefill_queue import PrefillQueue, QueuedPrompt
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.upstreams.forecast import prefill_duration
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS

# A prompt is sent when its engines are free within this time.
START_SLACK_SECONDS = 0.02
# A first event is counted on for this share of its target; forecasts err by a tenth or so.
DUE_SHARE = 0.9
# Long prompts get a third of the engines at least, in the calendar's reckoning.
FEWEST_LONG_SHARE = 3
# How long a waiting prompt rests on average before it is planned again.
REST_SECONDS = 0.03
SHORTEST_REST_SECONDS = 0.01
# One that is not first plans this seldom, to see whether it can still be of use.
REPLAN_SECONDS = 0.25
# Waiting prompts are told apart by random numbers of so many bits.
KEY_BITS = 31


class DispatchDecision(enum.Enum):
    """What becomes of a planned request now."""

    SEND = "send"
    QUEUE = "wait for its turn"
    HOLD = "wait until others lose less by it"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A prompt's place in the calendar; engines are those that long prompts share."""

    key: int
    engines: int


class Dispatcher:
    """The long prompts of this instance that wait, and the calendar they stand in."""

    def __init__(
        self,
        calendar: PrefillQueue,
        clock: Clock,
        rng: random.Random,
        tell_soon: Callable[[], None],
        knows_peers: Callable[[], bool] = lambda: True,
        policy: RelayPolicy | None = None,
    ) -> None:
        self._calendar = calendar
        self._clock = clock
        self._rng = rng
        self._tell_soon = tell_soon
        self._knows_peers = knows_peers
        self._policy = policy or RelayPolicy()

    def decide(
        self, call: RelayCall, progress: Progress, plan: Plan, turn: QueueEntry | None
    ) -> DispatchDecision:
        """Whether a request is sent as planned; turn is its place in the calendar if it has one."""
        choice = plan.choice
        if choice is None or not plan.is_long or progress.events:
            # A stream that has begun goes on at once: its caller gives up within seconds.
            return DispatchDecision.SEND
        job = make_job(call, progress, self._clock())
        if not meets_caller_timeout(choice, job) and self._policy.has(Mechanism.REFUSAL):
            return DispatchDecision.REFUSE
        holds = should_hold(choice, job) and self._policy.has(Mechanism.HOLDING)
        if holds or not self._knows_peers():
            return DispatchDecision.HOLD
        is_short = choice.part_seconds < LONG_PREFILL_SECONDS
        is_free = choice.start_delay <= START_SLACK_SECONDS
        in_turn = self._policy.has(Mechanism.CALENDAR)
        if is_short or not in_turn or (is_free and self._is_next(turn)):
            return DispatchDecision.SEND
        return DispatchDecision.QUEUE

    def _is_next(self, turn: QueueEntry | None) -> bool:
        now = self._clock()
        if turn is None:
            return not self._calendar.queued(now)
        return self._calendar.is_first(turn.key, now, turn.engines)

    def should_replan(self, turn: QueueEntry | None, planned_at: float) -> bool:
        """Whether a waiting prompt plans anew: it is first, or has not planned for a while."""
        if turn is None or self._is_next(turn):
            return True
        return self._clock() - planned_at >= REPLAN_SECONDS

    def replan_delay(self, plan: Plan, verdict: DispatchDecision) -> float:
        """Seconds until a waiting prompt looks again: when its engines are free, if not before."""
        usual = REST_SECONDS * (0.5 + self._rng.random())
        if verdict is not DispatchDecision.QUEUE or plan.choice is None:
            return usual
        return min(usual, max(SHORTEST_REST_SECONDS, plan.choice.start_delay))

    def update_queue(
        self,
        call: RelayCall,
        progress: Progress,
        plan: Plan,
        turn: QueueEntry | None,
        verdict: DispatchDecision,
    ) -> QueueEntry | None:
        """Enter the calendar, or leave it while held; returns the place there."""
        if verdict is DispatchDecision.QUEUE:
            return turn if turn is not None else self._enter(call, progress, plan)
        self.dequeue(turn)
        return None

    def dequeue(self, turn: QueueEntry | None) -> None:
        """A prompt waits no more."""
        if turn is not None:
            self._calendar.remove(turn.key)

    def _enter(self, call: RelayCall, progress: Progress, plan: Plan) -> QueueEntry:
        now = self._clock()
        job = make_job(call, progress, now)
        profile = call.configuration.services_by_name[call.service].engine
        assert profile is not None and plan.choice is not None, "only engines' prompts wait"
        prompt = QueuedPrompt(
            key=self._rng.getrandbits(KEY_BITS),
            prefill_seconds=prefill_duration(profile, job.prompt_tokens),
            due_at=now - job.waited + DUE_SHARE * job.target,
        )
        self._calendar.add(prompt)
        self._tell_soon()
        free = plan.candidate_count - plan.choice.pool_size
        return QueueEntry(prompt.key, max(1, free, plan.candidate_count // FEWEST_LONG_SHARE))
