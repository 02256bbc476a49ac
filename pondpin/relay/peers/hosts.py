"""Hosts that are or may be peers, and which silent ones are worth a greeting."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pondpin.relay.peers.digests import PeerTable

# A host that nobody has mentioned for so long is no longer tried; seeds always are.
HOST_SECONDS = 120.0
# In a large fleet a data centre's other hosts are not greeted once so many of it are heard.
FEWEST_FAR = 6


@dataclass(frozen=True, slots=True)
class GossipAddress:
    """Where this instance's peers listen: the same ports on every machine."""

    host: str
    datagram_port: int
    document_port: int


class PeerHosts:
    """Every host but the own one, by what the settings and peers say."""

    def __init__(self, own: str, data_center: str, seeds: tuple[str, ...]) -> None:
        self._own = own
        self._data_center = data_center
        self._seeds = seeds
        self._mentioned_at_by_host: dict[str, float] = {}
        self._center_by_host: dict[str, str] = {}
        self._all: frozenset[str] | None = None

    @property
    def seeds(self) -> tuple[str, ...]:
        """Hosts that the settings name."""
        return self._seeds

    @seeds.setter
    def seeds(self, seeds: tuple[str, ...]) -> None:
        self._seeds = seeds
        self._all = None

    @property
    def all(self) -> frozenset[str]:
        """Every host that is or may be a peer."""
        if self._all is None:
            mentioned = self._mentioned_at_by_host.keys()
            self._all = frozenset((mentioned | set(self._seeds)) - {self._own})
        return self._all

    def add(self, hosts: Iterable[str], data_center: str, now: float) -> bool:
        """Note hosts of a data centre ("" if not known); whether one of them is new."""
        found = False
        for host in hosts:
            if data_center:
                self._center_by_host[host] = data_center
            if host not in self._mentioned_at_by_host:
                found = found or (host != self._own and host not in self.all)
                self._all = None
            self._mentioned_at_by_host[host] = now
        return found

    def expire(self, now: float) -> None:
        """Drop those that nobody mentions any more."""
        for host, at in list(self._mentioned_at_by_host.items()):
            if now - at > HOST_SECONDS:
                del self._mentioned_at_by_host[host]
                self._center_by_host.pop(host, None)
                self._all = None

    def hosts_to_contact(self, known: PeerTable, now: float) -> list[str]:
        """Silent hosts to be heard: neighbours, and in a large fleet a few of each other centre.

        Greeting all took 16 of the 43 digests a second of an idle instance among 195, and
        neighbours were found late: 17 of 38 after two seconds (`measure_gossip`'s fleet).
        """
        alive = known.alive(now)
        silent = sorted(self.all - {peer.host for peer in alive})
        if not known.is_large:
            return silent
        near = [host for host in silent if self._is_near(host)]
        if near:
            return near
        heard = Counter(peer.data_center for peer in alive)
        centers = {host: self._center_by_host.get(host, "") for host in silent}
        return [host for host in silent if centers[host] and heard[centers[host]] < FEWEST_FAR]

    def _is_near(self, host: str) -> bool:
        return self._center_by_host.get(host) == self._data_center or host in self._seeds
