"""Exchanges the limits that upstreams report among instances.

A new limit, a change and the lifting of a limit are broadcast at once, in one datagram to each
instance. A limit applies to all instances together, so an instance that has no answer with the
limit yet must not send a request without knowing it. Digests repeat limits for instances that
missed the datagram or started later.
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
    to_limit_report,
)
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import LimitReport, apply_limit, limit_number


@dataclass
class LimitSync:
    """Broadcasts limits from answers to this instance, and applies those of peers."""

    instance: str
    boot: int
    table: UpstreamTable
    write: Callable[[bytes, str], None]
    hosts: Callable[[], Collection[str]]
    log: EventLog
    bytes_out: int = 0

    def broadcast(self, life: int, now: float) -> None:
        """Send the limit of a life to every instance."""
        limits = limit_digests(self.table, (life,), now)
        data = encode_limits(LimitsMessage(LIMITS_FORMAT, self.instance, self.boot, limits))
        for host in self.hosts():
            self.bytes_out += len(data)
            self.write(data, host)

    def receive(self, data: bytes, now: float) -> bool:
        """Apply a limits message; False for any other datagram."""
        message = decode_limits(data)
        if message is None:
            return False
        if message.boot != self.boot:
            self.apply(message.limits, message.instance, now)
        return True

    def apply(self, limits: Iterable[LimitDigest], instance: str, now: float) -> None:
        """Apply limits from an instance where they supersede the known ones."""
        for digest in limits:
            limit_report = to_limit_report(digest, f"peer {instance}", now)
            if limit_report is not None:
                self._apply(digest.life, limit_report, now)

    def _apply(self, life: int, limit_report: LimitReport, now: float) -> None:
        standing = self.table.availability_table.get_or_create(life)
        before = limit_number(standing.limit)
        if apply_limit(self.table.availability_table, life, limit_report, now):
            self.log.write(
                UpstreamLimit(
                    upstream=self.table.label_of(life),
                    life=f"{life:x}",
                    limit=limit_number(standing.limit),
                    before=before,
                    source=limit_report.source,
                )
            )
