"""Table of upstreams: list entries, lives, shutdowns and work of peers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

import xxhash

from pondpin.availability import MAX_LIVES, AvailabilityTable
from pondpin.health import record_failure
from pondpin.network import Endpoint
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, life_of
from pondpin.relay.upstreams.data_center_loads import DataCenterLoad, DataCenterLoads
from pondpin.relay.upstreams.state import FAILING_RATE, UpstreamState, release_id
from pondpin.relay.upstreams.work import PeerWork, WorkDigest

if TYPE_CHECKING:
    from pondpin.relay.upstreams.cold_starts import ColdStarts
    from pondpin.relay.upstreams.contention import Contention
    from pondpin.relay.upstreams.long_prefill_table import LongPrefillTable
    from pondpin.relay.upstreams.long_prefills import LongPrefill
    from pondpin.relay.upstreams.own_loads import OwnLoads

# Lifetime of a peer's digest of its work; digests arrive several times a second.
PEER_LOAD_SECONDS = 1.5
# A data centre is reachable for this long after an answer of one of its upstreams.
SEEN_SECONDS = 0.6
# Period in which leaving lives that don't all fit in a digest are rotated.
ROTATION_SECONDS = 1.0
# Ended lives to remember, as their requests may still hold leases.
MAX_ENDED_LIVES = 1000


@dataclass(frozen=True, slots=True)
class Restart:
    """The replacement of a listed life by a later one."""

    earlier: ListedUpstream
    later: ListedUpstream


@dataclass(frozen=True, slots=True)
class ListChanges:
    """Changes by a list update: ids that are now leaving or removed, and later lives."""

    leaving: tuple[str, ...]
    restarted: tuple[Restart, ...]


class UpstreamTable:
    """All upstreams by id, each with its latest life.

    Leaving is final for a life, but a removed entry may return. Messages of peers name lives, so
    those on an earlier or later life don't affect the listed one.
    """

    def __init__(self, data_center: str, without: frozenset[Mechanism] = frozenset()) -> None:
        self.data_center = data_center
        self.without = without
        self.by_id: dict[str, UpstreamState] = {}
        self._by_life: dict[int, UpstreamState] = {}
        self._ended: OrderedDict[int, None] = OrderedDict()
        self._ids_by_service: dict[str, list[str]] = {}
        # Leaving lives, the most recent last.
        self._left: dict[int, None] = {}
        # The listed ones in digest order, None if outdated.
        self._leaving_cache: tuple[int, ...] | None = None
        self.availability_table: AvailabilityTable[int] = AvailabilityTable(
            lambda life: life in self._by_life
        )
        # Set once a service has a rate for cold upstreams.
        self.cold_starts: ColdStarts | None = None
        self.silent_data_centers: frozenset[str] = frozenset()
        # Data centres that are evacuated, also for upstreams that are listed later.
        self.evacuated: frozenset[str] = frozenset()
        # False in a large fleet: only peers in this data centre do.
        self.all_peers_report_work = True
        self.data_center_loads = DataCenterLoads(data_center)
        # None until an upstream has been contended.
        self.contention: Contention | None = None
        self._lives_by_peer: dict[str, tuple[int, ...]] = {}

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism is enabled."""
        return mechanism not in self.without

    def apply_list(
        self, listed: Iterable[ListedUpstream], missing: Iterable[str], now: float = 0.0
    ) -> ListChanges:
        """Apply a list update; missing: removed ids."""
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
                self._mark_ended(known)
                restarted.append(Restart(known.listed, item))
                known = None
            if known is None:
                known = self._add_life(item)
            known.listed = item
            known.availability.set_evacuated(item.data_center in self.evacuated, now)
            if item.leaving and self.mark_leaving(known.life, "list", now):
                leaving.append(item.id)
        self._index()
        return ListChanges(tuple(leaving), tuple(restarted))

    def _mark_ended(self, state: UpstreamState) -> None:
        state.ended = True
        self._ended[state.life] = None
        while len(self._ended) > MAX_ENDED_LIVES:
            self._ended.popitem(last=False)

    def _add_life(self, item: ListedUpstream) -> UpstreamState:
        order = xxhash.xxh32_intdigest(item.id.encode())
        state = UpstreamState(
            item,
            order,
            self.availability_table.get_or_create(item.life),
            detects_silence=Mechanism.SILENCE not in self.without,
        )
        self.by_id[item.id] = state
        self._by_life[state.life] = state
        return state

    def mark_leaving(self, life: int, source: str = "", now: float = 0.0) -> bool:
        """Mark a life as leaving, whatever its list entry says; True if it was not yet."""
        self.availability_table.get_or_create(life).record_leaving(source, now)
        if life in self._left:
            return False
        self._left[life] = None
        self._leaving_cache = None
        if len(self._left) > MAX_LIVES:
            del self._left[next(iter(self._left))]
        return True

    def has_ended(self, life: int) -> bool:
        """Whether a later life replaced this one in the list."""
        return life in self._ended

    def life_of_id(self, name: str) -> int:
        """The listed life of an id, or the life without a start time."""
        known = self.by_id.get(name)
        return life_of(name, None) if known is None else known.life

    def by_life(self, life: int) -> UpstreamState | None:
        """The state of a listed life."""
        return self._by_life.get(life)

    def find(self, endpoint: Endpoint) -> UpstreamState | None:
        """The listed upstream at an endpoint."""
        for state in self.by_id.values():
            if state.listed.port == endpoint.port and state.listed.host == endpoint.host:
                return state
        return None

    def is_in_service(self, state: UpstreamState) -> bool:
        """Whether a life is listed and not leaving: its end would be unplanned."""
        return self._by_life.get(state.life) is state and not state.leaving

    def label_of(self, life: int) -> str:
        """For logs: the id of a listed life, the number of another."""
        state = self._by_life.get(life)
        return f"life {life:x}" if state is None else state.id

    def newest_leaving(self, limit: int) -> tuple[int, ...]:
        """Listed lives that are leaving, the most recent first.

        Those ready in the list come first: a starting instance learns of them from peers only.
        """
        return self._listed_leaving()[:limit]

    def rotated_leaving(self, limit: int, now: float) -> tuple[int, ...]:
        """As newest_leaving, but if there are more, half of the result rotates.

        A starting instance thus gets all: 100 lives in 6 s.
        """
        lives = self._listed_leaving()
        if len(lives) <= limit:
            return lives
        fixed, others = lives[: limit // 2], lives[limit // 2 :]
        count = limit - len(fixed)
        start = int(now / ROTATION_SECONDS) * count % len(others)
        return fixed + (others + others)[start : start + count]

    def _listed_leaving(self) -> tuple[int, ...]:
        if self._leaving_cache is None:
            listed = [life for life in reversed(self._left) if life in self._by_life]
            listed.sort(key=lambda life: self._by_life[life].listed.leaving)
            self._leaving_cache = tuple(listed)
        return self._leaving_cache

    @property
    def leaving_lives(self) -> frozenset[int]:
        """All lives known to be leaving."""
        return frozenset(self._left)

    @property
    def services(self) -> list[str]:
        """The services of the upstreams."""
        return list(self._ids_by_service)

    def of_service(self, service: str) -> list[UpstreamState]:
        """The upstreams of a service, in the same order on all instances."""
        return [self.by_id[name] for name in self._ids_by_service.get(service, ())]

    def candidates(
        self,
        service: str,
        now: float,
        tried: frozenset[int],
        has_permit: Callable[[UpstreamState], bool] = lambda state: True,
    ) -> list[UpstreamState]:
        """Upstreams that may get a request, without the lives tried.

        Falls back to unhealthy upstreams, but never to one that is leaving, rests, or has a limit
        and no permit.
        """
        # is_empty is tested first, as each plan tests up to 930 upstreams.
        present = [
            item
            for item in self.of_service(service)
            if item.availability.is_empty
            or (not item.block_reason(now) and (not item.is_limited or has_permit(item)))
        ]
        untried = [item for item in present if item.life not in tried] if tried else present
        healthy = [item for item in untried if item.looks_healthy(now)]
        partitioned = self._partitioned_data_centers(now)
        reachable = [
            item for item in healthy if item.listed.data_center not in partitioned
        ] or healthy
        if Mechanism.FAILING_RATE in self.without:
            return reachable or untried
        reliable = [item for item in reachable if item.failure_rate.current(now) < FAILING_RATE]
        return reliable or reachable or untried

    def is_partitioned(self, state: UpstreamState, now: float) -> bool:
        """Whether an upstream's data centre is probably unreachable."""
        return state.listed.data_center in self._partitioned_data_centers(now)

    def _partitioned_data_centers(self, now: float) -> set[str]:
        if not self.silent_data_centers:
            return set()
        reachable = {
            item.listed.data_center
            for item in self.by_id.values()
            if now - item.last_seen_at <= SEEN_SECONDS
        }
        return set(self.silent_data_centers - reachable)

    def update_peer_work(
        self, instance: str, works: Iterable[WorkDigest], made_at: float, expires_at: float
    ) -> None:
        """Replace a peer's work by its digest."""
        if Mechanism.PEER_LOADS in self.without:
            return
        for life in self._lives_by_peer.pop(instance, ()):
            known = self._by_life.get(life)
            if known is not None:
                known.peer_work_by_instance.pop(instance, None)
        lives = []
        for work in works:
            state = self._by_life.get(work.life)
            if state is not None:
                state.peer_work_by_instance[instance] = PeerWork(work, made_at, expires_at)
                lives.append(work.life)
        if lives:
            self._lives_by_peer[instance] = tuple(lives)

    def update_long_prefills(
        self, instance: str, prefills: "Iterable[LongPrefill]", now: float
    ) -> None:
        """See LongPrefillTable."""
        if not self.without & {Mechanism.PEER_LOADS, Mechanism.LONG_READS}:
            self._long_prefills.update(instance, prefills, now)

    def own_long_prefills(self, now: float) -> "tuple[LongPrefill, ...]":
        """See LongPrefillTable."""
        return self._long_prefills.own(self.by_id.values(), now)

    @cached_property
    def _long_prefills(self) -> "LongPrefillTable":
        """Imported for long prompts in large fleets."""
        from pondpin.relay.upstreams.long_prefill_table import LongPrefillTable

        return LongPrefillTable(self.by_life)

    def own_data_center_loads(self, now: float) -> tuple[DataCenterLoad, ...]:
        """See OwnLoads."""
        return self._own_loads.get(now)

    @cached_property
    def _own_loads(self) -> "OwnLoads":
        """Imported in large fleets."""
        from pondpin.relay.upstreams.own_loads import OwnLoads

        return OwnLoads(self)

    def record_failure(self, state: UpstreamState, now: float, certain: bool) -> bool:
        """Record a failed request; True if that ejects the upstream."""
        state.failure_rate = state.failure_rate.record(True, now)
        if Mechanism.EJECTION in self.without:
            return False
        before = state.health.ejections
        state.health = record_failure(state.health, now, certain)
        ejected = state.health.ejections > before
        state.needs_probe = state.needs_probe or ejected
        return ejected

    def lives_to_avoid(self, now: float) -> Iterator[tuple[int, float]]:
        """Lives that are ejected or rest here, with the remaining seconds.

        A rest binds only the instance that was asked; its peers prefer other upstreams.
        """
        for state in self.by_id.values():
            rest = state.availability.rest
            if state.health.ejected_until > now:
                yield state.life, state.health.ejected_until - now
            elif rest is not None and rest.until > now:
                yield state.life, min(PEER_LOAD_SECONDS, rest.until - now)

    def suspect(self, life: int, until: float) -> None:
        """Suspect a life that a peer ejected or that asked it for a rest."""
        state = self._by_life.get(life)
        if state is not None and not state.work_by_key:
            state.suspected_until = max(state.suspected_until, until)

    def _index(self) -> None:
        self._leaving_cache = None
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
    """Upstreams where a request that may crash them affects the fewest others."""
    if spent_releases:
        states = [state for state in states if release_id(state) not in spent_releases]
    fewest = min((state.in_flight(now) for state in states), default=0)
    return [state for state in states if state.in_flight(now) == fewest]
