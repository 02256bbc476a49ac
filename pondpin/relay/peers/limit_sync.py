"""What instances tell each other of the limits that upstreams named.

The first word, each other one and the lifting go to every instance at once, as one datagram: a
limit binds all together, so an instance that the upstream has not told must not send its first
request just since it doesn't know. Digests say it again, for those that missed it or start.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from pondpin.relay.limit_events import UpstreamLimit
from pondpin.relay.log import EventLog
from pondpin.relay.peers.digests import LimitDigest
from pondpin.relay.peers.limit_messages import (
    LIMITS_FORMAT,
    LimitsMessage,
    decode_limits,
    encode_limits,
    limit_digests,
    to_limit_word,
)
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import LimitReport, apply_limit, limit_number


@dataclass
class LimitSync:
    """Tells what this instance heard in answers, and takes what others tell."""

    instance: str
    boot: int
    table: UpstreamTable
    write: Callable[[bytes, str], None]
    hosts: Callable[[], Collection[str]]
    log: EventLog
    bytes_out: int = 0

    def broadcast(self, life: int, now: float) -> None:
        """Tell every instance of a life's limit."""
        limits = limit_digests(self.table, (life,), now)
        data = encode_limits(LimitsMessage(LIMITS_FORMAT, self.instance, self.boot, limits))
        for host in self.hosts():
            self.bytes_out += len(data)
            self.write(data, host)

    def receive(self, data: bytes, now: float) -> bool:
        """Take a datagram; False when it is none of these."""
        news = decode_limits(data)
        if news is None:
            return False
        if news.boot != self.boot:
            self.apply(news.limits, news.instance, now)
        return True

    def apply(self, limits: Iterable[LimitDigest], instance: str, now: float) -> None:
        """Believe what an instance tells, where its word is the one that counts."""
        for told in limits:
            word = to_limit_word(told, f"peer {instance}", now)
            if word is not None:
                self._take(told.life, word, now)

    def _take(self, life: int, word: LimitReport, now: float) -> None:
        standing = self.table.standings.get_or_create(life)
        before = limit_number(standing.limit)
        if apply_limit(self.table.standings, life, word, now):
            self.log.write(
                UpstreamLimit(
                    upstream=self.table.label_of(life),
                    life=f"{life:x}",
                    limit=limit_number(standing.limit),
                    before=before,
                    source=word.source,
                )
            )
