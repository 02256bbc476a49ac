"""Which instance hands out the permits of a limited upstream, and the handing out.

Each such life has one home among the live instances of its own data centre, the same one for all
who know the same instances. A limit binds all together and may be under one request a second, so
parts of it would be smaller than a request; and whoever is cut off from a data centre gets no
permits of its upstreams, so that nobody's part grows while others may be alive.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from pondpin.clocks import Clock
from pondpin.limits import told_limit
from pondpin.pace import Pace, Permit, gap_of
from pondpin.relay.limit_events import PermitOwnerChanged
from pondpin.relay.log import EventLog
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

# A permit that is not spent within this after its moment counts no more: connecting may take 0.3 s.
PERMIT_VALID_SECONDS = 0.5
# An upstream that takes nothing at all is asked this often whether it still does: less than one
# call in the 4 s for which the users count.
SHUT_CHECK_SECONDS = 5.0
# A home looks anew at who is there this often: digests come every 0.2 s.
LOOK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Membership:
    """The instances that may hand out permits of a data centre's upstreams.

    hosts_by_name: those that do; live and known: how many were heard lately, and how many of them
    there may be, with those that fell silent.
    """

    hosts_by_name: Mapping[str, str]
    live_count: int
    known_count: int

    @property
    def share(self) -> float:
        """The part of a limit that this side may hand out: the others may be alive and cut off."""
        return self.live_count / self.known_count if self.known_count else 0.0


@dataclass(frozen=True, slots=True)
class PermitOwner:
    """Who hands out the permits of a life, and the part of its limit; host is "" for nobody."""

    instance: str
    host: str
    share: float


NOBODY = PermitOwner("", "", 0.0)


def owner_of(life: int, members: Membership) -> PermitOwner:
    """The home of a life by rendezvous hashing: few lives move when instances come or go."""
    if not members.hosts_by_name:
        return NOBODY
    name = max(
        members.hosts_by_name,
        key=lambda item: (xxhash.xxh64_intdigest(f"{life} {item}".encode()), item),
    )
    return PermitOwner(name, members.hosts_by_name[name], members.share)


@dataclass
class PermitIssuer:
    """The permits of the lives whose home this instance is.

    members tells who is in a data centre; is_settled: whether peers had the time to say that they
    are there, and what upstreams named.
    """

    instance: str
    table: UpstreamTable
    membership: Callable[[str], Membership]
    is_settled: Callable[[], bool]
    log: EventLog
    clock: Clock
    pace_by_life: dict[int, Pace] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Set up what is looked up."""
        self._home_by_life: dict[int, tuple[float, PermitOwner]] = {}
        self._limit_by_life: dict[int, float] = {}
        self._checked_at_by_life: dict[int, float] = {}

    def owner(self, state: UpstreamState) -> PermitOwner:
        """The home of an upstream's life."""
        now = self.clock()
        known = self._home_by_life.get(state.life)
        if known is not None and 0 <= now - known[0] < LOOK_SECONDS:
            return known[1]
        found = owner_of(state.life, self.membership(state.listed.data_center))
        if known is None or known[1] != found:
            self._take_home(state, found)
        self._home_by_life[state.life] = (now, found)
        return found

    def _take_home(self, state: UpstreamState, home: PermitOwner) -> None:
        """A life has another home, or its home another part; a new home has saved nothing up."""
        before = self._home_by_life.get(state.life)
        if before is None or before[1].instance != home.instance:
            self._limit_by_life.pop(state.life, None)
        self.log.write(
            PermitOwnerChanged(
                upstream=state.id,
                limit=told_limit(state.standing.limit),
                home=home.instance,
                share=round(home.share, 3),
            )
        )

    def is_owner(self, state: UpstreamState) -> bool:
        """Whether this instance hands out permits of an upstream's life."""
        return self.owner(state).instance == self.instance

    def rate(self, state: UpstreamState) -> float:
        """Permits a second that this instance hands out."""
        word = state.standing.limit
        limit = 0.0 if word is None or word.limit is None else word.limit
        return limit * self.owner(state).share

    def limited_upstreams(self, service: str, tried: Collection[int]) -> list[UpstreamState]:
        """The upstreams of a service that take requests by permit."""
        now = self.clock()
        return [
            state
            for state in self.table.of_service(service)
            if state.is_limited and state.life not in tried and state.is_usable(now)
        ]

    def has_spare(self, state: UpstreamState) -> bool:
        """Whether a permit has lain here unused for as long as one takes to come.

        So those that may go elsewhere use half of a limit at most, and learn when it is lifted;
        the other half waits for who has no other place.
        """
        if not self.is_owner(state) or not self.is_settled():
            return False
        rate = self.rate(state)
        return rate > 0 and self.clock() >= self._pace(state).due + gap_of(rate)

    def available_at(self, states: Iterable[UpstreamState]) -> float:
        """When the first permit of some upstreams can be had here; infinite for none."""
        now = self.clock()
        moments = [self._pace(state).free_at(now) for state in self._own(states)]
        return min(moments, default=float("inf"))

    def issue(self, states: Iterable[UpstreamState], longest: float) -> Permit | None:
        """The first permit of some upstreams, None when it would be later than in longest seconds.

        It is kept for who asks, so nobody else waits for the same one.
        """
        now = self.clock()
        own = self._own(states)
        if not own:
            return None
        first = min(own, key=lambda state: self._pace(state).free_at(now))
        at = self._pace(first).free_at(now)
        if at - now > longest:
            return None
        self._pace(first).take(self.rate(first), at)
        return Permit(first.life, at, at + PERMIT_VALID_SECONDS)

    def use_spare(self, state: UpstreamState) -> bool:
        """Spend a spare permit now."""
        if not self.has_spare(state):
            return False
        self._pace(state).take(self.rate(state), self.clock())
        return True

    def record_use(self, life: int, spent: bool) -> None:
        """One was spent without a permit, or a permit was not spent."""
        state = self.table.by_life(life)
        if state is None or not state.is_limited or not self.is_owner(state):
            return
        rate = self.rate(state)
        if rate <= 0:
            return
        if spent:
            self._pace(state).take(rate, self.clock())
        else:
            self._pace(state).give_back(rate)

    def due_for_recheck(self) -> list[UpstreamState]:
        """Those that take nothing at all, and are to be asked now whether they still do: no request
        will find out.
        """
        now = self.clock()
        found = [state for state in self.table.by_id.values() if self._is_unasked(state, now)]
        self._checked_at_by_life |= {state.life: now for state in found}
        return found

    def _is_unasked(self, state: UpstreamState, now: float) -> bool:
        word = state.standing.limit
        if word is None or word.limit != 0 or state.bar(now) or not self.is_owner(state):
            return False
        asked_at = self._checked_at_by_life.get(state.life, word.heard_at)
        return now - max(word.heard_at, asked_at) >= SHUT_CHECK_SECONDS

    def expire(self) -> None:
        """Drop what belongs to lives that name no limit any more."""
        kept = {state.life for state in self.table.by_id.values() if state.is_limited}
        by_life: tuple[dict[int, Any], ...] = (
            self.pace_by_life,
            self._home_by_life,
            self._limit_by_life,
            self._checked_at_by_life,
        )
        for found in by_life:
            for life in found.keys() - kept:
                del found[life]

    def _own(self, states: Iterable[UpstreamState]) -> list[UpstreamState]:
        if not self.is_settled():
            return []
        return [state for state in states if self.is_owner(state) and self.rate(state) > 0]

    def _pace(self, state: UpstreamState) -> Pace:
        """The pace of a life; another limit, or a new home, begins with none saved up, and behind
        what was handed out ahead of time.
        """
        limit, known = state.limit, self.pace_by_life.get(state.life)
        if known is not None and self._limit_by_life.get(state.life) == limit:
            return known
        rate, now = self.rate(state), self.clock()
        pace = Pace.begin(rate, now)
        if known is not None:
            share = self.owner(state).share
            pace.follow(known, self._limit_by_life.get(state.life, limit) * share, rate, now)
        self.pace_by_life[state.life] = pace
        self._limit_by_life[state.life] = limit
        return pace
