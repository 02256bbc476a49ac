"""Which upstreams are contended: those that had no free slot a moment ago.

Times are in seconds of the steady clock.
"""

from collections.abc import Callable

from pondpin.relay.contention_events import ContentionChanged
from pondpin.relay.log import EventLog

# A life is contended for this long after the last evidence. Calls of plain services take 0.1 s and
# streams some seconds, so that a full upstream is seen again within it.
EVIDENCE_SECONDS = 1.0
# Contended lives in a digest, the most recent first: 9 bytes each.
MAX_DIGEST_CONTENDED = 16
ANSWER_FULL = "its answer"
TURNED_AWAY = "it turned a request away"
OWNER_ANSWER = "the owner's answer"
PEER_DIGEST = "a peer's digest"


class Contention:
    """The contended lives, by evidence of this instance and of its peers.

    Only own evidence is sent to peers: instances that repeat each other's would never end it.
    """

    def __init__(self, log: EventLog, label_of: Callable[[int], str]) -> None:
        self._log = log
        self._label_of = label_of
        self._until_by_life: dict[int, float] = {}
        self._own_until_by_life: dict[int, float] = {}
        self._evidence_by_life: dict[int, str] = {}
        self._latest_until = float("-inf")

    def record(self, life: int, evidence: str, now: float) -> None:
        """Record that a life has no free slot."""
        until = now + EVIDENCE_SECONDS
        if evidence != PEER_DIGEST:
            # The most recent comes last.
            self._own_until_by_life.pop(life, None)
            self._own_until_by_life[life] = until
        if life not in self._until_by_life:
            self._write(life, True, evidence)
        self._until_by_life[life] = until
        self._evidence_by_life[life] = evidence
        self._latest_until = until

    def is_contended(self, life: int, now: float) -> bool:
        """Whether requests for a life need a slot from its owner."""
        return now < self._until_by_life.get(life, float("-inf"))

    def is_any(self, now: float) -> bool:
        """Whether any life is contended."""
        return now < self._latest_until

    def lives(self, now: float) -> list[int]:
        """The contended lives."""
        return [life for life, until in self._until_by_life.items() if now < until]

    def lives_to_send(self, now: float) -> tuple[int, ...]:
        """The lives for the next digest."""
        own = [life for life, until in self._own_until_by_life.items() if now < until]
        return tuple(own[: -MAX_DIGEST_CONTENDED - 1 : -1])

    def expire(self, now: float) -> None:
        """End contention without recent evidence."""
        for life, until in list(self._until_by_life.items()):
            if now >= until:
                del self._until_by_life[life]
                self._own_until_by_life.pop(life, None)
                self._write(life, False, self._evidence_by_life.pop(life))

    def _write(self, life: int, begins: bool, evidence: str) -> None:
        self._log.write(
            ContentionChanged(
                upstream=self._label_of(life), life=f"{life:x}", begins=begins, evidence=evidence
            )
        )
