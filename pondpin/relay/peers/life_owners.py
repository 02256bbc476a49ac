"""Selects the instance that decides on requests to a life of an upstream for all instances."""

from collections.abc import Collection
from dataclasses import replace
from typing import TYPE_CHECKING

from pondpin.relay.peers.permit_issuer import Membership, PermitOwner, owner_of
from pondpin.relay.upstreams.state import UpstreamState

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip

# A selected owner is cached for this long: digests arrive every 0.2 s.
OWNER_CACHE_SECONDS = 0.1
MAX_CACHED = 2000
# An owner that another instance named is asked directly for this long.
REDIRECT_SECONDS = 1.0


def membership_of(gossip: "Gossip", data_center: str) -> Membership:
    """The instances that may own the upstreams of a data centre.

    If no instance of the data centre is known, every known instance may, as none there can.
    """
    now, records = gossip.clock(), gossip.peer_table.by_host.values()
    peers = [item for item in records if item.data_center == data_center]
    includes_self = data_center == gossip.table.data_center
    if not peers and not includes_self:
        peers, includes_self = list(records), True
    alive = [peer for peer in peers if peer.is_alive(now)]
    hosts_by_name = {peer.instance: peer.host for peer in alive if peer.issues_permits}
    if includes_self and (not gossip.is_stopping or not hosts_by_name):
        hosts_by_name[gossip.instance] = gossip.address.host
    return Membership(hosts_by_name, len(alive) + includes_self, len(peers) + includes_self)


class SlotOwners:
    """The owners of the slots of lives, without hosts that gave no answer lately.

    In a large fleet, an instance knows few of the instances of other data centres, and those ask
    the wrong one: an instance of the life's data centre names the owner.
    """

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip
        self._cached_by_life: dict[int, tuple[float, PermitOwner]] = {}
        self._bypassed_until_by_host: dict[str, float] = {}
        self._named_by_life: dict[int, tuple[float, str]] = {}

    def owner(self, state: UpstreamState) -> PermitOwner:
        """The owner of a life; its host is "" for none that can be reached."""
        now = self._gossip.clock()
        named = self._named_by_life.get(state.life)
        if named is not None and now < named[0] and not self.is_bypassed(named[1]):
            return PermitOwner("", named[1], 1.0)
        cached = self._cached_by_life.get(state.life)
        if cached is not None and 0 <= now - cached[0] < OWNER_CACHE_SECONDS:
            return cached[1]
        membership = membership_of(self._gossip, state.listed.data_center)
        owner = owner_of(state.life, self._without(membership, self._bypassed(now)))
        if len(self._cached_by_life) >= MAX_CACHED:
            self._cached_by_life.clear()
        self._cached_by_life[state.life] = (now, owner)
        return owner

    def name(self, life: int, host: str) -> None:
        """Select the owner that an instance of its data centre named."""
        if len(self._named_by_life) >= MAX_CACHED:
            self._named_by_life.clear()
        self._named_by_life[life] = (self._gossip.clock() + REDIRECT_SECONDS, host)

    def other_owner_host(self, state: UpstreamState) -> str:
        """The host of the owner of a life of this data centre, "" if this instance is to decide."""
        if state.listed.data_center != self._gossip.table.data_center:
            return ""
        host = self.owner(state).host
        return "" if host == self._gossip.address.host else host

    def is_bypassed(self, host: str = "") -> bool:
        """Whether a host, or any, is bypassed."""
        bypassed = self._bypassed(self._gossip.clock())
        return host in bypassed if host else bool(bypassed)

    def bypass(self, host: str, seconds: float) -> None:
        """Select other owners than an instance for some time."""
        self._bypassed_until_by_host[host] = self._gossip.clock() + seconds
        self._cached_by_life.clear()

    def _bypassed(self, now: float) -> Collection[str]:
        for host, until in list(self._bypassed_until_by_host.items()):
            if now >= until:
                del self._bypassed_until_by_host[host]
        return self._bypassed_until_by_host

    def _without(self, membership: Membership, hosts: Collection[str]) -> Membership:
        if not hosts:
            return membership
        kept = {name: host for name, host in membership.hosts_by_name.items() if host not in hosts}
        return replace(membership, hosts_by_name=kept)
