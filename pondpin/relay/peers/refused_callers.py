"""Refused callers that were told when to return, known at all instances.

Times are in seconds of the steady clock. All state expires, and is lost with an instance without
harm: the caller is then treated as a new one.
"""

from collections.abc import Iterable

from pondpin.relay.peers.digests import RefusedDigest

# Refused callers in a digest: 8 bytes each.
MAX_DIGEST_REFUSED = 32
# A caller is expected for this long after its time.
LATE_SECONDS = 3.0
# A caller may come this much early: its clock and the rounding of its time to 10 ms.
EARLY_SECONDS = 0.1
# Bound on the callers of all instances: at 4,300 requests/s, half of them refused, 2 s of them.
MAX_KNOWN = 4096
MILLISECONDS = 1000.0
IDENTITY_BITS = 32


class RefusedCallers:
    """The times at which refused callers should return, by the lower bits of their identity."""

    def __init__(self) -> None:
        self._return_at_by_identity: dict[int, float] = {}
        self._own: dict[int, float] = {}

    def add(self, identity: int, return_at: float) -> None:
        """Expect a caller that was refused here."""
        key = identity % (1 << IDENTITY_BITS)
        self._own.pop(key, None)
        self._own[key] = return_at
        self._learn(key, return_at)

    def is_return(self, identity: int, now: float) -> bool:
        """Whether a caller returns as told; one that comes much before its time is a new one."""
        return_at = self._return_at_by_identity.get(identity % (1 << IDENTITY_BITS))
        if return_at is None:
            return False
        return return_at - EARLY_SECONDS <= now < return_at + LATE_SECONDS

    def digests(self, now: float) -> tuple[RefusedDigest, ...]:
        """The newest callers that were refused here."""
        newest = list(self._own.items())[: -MAX_DIGEST_REFUSED - 1 : -1]
        return tuple(
            RefusedDigest(key, round((at - now) * MILLISECONDS))
            for key, at in newest
            if now < at + LATE_SECONDS
        )

    def apply(self, digests: Iterable[RefusedDigest], now: float) -> None:
        """Expect the callers that a peer refused."""
        for item in digests:
            self._learn(item.identity, now + item.wait / MILLISECONDS)

    def expire(self, now: float) -> None:
        """Drop callers that are overdue."""
        for known in (self._own, self._return_at_by_identity):
            for key in [key for key, at in known.items() if now >= at + LATE_SECONDS]:
                del known[key]

    def _learn(self, key: int, return_at: float) -> None:
        known = self._return_at_by_identity
        known.pop(key, None)
        known[key] = return_at
        for table in (known, self._own):
            if len(table) > MAX_KNOWN:
                del table[next(iter(table))]
