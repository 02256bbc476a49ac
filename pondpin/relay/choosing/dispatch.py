"""Dispatch of planned requests: send now, queue, hold, or refuse."""

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import xxhash

from pondpin.clocks import Clock
from pondpin.relay.call import Progress, RelayCall, Wait, WaitPlace
from pondpin.relay.choosing.heavy_choice import LATEST_SHARE, meets_caller_timeout, should_hold
from pondpin.relay.choosing.jobs import make_job
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.choosing.prefill_forecast import OnTimeRate, RankFloors, start_delay
from pondpin.relay.choosing.prefill_order import KEY_BITS, DispatchOrder, QueuedPrompt
from pondpin.relay.choosing.prefill_queue import PrefillQueue
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.upstreams.forecast import prefill_duration
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS

START_SLACK_SECONDS = 0.02
# Due times leave a tenth of the target as a margin: forecasts err by about as much.
DUE_SHARE = 0.9
# The queue assumes that long prompts get at least a third of the engines.
LONG_ENGINES_DIVISOR = 3
MEAN_DELAY_SECONDS = 0.03
MIN_DELAY_SECONDS = 0.01
# Interval at which a prompt behind the head is replanned, to refuse it if it will be too late.
REPLAN_SECONDS = 0.25
# Changes of the order within this time are reviewed together; a refusal is due within 10 ms.
REVIEW_SECONDS = 0.004
# Bounds of a refused caller's return: below, it would meet the same queue; above, the forecast says
# nothing, as the load lasts for an unknown time.
MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 10.0
# Returns are spread over the forecast and this share of it.
RETRY_SPREAD = 0.5


class DispatchDecision(enum.Enum):
    """What to do with a planned request now."""

    SEND = "send"
    QUEUE = "wait for its turn"
    HOLD = "wait until others lose less by it"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued prompt, and how many engines serve long prompts.

    share_engines: those that serve the prompts of the common queue, in a large fleet the queue of a
    data centre.
    """

    prompt: QueuedPrompt
    engines: int
    share_engines: int = 0

    @property
    def key(self) -> int:
        """The prompt's key."""
        return self.prompt.key


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A prompt that is queued next unless it is refused."""

    call: RelayCall
    prompt: QueuedPrompt


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A queued prompt between two plans.

    latest_start: if it starts later, its caller gives up. engines_free_at: as last planned.
    """

    prompt: QueuedPrompt
    engines: int
    latest_start: float
    engines_free_at: float


class Dispatcher:
    """Decides when planned requests are sent, and queues long prompts."""

    def __init__(
        self,
        queue: PrefillQueue,
        clock: Clock,
        rng: random.Random,
        send_soon: Callable[[], None],
        knows_peers: Callable[[], bool] = lambda: True,
        policy: RelayPolicy | None = None,
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._rng = rng
        self._send_soon = send_soon
        self._knows_peers = knows_peers
        self._policy = policy or RelayPolicy()
        self._uses_shares = self._policy.has(Mechanism.SLOT_GRANTS)
        queue.uses_shares = self._uses_shares
        if self._uses_shares:
            queue.on_change = self._review_soon
        self._candidate: _Candidate | None = None
        self._rate = OnTimeRate()
        self._floors = RankFloors(rng)
        self._engines = 0
        self._waiting_by_key: dict[int, _Waiting] = {}
        self._wakes_by_key: dict[int, asyncio.Event] = {}
        self._review: asyncio.TimerHandle | None = None

    def decide(
        self, call: RelayCall, progress: Progress, plan: Plan, entry: QueueEntry | None
    ) -> DispatchDecision:
        """Decide on a planned request; entry: if it is queued."""
        decision = self._decide(call, progress, plan, entry)
        is_end = decision in (DispatchDecision.SEND, DispatchDecision.REFUSE)
        if is_end and plan.is_long and plan.choice is not None and self._uses_shares:
            seconds = (len(plan.helpers) + 1) * plan.choice.part_seconds
            is_sent = decision is DispatchDecision.SEND
            self._floors.record_end(call.rank, seconds, is_sent, self._clock())
        return decision

    def _decide(
        self, call: RelayCall, progress: Progress, plan: Plan, entry: QueueEntry | None
    ) -> DispatchDecision:
        choice = plan.choice
        if choice is None or not plan.is_long or progress.events:
            # A started stream resumes at once: its caller gives up within seconds.
            return DispatchDecision.SEND
        job = make_job(call, progress, self._clock())
        if not meets_caller_timeout(choice, job) and self._policy.has(Mechanism.REFUSAL):
            return DispatchDecision.REFUSE
        holds = should_hold(choice, job) and self._policy.has(Mechanism.HOLDING)
        if holds or not self._knows_peers():
            return DispatchDecision.HOLD
        is_short = choice.part_seconds < LONG_PREFILL_SECONDS
        is_free = choice.start_delay <= START_SLACK_SECONDS
        uses_queue = self._policy.has(Mechanism.CALENDAR)
        if is_short or not uses_queue or (is_free and self._is_first(entry)):
            return DispatchDecision.SEND
        if self._uses_shares and self._policy.has(Mechanism.REFUSAL):
            return self._queue_or_refuse(call, progress, plan, entry)
        return DispatchDecision.QUEUE

    def _queue_or_refuse(
        self, call: RelayCall, progress: Progress, plan: Plan, entry: QueueEntry | None
    ) -> DispatchDecision:
        """Refuse a prompt that starts too late in the common order."""
        now = self._clock()
        if entry is None:
            prompt, engines = self._new_prompt(call, progress, plan), _share_engines(plan)
            self._engines = engines
        else:
            prompt, engines = entry.prompt, entry.share_engines
        waiting = self._forecast_input(call, progress, plan, prompt, engines)
        order = self._queue.forecast_order(now, engines, prompt if entry is None else None)
        self._rate.observe(order, engines, now)
        if self._start_delay(waiting, order, now) > waiting.latest_start - now:
            return DispatchDecision.REFUSE
        self._waiting_by_key[prompt.key] = waiting
        if entry is None:
            self._candidate = _Candidate(call, prompt)
        return DispatchDecision.QUEUE

    def _start_delay(self, waiting: _Waiting, order: DispatchOrder, now: float) -> float:
        running = max(0.0, waiting.engines_free_at - now)
        share = self._rate.share(now)
        return start_delay(order, waiting.prompt, waiting.engines, running, share)

    def _forecast_input(
        self, call: RelayCall, progress: Progress, plan: Plan, prompt: QueuedPrompt, engines: int
    ) -> _Waiting:
        choice = plan.choice
        profile = call.configuration.services_by_name[call.service].engine
        assert choice is not None and profile is not None, "only engines' prompts wait"
        now = self._clock()
        job = make_job(call, progress, now)
        # Until the first event; then the answer takes at least one step per token.
        own_seconds = choice.first_event_seconds - choice.start_delay
        answer_seconds = call.metadata.answer_tokens * profile.step_seconds
        until_gives_up = LATEST_SHARE * job.caller_timeout - job.waited
        left = min(until_gives_up, call.deadline - now - answer_seconds) - own_seconds
        return _Waiting(prompt, engines, now + left, now + choice.start_delay)

    def _review_soon(self) -> None:
        """Review the queue after a change of it, if prompts wait here or the rate is due."""
        if self._waiting_by_key and self._review is None and self._wakes_by_key:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(REVIEW_SECONDS, self._review_queue)
        elif self._engines and self._rate.is_due(self._clock()):
            now = self._clock()
            self._rate.observe(self._queue.forecast_order(now, self._engines), self._engines, now)

    def _review_queue(self) -> None:
        """Wake prompts that start too late by the present order, to be planned and refused."""
        self._review = None
        now = self._clock()
        order_by_engines: dict[int, DispatchOrder] = {}
        for key, wake in self._wakes_by_key.items():
            waiting = self._waiting_by_key.get(key)
            if waiting is None:
                continue
            order = order_by_engines.get(waiting.engines)
            if order is None:
                order = self._queue.forecast_order(now, waiting.engines)
                order_by_engines[waiting.engines] = order
                self._rate.observe(order, waiting.engines, now)
            if self._start_delay(waiting, order, now) > waiting.latest_start - now:
                wake.set()

    def make_wait(self, plan: Plan, entry: QueueEntry | None) -> Wait:
        """The wait of a queued or held prompt, with the forecast of its start."""
        planned_at = self._clock()
        return Wait(
            WaitPlace.PREFILL_QUEUE,
            lambda now: self._forecast_start(plan, entry, planned_at, now),
            plan.prefill_seconds,
        )

    def _forecast_start(
        self, plan: Plan, entry: QueueEntry | None, planned_at: float, now: float
    ) -> float:
        """Seconds until a prompt starts: once its engines are free, and after those before it."""
        delay = plan.choice.start_delay if plan.choice is not None else 0.0
        left = max(0.0, planned_at + delay - now)
        waiting = self._waiting_by_key.get(entry.key) if entry is not None else None
        if waiting is None:
            return left
        order = self._queue.forecast_order(now, waiting.engines)
        return max(left, self._start_delay(waiting, order, now))

    def retry_after(self, call: RelayCall, progress: Progress, plan: Plan) -> float:
        """Seconds after which a refused prompt may start, spread over the callers."""
        if not self._uses_shares:
            return MIN_RETRY_SECONDS
        now = self._clock()
        delay = 0.0
        if self._engines:
            prompt = self._prompt(call, progress, plan)
            order = self._queue.forecast_order(now, self._engines, prompt)
            waiting = self._forecast_input(call, progress, plan, prompt, self._engines)
            delay = self._start_delay(waiting, order, now)
        delay = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, delay))
        return delay * (1.0 + RETRY_SPREAD * self._rng.random())

    def _is_first(self, entry: QueueEntry | None) -> bool:
        now = self._clock()
        if entry is None:
            return not self._queue.queued(now)
        return self._queue.is_first(entry.key, now, entry.engines, entry.share_engines)

    def should_replan(self, entry: QueueEntry | None, planned_at: float) -> bool:
        """Whether a waiting prompt is due for planning again."""
        if entry is None or self._is_first(entry):
            return True
        return self._clock() - planned_at >= REPLAN_SECONDS

    def replan_delay(self, plan: Plan, decision: DispatchDecision) -> float:
        """Seconds until a waiting prompt is reconsidered, at most until its engines are free."""
        delay = MEAN_DELAY_SECONDS * (0.5 + self._rng.random())
        if decision is not DispatchDecision.QUEUE or plan.choice is None:
            return delay
        return min(delay, max(MIN_DELAY_SECONDS, plan.choice.start_delay))

    async def wait_to_replan(
        self, plan: Plan, entry: QueueEntry | None, decision: DispatchDecision
    ) -> None:
        """Wait until a queued or held prompt is due for planning again."""
        planned_at = self._clock()
        if entry is None or not self._uses_shares:
            await asyncio.sleep(self.replan_delay(plan, decision))
            while not self.should_replan(entry, planned_at):
                await asyncio.sleep(self.replan_delay(plan, decision))
            return
        wake = self._wakes_by_key[entry.key] = asyncio.Event()
        try:
            while not wake.is_set():
                try:
                    async with asyncio.timeout(self.replan_delay(plan, decision)):
                        await wake.wait()
                except TimeoutError:
                    if self.should_replan(entry, planned_at):
                        return
        finally:
            del self._wakes_by_key[entry.key]

    def update_queue(
        self,
        call: RelayCall,
        progress: Progress,
        plan: Plan,
        entry: QueueEntry | None,
        decision: DispatchDecision,
    ) -> QueueEntry | None:
        """Queue or dequeue a prompt as decided; returns its entry."""
        if decision is DispatchDecision.QUEUE:
            return entry if entry is not None else self._enqueue(call, progress, plan)
        self.dequeue(entry)
        return None

    def dequeue(self, entry: QueueEntry | None) -> None:
        """Remove a prompt from the queue."""
        if entry is not None:
            self._queue.remove(entry.key)
            self._waiting_by_key.pop(entry.key, None)

    def _enqueue(self, call: RelayCall, progress: Progress, plan: Plan) -> QueueEntry:
        candidate, self._candidate = self._candidate, None
        if candidate is None or candidate.call is not call:
            prompt = self._new_prompt(call, progress, plan)
        else:
            prompt = candidate.prompt
        self._queue.add(prompt)
        self._send_soon()
        return QueueEntry(
            prompt,
            _long_engines(plan, plan.candidate_count),
            _share_engines(plan),
        )

    def _new_prompt(self, call: RelayCall, progress: Progress, plan: Plan) -> QueuedPrompt:
        prompt = self._prompt(call, progress, plan)
        is_kept = prompt.rank > 0 and self._floors.keep(prompt.rank, prompt.prefill_seconds)
        return replace(prompt, is_kept=is_kept)

    def _prompt(self, call: RelayCall, progress: Progress, plan: Plan) -> QueuedPrompt:
        now = self._clock()
        job = make_job(call, progress, now)
        profile = call.configuration.services_by_name[call.service].engine
        assert profile is not None and plan.choice is not None, "only engines' prompts wait"
        # One account, as without any, has nothing to share.
        shares = self._uses_shares and len(call.configuration.accounts_by_key) > 1
        return QueuedPrompt(
            key=self._rng.getrandbits(KEY_BITS),
            prefill_seconds=prefill_duration(profile, job.prompt_tokens),
            due_at=now - job.waited + DUE_SHARE * job.target,
            rank=call.rank if shares else 0,
            account=xxhash.xxh32_intdigest(call.account.encode()) if shares else 0,
        )


def _long_engines(plan: Plan, count: int) -> int:
    """How many of some engines serve long prompts."""
    assert plan.choice is not None, "only engines' prompts wait"
    return max(1, count - plan.choice.pool_size, count // LONG_ENGINES_DIVISOR)


def _share_engines(plan: Plan) -> int:
    return _long_engines(plan, plan.local_count or plan.candidate_count)
