"""The upstreams as this instance knows them: listing, leaving, health, own and peers' work."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from pondpin.health import Health, note_failure, note_success
from pondpin.relay.center_loads import CenterLoad, CenterLoads
from pondpin.relay.forecast import EngineLoad, Pending, Writers
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import EngineReport, ListedUpstream, Load
from pondpin.relay.work import (
    HUNDREDTHS,
    MILLISECONDS,
    PeerWork,
    Read,
    ReadDigest,
    Work,
    WorkDigest,
    WritersDigest,
    add_writers,
    long_reads_end,
    reads_end,
)

# A peer's word on its work counts for so many seconds; digests come several times a second.
PEER_LOAD_SECONDS = 1.5
# It is summed up anew after this: a twentieth of the time that it counts elsewhere.
OWN_LOAD_SECONDS = 0.1
# What an upstream told of its load in an answer counts for so many seconds.
TOLD_LOAD_SECONDS = 0.5
# An upstream that was heard this lately proves that its data centre can be reached; the
# streams of a busy one come every tenth of a second.
HEARD_SECONDS = 0.6
# An upstream that fails part of its requests while it is well otherwise is avoided from this
# rate on: four failures in a row, or nearly half of many. Some services fail one in seven.
FAILURE_WEIGHT = 0.15
FAILING_RATE = 0.4
FAILURE_HALF_LIFE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class FailureRate:
    """The share of requests that failed lately; without requests it is forgotten."""

    rate: float = 0.0
    noted_at: float = 0.0

    def at(self, now: float) -> float:
        """The share as it counts now."""
        age = max(0.0, now - self.noted_at)
        return self.rate * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))

    def note(self, failed: bool, now: float) -> "FailureRate":
        """Count a request."""
        rate = self.at(now)
        return FailureRate(rate + FAILURE_WEIGHT * (float(failed) - rate), now)


@dataclass
class UpstreamState:
    """One upstream, that is one life of it."""

    listed: ListedUpstream
    order: int = 0
    leaving: bool = False
    health: Health = field(default_factory=Health)
    needs_probe: bool = False
    probing: bool = False
    suspected_until: float = 0.0
    failing: FailureRate = field(default_factory=lambda: FailureRate())
    told: Load | None = None
    told_at: float = 0.0
    heard_at: float = 0.0
    report: EngineReport | None = None
    report_at: float = float("-inf")
    work_by_key: dict[int, Work] = field(default_factory=dict)
    peer_work_by_instance: dict[str, PeerWork] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The upstream's id."""
        return self.listed.id

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        if self.leaving or self.needs_probe:
            return False
        return not self.health.is_ejected(now) and now >= self.suspected_until

    def in_flight(self, now: float) -> int:
        """Requests there, of this instance and of peers; what it told itself may be more."""
        known = self.open_here + sum(item.work.in_flight for item in self._peer_work(now))
        if self.told is not None and now - self.told_at < TOLD_LOAD_SECONDS:
            return max(known, self.told.running + self.told.waiting)
        return known

    def is_busy(self, now: float) -> bool:
        """Whether an engine's silence is explained by what it is known to do."""
        load = self.load(now)
        if load.long_until > 0 or load.in_flight > self.listed.slots:
            return True
        return self.report is not None and self.report.waiting > 0

    @property
    def open_here(self) -> int:
        """Requests of this instance there, each on a connection of its own."""
        return sum(1 for work in self.work_by_key.values() if work.writes)

    def light_in_flight(self, now: float) -> int:
        """Light streams there."""
        own = sum(1 for work in self.work_by_key.values() if work.light and work.writes)
        return own + sum(item.work.light for item in self._peer_work(now))

    def load(self, now: float) -> EngineLoad:
        """The upstream as an engine."""
        tokens = 0
        sums: dict[int, tuple[int, float]] = {}
        for work in self.work_by_key.values():
            tokens += work.tokens
            if work.writes and work.first_event:
                add_writers(sums, round(work.gap_target * MILLISECONDS), 1, work.worth)
        for item in self._peer_work(now):
            tokens += item.work.tokens
            for told in item.work.writers:
                add_writers(sums, told.gap_target, told.count, told.worth / HUNDREDTHS)
        writers = tuple(
            Writers(gap / MILLISECONDS, count, worth) for gap, (count, worth) in sums.items()
        )
        reads = self._reads(now)
        end = max(now, reads_end(reads))
        return EngineLoad(
            in_flight=self.in_flight(now),
            reading=end - now,
            pending=tuple(
                Pending(end - read.since, read.target, read.worth, read.group, read.parts)
                for read in reads
            ),
            tokens=tokens,
            writers=writers,
            long_until=long_reads_end(reads, end, now) - now,
        )

    def reads_until(self, now: float) -> float:
        """When the reading that is known of should be over."""
        return reads_end(self._reads(now))

    def _reads(self, now: float) -> list[Read]:
        reads = [work.read for work in self.work_by_key.values() if not work.first_event]
        for item in self._peer_work(now):
            reads += [
                Read(
                    item.at - read.age / MILLISECONDS,
                    read.length / MILLISECONDS,
                    read.target / MILLISECONDS,
                    read.worth / HUNDREDTHS,
                    read.group,
                    read.parts,
                )
                for read in item.work.reads
            ]
        return reads

    def note_read(self, key: int, now: float) -> None:
        """A reading is through: those behind it can't have begun before."""
        done = self.work_by_key.get(key)
        if done is None or done.first_event:
            return
        done.first_event = True
        for work in self.work_by_key.values():
            if not work.first_event and work.since < now:
                work.since = now

    def digest(self, now: float) -> WorkDigest | None:
        """This instance's work there, None when there is none."""
        if not self.work_by_key:
            return None
        sums: dict[int, tuple[int, float]] = {}
        for work in self.work_by_key.values():
            if work.writes and work.first_event:
                add_writers(sums, round(work.gap_target * MILLISECONDS), 1, work.worth)
        works = self.work_by_key.values()
        return WorkDigest(
            upstream=self.id,
            in_flight=sum(1 for work in works if work.writes),
            light=sum(1 for work in works if work.writes and work.light),
            tokens=sum(work.tokens for work in works),
            reads=tuple(
                ReadDigest(
                    round((now - work.since) * MILLISECONDS),
                    round(work.reading * MILLISECONDS),
                    round(work.target * MILLISECONDS),
                    round(work.worth * HUNDREDTHS),
                    work.group,
                    work.parts,
                )
                for work in works
                if not work.first_event
            ),
            writers=tuple(
                WritersDigest(gap, count, round(worth * HUNDREDTHS))
                for gap, (count, worth) in sums.items()
            ),
        )

    def _peer_work(self, now: float) -> list[PeerWork]:
        items = self.peer_work_by_instance.values()
        return [item for item in items if now < item.until]


class UpstreamTable:
    """All upstreams by their id. Leaving is sticky for an id; a lapsed entry may come back."""

    def __init__(self, data_center: str, without: frozenset[Mechanism] = frozenset()) -> None:
        self.data_center = data_center
        self._without = without
        self.by_id: dict[str, UpstreamState] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        # Ids in the order in which they were found to leave.
        self._left: dict[str, None] = {}
        self.silent_centers: frozenset[str] = frozenset()
        # In a large fleet only the peers of the own data centre tell of their work.
        self.peers_tell_all = True
        self.center_loads = CenterLoads(data_center)
        self._own_loads: tuple[CenterLoad, ...] = ()
        self._own_loads_at = float("-inf")
        # The upstreams that a peer's last digest named.
        self._names_by_peer: dict[str, tuple[str, ...]] = {}

    def take_list(self, listed: Iterable[ListedUpstream], missing: Iterable[str]) -> list[str]:
        """Take a reading of the list; returns the ids that newly leave or are gone."""
        news: list[str] = []
        for item in listed:
            state = self.by_id.get(item.id)
            if state is None:
                order = xxhash.xxh32_intdigest(item.id.encode())
                state = UpstreamState(item, order, leaving=item.id in self._left)
                self.by_id[item.id] = state
            state.listed = item
            if item.leaving and self.mark_leaving(item.id):
                news.append(item.id)
        for name in missing:
            if self.by_id.pop(name, None) is not None:
                news.append(name)
        self._sort()
        return news

    def mark_leaving(self, name: str) -> bool:
        """Some source says that an upstream leaves; True when that is news."""
        if name in self._left:
            return False
        self._left[name] = None
        state = self.by_id.get(name)
        if state is not None:
            state.leaving = True
        return True

    def newest_leaving(self, most: int) -> tuple[str, ...]:
        """Listed upstreams that leave, those found last first."""
        listed = (name for name in reversed(self._left) if name in self.by_id)
        return tuple(itertools.islice(listed, most))

    @property
    def left(self) -> frozenset[str]:
        """Ids that are known to leave."""
        return frozenset(self._left)

    def of_service(self, service: str) -> list[UpstreamState]:
        """The upstreams of a service, in the order that all instances share."""
        return [self.by_id[name] for name in self._ids_by_service.get(service, ())]

    def usable(self, service: str, now: float, tried: frozenset[str]) -> list[UpstreamState]:
        """Those that may get work; when too many look bad, looks are ignored."""
        present = [item for item in self.of_service(service) if not item.leaving]
        fresh = [item for item in present if item.id not in tried]
        good = [item for item in fresh if item.usable(now)]
        cut = self._cut_centers(now)
        near = [item for item in good if item.listed.data_center not in cut] or good
        if Mechanism.FAILING_RATE in self._without:
            return near or fresh
        sound = [item for item in near if item.failing.at(now) < FAILING_RATE]
        return sound or near or fresh

    def is_cut(self, state: UpstreamState, now: float) -> bool:
        """Whether an upstream is probably out of reach with its whole data centre."""
        return state.listed.data_center in self._cut_centers(now)

    def _cut_centers(self, now: float) -> set[str]:
        """Silent data centres none of whose upstreams was heard lately."""
        if not self.silent_centers:
            return set()
        heard = {
            item.listed.data_center
            for item in self.by_id.values()
            if now - item.heard_at <= HEARD_SECONDS
        }
        return set(self.silent_centers - heard)

    def take_peer_work(
        self, instance: str, works: Iterable[WorkDigest], at: float, until: float
    ) -> None:
        """Take a peer's work, good until until; what it does not name is idle."""
        if Mechanism.PEER_LOADS in self._without:
            return
        for name in self._names_by_peer.pop(instance, ()):
            known = self.by_id.get(name)
            if known is not None:
                known.peer_work_by_instance.pop(instance, None)
        names = []
        for work in works:
            state = self.by_id.get(work.upstream)
            if state is not None:
                state.peer_work_by_instance[instance] = PeerWork(work, at, until)
                names.append(work.upstream)
        if names:
            self._names_by_peer[instance] = tuple(names)

    def own_center_loads(self, now: float) -> tuple[CenterLoad, ...]:
        """The load of the own data centre's upstreams, by service, as a moment ago.

        Peers of other data centres ask for it some 15 times a second in a fleet of 195.
        """
        if not 0 <= now - self._own_loads_at < OWN_LOAD_SECONDS:
            self._own_loads = self._sum_own_loads(now)
            self._own_loads_at = now
        return self._own_loads

    def _sum_own_loads(self, now: float) -> tuple[CenterLoad, ...]:
        loads = []
        for service in self._ids_by_service:
            local = [
                state
                for state in self.of_service(service)
                if state.listed.data_center == self.data_center and not state.leaving
            ]
            in_flight = sum(state.in_flight(now) for state in local)
            light = sum(state.light_in_flight(now) for state in local)
            loads.append(CenterLoad(service, len(local), in_flight, light))
        return tuple(loads)

    def note_success(self, name: str, now: float) -> None:
        """An upstream answered."""
        state = self.by_id.get(name)
        if state is not None:
            state.health = note_success(state.health, now)
            state.failing = state.failing.note(False, now)

    def note_failure(self, name: str, now: float, certain: bool) -> bool:
        """An upstream failed a request; True when that ejects it."""
        state = self.by_id.get(name)
        if state is None:
            return False
        state.failing = state.failing.note(True, now)
        if Mechanism.EJECTION in self._without:
            return False
        before = state.health.ejections
        state.health = note_failure(state.health, now, certain)
        ejected = state.health.ejections > before
        state.needs_probe = state.needs_probe or ejected
        return ejected

    def suspect(self, name: str, until: float) -> None:
        """A peer ejected an upstream."""
        state = self.by_id.get(name)
        if state is not None and not state.work_by_key:
            state.suspected_until = max(state.suspected_until, until)

    def probe_passed(self, name: str) -> None:
        """An ejected upstream answered its liveness check."""
        state = self.by_id.get(name)
        if state is not None:
            state.needs_probe = False
            state.health = replace(state.health, failures=0)

    def _sort(self) -> None:
        grouped: dict[str, list[UpstreamState]] = {}
        for state in self.by_id.values():
            grouped.setdefault(state.listed.service, []).append(state)
        self._ids_by_service = {
            service: [state.id for state in sorted(states, key=lambda item: item.order)]
            for service, states in grouped.items()
        }
