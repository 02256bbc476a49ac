"""What this instance knows of each upstream, and frozen views of it for the decisions."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from pondpin.availability import Availability, BlockReason, Rest, find_unavailability
from pondpin.codes import Code
from pondpin.configuration import Configuration, Upstream, UpstreamKind
from pondpin.cost_model import CostModel, Counters
from pondpin.engine_protocol import LoadReport
from pondpin.errors import PondpinError
from pondpin.health import Health, usable_names
from pondpin.ledger import Hold
from pondpin.limit_slots import SINGLE_INSTANCE, InstancePosition, LimitSlots
from pondpin.notices import Notice
from pondpin.placement import EngineSize, EngineView
from pondpin.prefix_index import PrefixIndex
from pondpin.retry_budget import RetryBudget
from pondpin.selectors import Labels, parse_selector

OTHER_CENTER_SECONDS = 0.0015
RETURNS_KEPT = 512
# Told to callers where no turn of a limit is ever to come.
LONGEST_WAIT_SECONDS = 60.0


@dataclass(slots=True)
class OwnWork:
    """An attempt of this instance on an engine, for correcting stale reports."""

    hold: Hold
    uncached_tokens: int
    first_token_at: float | None = None


@dataclass(frozen=True, slots=True)
class Returned:
    """Blocks given back, when they were taken and when returned."""

    blocks: int
    taken_at: float
    returned_at: float


@dataclass
class UpstreamState:
    """One upstream as this instance knows it; times are in seconds of the steady clock."""

    name: str
    upstream: Upstream
    labels: dict[str, str]
    health: Health = field(default_factory=Health)
    budget: RetryBudget = field(default_factory=RetryBudget)
    standing: Availability = field(default_factory=Availability)
    turns: LimitSlots | None = None
    report: LoadReport | None = None
    heard_at: float = 0.0
    clock_offset: float | None = None
    incarnation: int = 0
    leaving_incarnation: int = -1
    listed_leaving: bool = False
    costs: CostModel = field(default_factory=CostModel)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    work_by_key: dict[tuple[str, int, str], OwnWork] = field(default_factory=dict)
    returned: deque[Returned] = field(default_factory=lambda: deque(maxlen=RETURNS_KEPT))
    open_calls: int = 0
    polled: bool = False
    on_relabel: Callable[[], None] = lambda: None

    @property
    def leaving(self) -> bool:
        """Whether the present incarnation is known to leave: sticky until a new one is seen."""
        return self.listed_leaving or self.leaving_incarnation == self.incarnation

    @property
    def open_here(self) -> int:
        """Requests and calls of this instance there."""
        return self.open_calls + len(self.work_by_key)

    def bar(self, now: float) -> BlockReason:
        """Why nothing new may be sent there by its own word, or another's that it leaves."""
        return (
            BlockReason.LEAVING if self.leaving else self.standing.block_reason(now, self.open_here)
        )

    def hear(self, notice: Notice, now: float, draw: float) -> bool:
        """Take what an answer says of it; True when it says anything new."""
        if notice.is_leaving:
            self.mark_leaving()
        is_new_limit = self._hear_limit(notice, now)
        return self.standing.apply_notice(notice, "its answer", now, draw) or is_new_limit

    def _hear_limit(self, notice: Notice, now: float) -> bool:
        """Take a limit, or that an answer names none any more; an odd one says neither."""
        known = self.turns
        if notice.limit is None:
            if known is None or notice.invalid_limit:
                return False
            # It returns bit by bit, as from a rest.
            self.turns, self.standing.rest = None, Rest(now, now, now)
            self.standing.is_empty = False
            return True
        if known is not None and known.limit == notice.limit:
            return False
        last = -math.inf if known is None else known.last
        self.turns = LimitSlots(notice.limit, now, last)
        return True

    def has_turn(self, sharer: InstancePosition, now: float) -> bool:
        """Whether this instance may send there now, by a limit that it named."""
        return self.turns is None or self.turns.current_slot(sharer, now) is not None

    def take_turn(self, sharer: InstancePosition, now: float) -> None:
        """A request is sent there."""
        if self.turns is not None:
            self.turns.use_slot(sharer, now)

    def has_adapter(self, name: str) -> bool:
        """Whether the engine says that it has loaded an adapter."""
        return self.report is not None and name in self.report.adapters

    def mark_leaving(self, incarnation: int | None = None) -> bool:
        """Note the first or another sign of leaving; True when it is news."""
        marked = self.incarnation if incarnation is None else incarnation
        if marked < self.incarnation or marked == self.leaving_incarnation:
            return False
        self.leaving_incarnation = marked
        return True

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take a load report; one of an older incarnation is dropped."""
        if report.incarnation < self.incarnation:
            return
        self.note_incarnation(report.incarnation)
        if report.state == "leaving":
            self.mark_leaving(report.incarnation)
        offset = now - report.made_at
        if self.clock_offset is None or offset < self.clock_offset:
            self.clock_offset = offset
        self.costs = self.costs.observe(
            Counters(
                report.steps,
                report.busy_seconds,
                report.prefill_tokens,
                report.decode_tokens,
                report.context_tokens,
            )
        )
        self.prefixes.capacity = max(1, report.blocks)
        self.report, self.heard_at = report, now
        self._follow_labels(report)
        made = self.report_time()
        while self.returned and self.returned[0].returned_at <= made:
            self.returned.popleft()

    def _follow_labels(self, report: LoadReport) -> None:
        """An order changed the engine's model or role: selectors see what it is now."""
        now = {"model": report.model, "role": report.role}
        if now.items() <= self.labels.items():
            return
        self.labels = self.labels | now
        self.on_relabel()

    def note_incarnation(self, incarnation: int) -> None:
        """It says in which life it is; a greater number is a later one.

        What was heard before any number was known was of this life: if it was of an earlier one
        after all, the upstream stands idle until its next, which is better than the other error.
        """
        if incarnation <= self.incarnation:
            return
        if self.incarnation == 0:
            if self.leaving_incarnation == 0:
                self.leaving_incarnation = incarnation
        else:
            self.standing, self.turns = Availability(), None
        self._begin_life(incarnation)

    def _begin_life(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.clock_offset = None
        self.costs = replace(self.costs, last=None)
        self.prefixes.clear()
        self.listed_leaving = False

    def begin_work(self, hold: Hold, uncached_tokens: int) -> None:
        """An attempt was sent."""
        self.work_by_key[hold.key] = OwnWork(hold, uncached_tokens)

    def note_first_token(self, key: tuple[str, int, str], now: float) -> None:
        """An attempt's prompt is processed."""
        work = self.work_by_key.get(key)
        if work is not None and work.first_token_at is None:
            work.first_token_at = now

    def end_work(self, key: tuple[str, int, str], now: float) -> None:
        """An attempt ended."""
        work = self.work_by_key.pop(key, None)
        if work is not None:
            self.returned.append(Returned(work.hold.blocks, work.hold.taken_at, now))

    def report_time(self) -> float:
        """When the last report was made, by this instance's clock."""
        if self.report is None or self.clock_offset is None:
            return 0.0
        return self.report.made_at + self.clock_offset

    def view(self, now: float, local_center: str) -> EngineView:
        """The engine as believed now: the report, corrected by own work since it was made."""
        report = self.report
        assert report is not None, "only engines that have reported are viewed"
        made = self.report_time()
        since = [work for work in self.work_by_key.values() if work.hold.taken_at > made]
        back = [item for item in self.returned if made >= item.taken_at]
        held = report.blocks_held + sum(work.hold.blocks for work in since)
        held -= sum(item.blocks for item in back)
        distance = 0.0 if self.upstream.data_center == local_center else OTHER_CENTER_SECONDS
        return EngineView(
            id=self.name,
            group=self.labels.get("group", ""),
            blocks=report.blocks,
            block_tokens=report.block_tokens,
            free_blocks=report.blocks - max(0, held),
            ahead_by_priority=self._ahead(report, made, now),
            outstanding=len(self.work_by_key),
            running=max(0, report.running + report.waiting + len(since) - len(back)),
            mean_context=self.costs.mean_context,
            costs=self.costs.costs,
            chunk_tokens=report.chunk_tokens,
            distance_seconds=distance,
        )

    def _ahead(self, report: LoadReport, made: float, now: float) -> tuple[tuple[int, int], ...]:
        """Queued prompt tokens by priority: reported, less those done, with own ones added."""
        tokens = dict(report.queued_by_priority)
        done = (now - made) / self.costs.costs.prefill
        for priority in sorted(tokens, reverse=True):
            taken = min(tokens[priority], done)
            tokens[priority] = int(tokens[priority] - taken)
            done -= taken
        for work in self.work_by_key.values():
            if work.hold.taken_at > made and work.first_token_at is None:
                priority = work.hold.priority
                tokens[priority] = tokens.get(priority, 0) + work.uncached_tokens
        return tuple(tokens.items())


def label_upstream(name: str, upstream: Upstream) -> dict[str, str]:
    """An upstream's labels: the configured ones and those that follow from its description."""
    built_in = {
        "id": name,
        "kind": upstream.kind.value,
        "data_center": upstream.data_center,
        "role": upstream.role,
    }
    if upstream.kind is UpstreamKind.ENGINE:
        built_in["model"] = upstream.model
    else:
        built_in["service"] = upstream.service
    return upstream.labels | built_in


def _moved(earlier: UpstreamState | None, state: UpstreamState) -> UpstreamState:
    """An upstream whose address changed: what it said of its life holds until a later one shows."""
    if earlier is not None:
        state.incarnation = earlier.incarnation
        state.leaving_incarnation = earlier.leaving_incarnation
        state.standing, state.turns = earlier.standing, earlier.turns
    return state


@dataclass
class Fleet:
    """All upstreams of the configuration in force, by name."""

    data_center: str
    by_name: dict[str, UpstreamState] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    # This instance's place among those that share the limits of upstreams.
    sharer: Callable[[], InstancePosition] = lambda: SINGLE_INSTANCE
    _selected: dict[tuple[str, str], list[str]] = field(default_factory=dict)

    def apply(self, configuration: Configuration) -> None:
        """Follow a configuration; what is known of upstreams that stay is kept."""
        kept: dict[str, UpstreamState] = {}
        for name, upstream in configuration.upstreams.items():
            state = self.by_name.get(name)
            labels = label_upstream(name, upstream)
            if state is None or state.upstream.address != upstream.address:
                state = _moved(state, UpstreamState(name, upstream, labels))
            state.upstream, state.labels = upstream, labels
            state.on_relabel = self._selected.clear
            if state.report is not None:
                state.labels |= {"model": state.report.model, "role": state.report.role}
            kept[name] = state
        self.by_name = kept
        self._selected.clear()

    def select(self, selector: str, own: Labels) -> list[UpstreamState]:
        """The upstreams that a selector takes and that carry the given labels."""
        key = (selector, ",".join(f"{name}={own[name]}" for name in sorted(own)))
        names = self._selected.get(key)
        if names is None:
            compiled = parse_selector(selector)
            names = [
                name
                for name, state in sorted(self.by_name.items())
                if compiled.matches(state.labels) and own.items() <= state.labels.items()
            ]
            self._selected[key] = names
        return [self.by_name[name] for name in names]

    def hear(self, address: str, notice: Notice, now: float) -> UpstreamState | None:
        """Take what an answer from an address says of the upstream there; returns it when that is
        new.
        """
        says = notice.is_leaving or notice.rest or notice.invalid_rest or notice.limit is not None
        if not says and all(state.turns is None for state in self.by_name.values()):
            return None
        for state in self.by_name.values():
            if state.upstream.address == address:
                return state if state.hear(notice, now, self.rng.random()) else None
        return None

    def why_nobody(self, states: list[UpstreamState], now: float) -> PondpinError:
        """The refusal where none of some upstreams is in service: told when the first is back."""
        limited = [state.turns for state in states if state.turns and not state.bar(now)]
        if limited:
            sharer = self.sharer()
            wait = min(turns.seconds_to_next(sharer, now) for turns in limited)
            retry_after = min(LONGEST_WAIT_SECONDS, wait) + self.rng.random()
            return PondpinError(Code.UPSTREAMS_LIMITED, retry_after=retry_after)
        known = [state.standing for state in states if not state.listed_leaving]
        why = find_unavailability(known, now)
        if why is None or why.reason is BlockReason.LEAVING:
            code = Code.NO_UPSTREAM if why is None else Code.UPSTREAMS_LEAVE
            return PondpinError(code, "none is in service", retry_after=1.0)
        wait = why.resume_at - now
        return PondpinError(Code.UPSTREAMS_REST, retry_after=wait + self.rng.random())

    def in_service(self, states: list[UpstreamState], now: float) -> list[UpstreamState]:
        """Those that may get new work: neither leaving, resting nor at their limit, which is never
        ignored, and not ejected unless too many are.
        """
        sharer = self.sharer()
        staying = {
            state.name: state
            for state in states
            if not state.bar(now) and state.has_turn(sharer, now)
        }
        health = {name: state.health for name, state in staying.items()}
        return [staying[name] for name in usable_names(list(staying), health, now)]

    def views(self, states: list[UpstreamState], now: float) -> list[EngineView]:
        """Views of the engines that have reported and are not loading."""
        ready = [state for state in states if state.report is not None and state.report.model]
        return [state.view(now, self.data_center) for state in ready]

    def all_polled(self) -> bool:
        """Whether each upstream was asked for its load, and answered or failed."""
        return all(state.polled for state in self.by_name.values())

    def sizes(self, states: list[UpstreamState]) -> Iterator[EngineSize]:
        """The sizes of the engines that have reported."""
        for state in states:
            report = state.report
            if report is not None:
                group = state.labels.get("group", "")
                yield EngineSize(group, report.blocks, report.block_tokens)

    def engines(self) -> list[UpstreamState]:
        """The model engines."""
        return [
            state for state in self.by_name.values() if state.upstream.kind is UpstreamKind.ENGINE
        ]
