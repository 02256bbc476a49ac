"""Hosts of known and possible peers."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pondpin.relay.peers.digests import PeerTable

# A host that no digest names for this long is dropped; seeds never are.
HOST_EXPIRY_SECONDS = 120.0
# In a large fleet, live peers of another data centre that suffice to contact no further host.
MIN_REMOTE_PEERS = 6


@dataclass(frozen=True, slots=True)
class GossipAddress:
    """Own host, and the ports, which are the same for all instances."""

    host: str
    datagram_port: int
    document_port: int


class PeerHosts:
    """Hosts from settings and digests."""

    def __init__(self, own: str, data_center: str, seeds: tuple[str, ...]) -> None:
        self._own = own
        self._data_center = data_center
        self._seeds = seeds
        self._named_at_by_host: dict[str, float] = {}
        self._data_center_by_host: dict[str, str] = {}
        self._all: frozenset[str] | None = None

    @property
    def seeds(self) -> tuple[str, ...]:
        """Hosts from the settings."""
        return self._seeds

    @seeds.setter
    def seeds(self, seeds: tuple[str, ...]) -> None:
        self._seeds = seeds
        self._all = None

    @property
    def all(self) -> frozenset[str]:
        """All hosts but the own one."""
        if self._all is None:
            named = self._named_at_by_host.keys()
            self._all = frozenset((named | set(self._seeds)) - {self._own})
        return self._all

    def add(self, hosts: Iterable[str], data_center: str, now: float) -> bool:
        """Add hosts of a data centre, "" for unknown; return whether any is new."""
        any_new = False
        for host in hosts:
            if data_center:
                self._data_center_by_host[host] = data_center
            if host not in self._named_at_by_host:
                any_new = any_new or (host != self._own and host not in self.all)
                self._all = None
            self._named_at_by_host[host] = now
        return any_new

    def expire(self, now: float) -> None:
        """Remove hosts that digests no longer name."""
        for host, named_at in list(self._named_at_by_host.items()):
            if now - named_at > HOST_EXPIRY_SECONDS:
                del self._named_at_by_host[host]
                self._data_center_by_host.pop(host, None)
                self._all = None

    def hosts_to_contact(self, peers: PeerTable, now: float) -> list[str]:
        """Silent hosts to contact; in a large fleet the local ones, or if there are none, those of
        data centres with few live peers.

        Contacting all took 16 of the 43 digests a second of an idle instance among 195, and after
        2 s only 17 of 38 local peers were known.
        """
        alive = peers.alive(now)
        silent = sorted(self.all - {peer.host for peer in alive})
        if not peers.is_large:
            return silent
        local = [host for host in silent if self._is_local(host)]
        if local:
            return local
        live = Counter(peer.data_center for peer in alive)
        by_host = {host: self._data_center_by_host.get(host, "") for host in silent}
        return [host for host in silent if by_host[host] and live[by_host[host]] < MIN_REMOTE_PEERS]

    def _is_local(self, host: str) -> bool:
        return self._data_center_by_host.get(host) == self._data_center or host in self._seeds
