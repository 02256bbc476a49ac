"""The upstreams as this instance knows them: listing, lives, leaving, peers' work."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from pondpin.availability import MAX_LIVES, AvailabilityTable
from pondpin.health import record_failure
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, life_of
from pondpin.relay.upstreams.data_center_loads import DataCenterLoad, DataCenterLoads
from pondpin.relay.upstreams.state import FAILING_RATE, UpstreamState, release_id
from pondpin.relay.upstreams.work import PeerWork, WorkDigest

if TYPE_CHECKING:
    from pondpin.relay.upstreams.long_prefills import LongPrefill

# A peer's word on its work counts for so many seconds; digests come several times a second.
PEER_LOAD_SECONDS = 1.5
# It is summed up anew after this: a twentieth of the time that it counts elsewhere.
OWN_LOAD_SECONDS = 0.1
# An upstream that was heard this lately proves that its data centre can be reached.
SEEN_SECONDS = 0.6
# Of more leaving lives than a digest holds others are told each second.
TURN_SECONDS = 1.0
# Ended lives that are remembered for as long as requests that they had may hold leases.
KEPT_ENDED = 1000


@dataclass(frozen=True, slots=True)
class Restart:
    """A later life of an upstream was listed."""

    earlier: ListedUpstream
    later: ListedUpstream


@dataclass(frozen=True, slots=True)
class ListChanges:
    """What a reading of the list tells: ids that newly leave or are gone, and later lives."""

    leaving: tuple[str, ...]
    restarted: tuple[Restart, ...]


class UpstreamTable:
    """All upstreams by their id, each with its latest life.

    Leaving is sticky for a life; a lapsed entry may come back. Peers name lives, not ids: what
    they tell of an earlier or a later one doesn't count for the one that is listed here.
    """

    def __init__(self, data_center: str, without: frozenset[Mechanism] = frozenset()) -> None:
        self.data_center = data_center
        self._without = without
        self.by_id: dict[str, UpstreamState] = {}
        self._by_life: dict[int, UpstreamState] = {}
        # Lives whose place a later one took, those found last at the end.
        self._ended: OrderedDict[int, None] = OrderedDict()
        self._ids_by_service: dict[str, list[str]] = {}
        # Lives in the order in which they were found to leave.
        self._left: dict[int, None] = {}
        # The listed ones of them as they are told, None when that is to be worked out anew.
        self._leaving_told: tuple[int, ...] | None = None
        self.standings: AvailabilityTable[int] = AvailabilityTable(
            lambda life: life in self._by_life
        )
        self.silent_data_centers: frozenset[str] = frozenset()
        # In a large fleet only the peers of the own data centre tell of their work.
        self.all_peers_report_work = True
        self.data_center_loads = DataCenterLoads(data_center)
        self._own_loads: tuple[DataCenterLoad, ...] = ()
        self._own_loads_at = float("-inf")
        # The parts that a peer's last word on its long prompts named: lives and groups.
        self._heard_by_peer: dict[str, tuple[tuple[int, int], ...]] = {}
        # The lives that a peer's last digest named.
        self._lives_by_peer: dict[str, tuple[int, ...]] = {}

    def apply_list(
        self, listed: Iterable[ListedUpstream], missing: Iterable[str], now: float = 0.0
    ) -> ListChanges:
        """Take a reading of the list."""
        leaving: list[str] = []
        restarted: list[Restart] = []
        for name in missing:
            if self.by_id.pop(name, None) is not None:
                leaving.append(name)
        for item in listed:
            known = self.by_id.get(item.id)
            if known is not None and item.is_before(known.listed):
                continue
            if known is not None and known.listed.is_before(item):
                self._end(known)
                restarted.append(Restart(known.listed, item))
                known = None
            if known is None:
                known = self._begin(item)
            known.listed = item
            if item.leaving and self.mark_leaving(known.life, "list", now):
                leaving.append(item.id)
        self._sort()
        return ListChanges(tuple(leaving), tuple(restarted))

    def _end(self, state: UpstreamState) -> None:
        """A later life has taken the place of this one."""
        state.ended = True
        self._ended[state.life] = None
        while len(self._ended) > KEPT_ENDED:
            self._ended.popitem(last=False)

    def _begin(self, item: ListedUpstream) -> UpstreamState:
        """A life that nothing is known of but whether it leaves."""
        order = xxhash.xxh32_intdigest(item.id.encode())
        state = UpstreamState(
            item,
            order,
            self.standings.get_or_create(item.life),
            detects_silence=Mechanism.SILENCE not in self._without,
        )
        self.by_id[item.id] = state
        self._by_life[state.life] = state
        return state

    def mark_leaving(self, life: int, source: str = "", now: float = 0.0) -> bool:
        """Some source says that a life of an upstream leaves; True when that is news.

        It holds for the life whatever its entry says or becomes. A life that doesn't say when it
        began goes by its id.
        """
        self.standings.get_or_create(life).record_leaving(source, now)
        if life in self._left:
            return False
        self._left[life] = None
        self._leaving_told = None
        if len(self._left) > MAX_LIVES:
            del self._left[next(iter(self._left))]
        return True

    def has_ended(self, life: int) -> bool:
        """Whether a life that was listed has had its place taken by a later one."""
        return life in self._ended

    def life_of_id(self, name: str) -> int:
        """The life that goes by an id: the listed one, or one that doesn't say when it began."""
        known = self.by_id.get(name)
        return life_of(name, None) if known is None else known.life

    def by_life(self, life: int) -> UpstreamState | None:
        """A listed life by its number."""
        return self._by_life.get(life)

    def is_in_service(self, state: UpstreamState) -> bool:
        """Whether a life is listed and doesn't leave: if it ends now, that is not planned."""
        return self._by_life.get(state.life) is state and not state.leaving

    def label_of(self, life: int) -> str:
        """The id of a listed life, for logs; of another one its number."""
        state = self._by_life.get(life)
        return f"life {life:x}" if state is None else state.id

    def newest_leaving(self, most: int) -> tuple[int, ...]:
        """Listed lives that leave: those first of which the list doesn't say it, which nobody else
        can tell to an instance that starts, then those found last.
        """
        return self._leaving_listed()[:most]

    def rotated_leaving(self, most: int, now: float) -> tuple[int, ...]:
        """As newest_leaving; of more than can be told half are others at each turn, so that all are
        told to an instance that starts: 100 lives in 6 s.
        """
        lives = self._leaving_listed()
        if len(lives) <= most:
            return lives
        fixed, others = lives[: most // 2], lives[most // 2 :]
        many = most - len(fixed)
        start = int(now / TURN_SECONDS) * many % len(others)
        return fixed + (others + others)[start : start + many]

    def _leaving_listed(self) -> tuple[int, ...]:
        if self._leaving_told is None:
            listed = [life for life in reversed(self._left) if life in self._by_life]
            listed.sort(key=lambda life: self._by_life[life].listed.leaving)
            self._leaving_told = tuple(listed)
        return self._leaving_told

    @property
    def leaving_lives(self) -> frozenset[int]:
        """Lives that are known to leave."""
        return frozenset(self._left)

    def of_service(self, service: str) -> list[UpstreamState]:
        """The upstreams of a service, in the order that all instances share."""
        return [self.by_id[name] for name in self._ids_by_service.get(service, ())]

    def candidates(
        self,
        service: str,
        now: float,
        tried: frozenset[int],
        may_take: Callable[[UpstreamState], bool] = lambda state: True,
    ) -> list[UpstreamState]:
        """Those that may get work, without lives tried; when many look bad, looks are ignored.

        A leaving or a rest is no look: it is never ignored, nor that a limited one has no permit.
        may_take says whether a limited one has.
        """
        # Most have never said anything: 930 upstreams are looked through for each plan.
        present = [
            item
            for item in self.of_service(service)
            if item.standing.is_empty
            or (not item.bar(now) and (not item.is_limited or may_take(item)))
        ]
        fresh = [item for item in present if item.life not in tried] if tried else present
        good = [item for item in fresh if item.looks_healthy(now)]
        cut = self._cut_centers(now)
        near = [item for item in good if item.listed.data_center not in cut] or good
        if Mechanism.FAILING_RATE in self._without:
            return near or fresh
        sound = [item for item in near if item.failure_rate.current(now) < FAILING_RATE]
        return sound or near or fresh

    def is_partitioned(self, state: UpstreamState, now: float) -> bool:
        """Whether an upstream is probably out of reach with its whole data centre."""
        return state.listed.data_center in self._cut_centers(now)

    def _cut_centers(self, now: float) -> set[str]:
        """Silent data centres none of whose upstreams was heard lately."""
        if not self.silent_data_centers:
            return set()
        heard = {
            item.listed.data_center
            for item in self.by_id.values()
            if now - item.last_seen_at <= SEEN_SECONDS
        }
        return set(self.silent_data_centers - heard)

    def update_peer_work(
        self, instance: str, works: Iterable[WorkDigest], at: float, until: float
    ) -> None:
        """Take a peer's work, good until until; what it does not name is idle."""
        if Mechanism.PEER_LOADS in self._without:
            return
        for life in self._lives_by_peer.pop(instance, ()):
            known = self._by_life.get(life)
            if known is not None:
                known.peer_work_by_instance.pop(instance, None)
        lives = []
        for work in works:
            state = self._by_life.get(work.life)
            if state is not None:
                state.peer_work_by_instance[instance] = PeerWork(work, at, until)
                lives.append(work.life)
        if lives:
            self._lives_by_peer[instance] = tuple(lives)

    def update_long_prefills(
        self, instance: str, reads: "Iterable[LongPrefill]", now: float
    ) -> None:
        """Take an instance's word on its long prompts; those it names no more are over."""
        from pondpin.relay.upstreams.long_prefills import received_prefill

        if self._without & {Mechanism.PEER_LOADS, Mechanism.LONG_READS}:
            return
        for life, group in self._heard_by_peer.pop(instance, ()):
            known = self._by_life.get(life)
            if known is not None:
                known.peer_prefills_by_group.pop(group, None)
        parts = []
        for told in reads:
            heard = received_prefill(told, now)
            for life in told.lives:
                state = self._by_life.get(life)
                if state is not None:
                    state.peer_prefills_by_group[told.group] = heard
                    parts.append((life, told.group))
        if parts:
            self._heard_by_peer[instance] = tuple(parts)

    def own_long_prefills(self, now: float) -> "tuple[LongPrefill, ...]":
        """The long prompts of this instance that are being read."""
        from pondpin.relay.upstreams.long_prefills import collect_long_prefills

        works = (
            (state.life, work)
            for state in self.by_id.values()
            for work in state.work_by_key.values()
        )
        return collect_long_prefills(works, now)

    def own_data_center_loads(self, now: float) -> tuple[DataCenterLoad, ...]:
        """The load of the own data centre's upstreams, by service, as a moment ago.

        Peers of other data centres ask for it some 15 times a second in a fleet of 195.
        """
        if not 0 <= now - self._own_loads_at < OWN_LOAD_SECONDS:
            self._own_loads = self._sum_own_loads(now)
            self._own_loads_at = now
        return self._own_loads

    def _sum_own_loads(self, now: float) -> tuple[DataCenterLoad, ...]:
        loads = []
        for service in self._ids_by_service:
            local = [
                state
                for state in self.of_service(service)
                if state.listed.data_center == self.data_center
                and not state.bar(now)
                and not state.is_limited
            ]
            in_flight = sum(state.in_flight(now) for state in local)
            light = sum(state.light_in_flight(now) for state in local)
            loads.append(DataCenterLoad(service, len(local), in_flight, light))
        return tuple(loads)

    def record_failure(self, state: UpstreamState, now: float, certain: bool) -> bool:
        """An upstream failed a request; True when that ejects it."""
        state.failure_rate = state.failure_rate.record(True, now)
        if Mechanism.EJECTION in self._without:
            return False
        before = state.health.ejections
        state.health = record_failure(state.health, now, certain)
        ejected = state.health.ejections > before
        state.needs_probe = state.needs_probe or ejected
        return ejected

    def lives_to_avoid(self, now: float) -> Iterator[tuple[int, float]]:
        """Lives that this instance ejected, or that asked it for rest, and for how much longer.

        A rest binds the instance that was asked; others go elsewhere first.
        """
        for state in self.by_id.values():
            rest = state.standing.rest
            if state.health.ejected_until > now:
                yield state.life, state.health.ejected_until - now
            elif rest is not None and rest.until > now:
                yield state.life, min(PEER_LOAD_SECONDS, rest.until - now)

    def suspect(self, life: int, until: float) -> None:
        """A peer ejected a life of an upstream, or was asked for rest by it."""
        state = self._by_life.get(life)
        if state is not None and not state.work_by_key:
            state.suspected_until = max(state.suspected_until, until)

    def _sort(self) -> None:
        self._leaving_told = None
        self._by_life = {state.life: state for state in self.by_id.values()}
        grouped: dict[str, list[UpstreamState]] = {}
        for state in self.by_id.values():
            grouped.setdefault(state.listed.service, []).append(state)
        self._ids_by_service = {
            service: [state.id for state in sorted(states, key=lambda item: item.order)]
            for service, states in grouped.items()
        }


def isolation_candidates(
    states: list[UpstreamState], spent_releases: frozenset[int], now: float
) -> list[UpstreamState]:
    """Where a request that may end its upstream hurts the fewest others."""
    if spent_releases:
        states = [state for state in states if release_id(state) not in spent_releases]
    fewest = min((state.in_flight(now) for state in states), default=0)
    return [state for state in states if state.in_flight(now) == fewest]
