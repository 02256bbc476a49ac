"""Selects the owner of the permits of a limited upstream, and issues permits.

Each limited life has one owner among the live instances of its data centre, and all instances with
the same membership view select the same owner. A limit applies to all instances together and may
be below one request a second, so a static split could leave each instance less than one request.
An instance that is partitioned from a data centre gets no permits of its upstreams, so that no
share grows while the other instances may be alive.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from pondpin.clocks import Clock
from pondpin.pacer import Pacer, Permit, permit_interval
from pondpin.relay.limit_events import PermitOwnerChanged
from pondpin.relay.log import EventLog
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import MAX_LIMIT_NUMBER

# A permit is valid for this long after its start time: connecting may take 0.3 s.
PERMIT_VALID_SECONDS = 0.5
# An upstream with a limit of 0 is asked this often whether it still has it: less than one call in
# the 4 s window of the users' bound on requests above a limit.
ZERO_LIMIT_RECHECK_SECONDS = 5.0
# A view of the membership is cached for this long: digests arrive every 0.2 s.
MEMBERSHIP_CACHE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Membership:
    """The instances that may issue permits of a data centre's upstreams.

    hosts_by_name: the live ones that issue permits; live_count: all live ones; known_count: with
    those that became silent. stands_in: they are of other data centres, while its own may exist and
    be cut off.
    """

    hosts_by_name: Mapping[str, str]
    live_count: int
    known_count: int
    stands_in: bool = False

    @property
    def share(self) -> float:
        """Share of a limit that the live instances may issue; silent ones may be partitioned."""
        return self.live_count / self.known_count if self.known_count else 0.0


@dataclass(frozen=True, slots=True)
class PermitOwner:
    """Owner of the permits of a life, and its share of the limit; host is "" for no owner."""

    instance: str
    host: str
    share: float


NO_OWNER = PermitOwner("", "", 0.0)


def owner_of(life: int, membership: Membership) -> PermitOwner:
    """Select the owner of a life by rendezvous hashing: membership changes move few lives."""
    if not membership.hosts_by_name:
        return NO_OWNER
    name = max(membership.hosts_by_name, key=lambda candidate: _rank(life, candidate))
    return PermitOwner(name, membership.hosts_by_name[name], membership.share)


def successors_of(life: int, instance: str, membership: Membership, count: int) -> list[str]:
    """The hosts of the instances that follow one as owners of a life."""
    others = [name for name in membership.hosts_by_name if name != instance]
    others.sort(key=lambda candidate: _rank(life, candidate), reverse=True)
    return [membership.hosts_by_name[name] for name in others[:count]]


def _rank(life: int, instance: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{life} {instance}".encode()), instance


@dataclass
class PermitIssuer:
    """Issues permits of the lives that this instance owns.

    membership returns the view of a data centre; is_settled: whether peers have had the time to
    send digests, with the limits that upstreams report.
    """

    instance: str
    table: UpstreamTable
    membership: Callable[[str], Membership]
    is_settled: Callable[[], bool]
    log: EventLog
    clock: Clock
    pace_by_life: dict[int, Pacer] = field(default_factory=dict)

    def __post_init__(self) -> None:
        # With the membership, and whether the life was cold, when it was selected.
        self._owner_by_life: dict[int, tuple[Membership, bool, PermitOwner]] = {}
        self._membership_by_data_center: dict[str, tuple[float, Membership]] = {}
        self._limit_by_life: dict[int, float] = {}
        self._checked_at_by_life: dict[int, float] = {}

    def owner(self, state: UpstreamState) -> PermitOwner:
        """The owner of an upstream's permits."""
        membership = self._membership_of(state.listed.data_center)
        cached = self._owner_by_life.get(state.life)
        if cached is not None and cached[0] is membership and cached[1] == state.is_cold:
            return cached[2]
        # A cut off data centre's own instances go on issuing permits of its cold upstreams. If an
        # instance never saw any of them for a minute, there are none.
        is_barred = state.is_cold and membership.stands_in
        owner = NO_OWNER if is_barred else owner_of(state.life, membership)
        if cached is None or cached[2] != owner:
            self._change_owner(state, owner)
        self._owner_by_life[state.life] = (membership, state.is_cold, owner)
        return owner

    def _membership_of(self, data_center: str) -> Membership:
        """A view that is the same object until it changes, so that owners are selected once.

        When a data centre starts, hundreds of its lives are cold.
        """
        now = self.clock()
        cached = self._membership_by_data_center.get(data_center)
        if cached is not None and 0 <= now - cached[0] < MEMBERSHIP_CACHE_SECONDS:
            return cached[1]
        membership = self.membership(data_center)
        if cached is not None and cached[1] == membership:
            membership = cached[1]
        self._membership_by_data_center[data_center] = (now, membership)
        return membership

    def recheck_owners(self) -> None:
        """Look at the membership anew with the next use."""
        self._membership_by_data_center = {
            name: (float("-inf"), membership)
            for name, (_, membership) in self._membership_by_data_center.items()
        }

    def successors(self, state: UpstreamState, count: int) -> list[str]:
        """The hosts that would take this instance's place as owner."""
        membership = self.membership(state.listed.data_center)
        return successors_of(state.life, self.instance, membership, count)

    def _change_owner(self, state: UpstreamState, owner: PermitOwner) -> None:
        """Log a new owner or share of a life; a new owner starts without saved permits."""
        previous = self._owner_by_life.get(state.life)
        if previous is None or previous[2].instance != owner.instance:
            self._limit_by_life.pop(state.life, None)
        self.log.write(
            PermitOwnerChanged(
                upstream=state.id,
                limit=min(MAX_LIMIT_NUMBER, state.limit),
                home=owner.instance,
                share=round(owner.share, 3),
            )
        )

    def is_owner(self, state: UpstreamState) -> bool:
        """Whether this instance owns an upstream's permits."""
        return self.owner(state).instance == self.instance

    def rate(self, state: UpstreamState) -> float:
        """Permits a second that an upstream's owner may issue."""
        return max(0.0, state.limit) * self.owner(state).share

    def limited_upstreams(self, service: str, tried: Collection[int]) -> list[UpstreamState]:
        """The usable upstreams of a service that require a permit, without tried lives.

        Cold ones are left out: permits of these are acquired for one that was chosen.
        """
        now = self.clock()
        return [
            state
            for state in self.table.of_service(service)
            if state.is_limited
            and not state.is_cold
            and state.life not in tried
            and state.is_usable(now)
        ]

    def has_spare(self, state: UpstreamState) -> bool:
        """Whether a permit has been available here for a whole interval between permits.

        Requests that have other upstreams use only such permits. So they use at most half of a
        limit, and observe when it is lifted; the other half is left for requests without another
        upstream.
        """
        if not self.is_owner(state) or not self.is_settled():
            return False
        rate = self.rate(state)
        return rate > 0 and self.clock() >= self._pace(state).due + permit_interval(rate)

    def available_at(self, states: Iterable[UpstreamState]) -> float:
        """Time of the earliest permit that can be issued here; infinite for none."""
        now = self.clock()
        times = [self._pace(state).available_at(now) for state in self._owned(states)]
        return min(times, default=float("inf"))

    def issue(self, states: Iterable[UpstreamState], max_wait: float) -> Permit | None:
        """Issue the earliest permit of some upstreams; None if it is over max_wait seconds away.

        The permit is reserved, so no two requests wait for the same one.
        """
        now = self.clock()
        owned = self._owned(states)
        if not owned:
            return None
        first = min(owned, key=lambda state: self._pace(state).available_at(now))
        at = self._pace(first).available_at(now)
        if at - now > max_wait:
            return None
        self._pace(first).issue(self.rate(first), at)
        return Permit(first.life, at, at + PERMIT_VALID_SECONDS)

    def use_spare(self, state: UpstreamState) -> bool:
        """Use a spare permit now; return whether there was one."""
        if not self.has_spare(state):
            return False
        self._pace(state).issue(self.rate(state), self.clock())
        return True

    def record_use(self, life: int, spent: bool) -> None:
        """Charge a request that had no permit, or refund a permit that was not used."""
        state = self.table.by_life(life)
        if state is None or not state.is_limited or not self.is_owner(state):
            return
        rate = self.rate(state)
        if rate <= 0:
            return
        if spent:
            self._pace(state).issue(rate, self.clock())
        else:
            self._pace(state).release(rate)

    def due_for_recheck(self) -> list[UpstreamState]:
        """Upstreams to ask whether their limit is still 0, as no request's answer can show it."""
        now = self.clock()
        due = [state for state in self.table.by_id.values() if self._is_recheck_due(state, now)]
        self._checked_at_by_life |= {state.life: now for state in due}
        return due

    def _is_recheck_due(self, state: UpstreamState, now: float) -> bool:
        limit_report = state.availability.limit
        if (
            limit_report is None
            or limit_report.limit != 0
            or state.block_reason(now)
            or not self.is_owner(state)
        ):
            return False
        checked_at = self._checked_at_by_life.get(state.life, limit_report.received_at)
        return now - max(limit_report.received_at, checked_at) >= ZERO_LIMIT_RECHECK_SECONDS

    def expire(self) -> None:
        """Remove the state of lives that are no longer limited."""
        limited = {state.life for state in self.table.by_id.values() if state.is_limited}
        tables: tuple[dict[int, Any], ...] = (
            self.pace_by_life,
            self._owner_by_life,
            self._limit_by_life,
            self._checked_at_by_life,
        )
        for by_life in tables:
            for life in by_life.keys() - limited:
                del by_life[life]

    def _owned(self, states: Iterable[UpstreamState]) -> list[UpstreamState]:
        if not self.is_settled():
            return []
        return [state for state in states if self.is_owner(state) and self.rate(state) > 0]

    def _pace(self, state: UpstreamState) -> Pacer:
        """The pace of a life. After a change of limit or owner it starts without saved permits, and
        after those that were issued ahead of time.
        """
        limit, previous = state.limit, self.pace_by_life.get(state.life)
        if previous is not None and self._limit_by_life.get(state.life) == limit:
            return previous
        rate, now = self.rate(state), self.clock()
        pace = Pacer.begin(rate, now)
        if previous is not None:
            share = self.owner(state).share
            pace.inherit(previous, self._limit_by_life.get(state.life, limit) * share, rate, now)
        self.pace_by_life[state.life] = pace
        self._limit_by_life[state.life] = limit
        return pace
