"""Published versions, and proofs that nothing newer was published.

A proof's age counts from the sending of its read, so it is never underestimated.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """Identifies a published configuration.

    version is set by the operator and only increases. epoch and revision are its position in the
    source's history; after a restore the source reuses revisions. content is the hash of its
    value, 0 if unknown.
    """

    version: int
    epoch: int = 0
    revision: int = 0
    content: int = 0

    def is_newer_than(self, other: "PublishedVersion") -> bool:
        """Whether this is newer; the same content at another position is not."""
        if self.content and self.content == other.content:
            return False
        return self._order > other._order

    @property
    def _order(self) -> tuple[int, int, int]:
        return self.version, self.epoch, self.revision


NOTHING_PUBLISHED = PublishedVersion(-1)


@dataclass(frozen=True, slots=True)
class Proof:
    """A linearizable read, sent at sent_at by this process's steady clock, found newest.

    After a restore newest may be older than the version in force; the read still proves that
    nothing newer is published.
    """

    newest: PublishedVersion
    sent_at: float

    def age(self, now: float) -> float:
        """Seconds since sent_at."""
        return now - self.sent_at

    def confirms(self, version: PublishedVersion) -> bool:
        """Whether nothing newer than a version was published at sent_at."""
        return not self.newest.is_newer_than(version)


def later_proof(known: Proof | None, offered: Proof) -> Proof:
    """The later of two valid proofs."""
    return offered if known is None or offered.sent_at > known.sent_at else known


def is_fresh(proof: Proof | None, in_force: PublishedVersion, now: float, bound: float) -> bool:
    """Whether the proof of the version in force is younger than bound seconds."""
    return proof is not None and proof.confirms(in_force) and proof.age(now) < bound


def peer_proof(newest: PublishedVersion, echo_sent_at: float, peer_age: float) -> Proof:
    """Convert a peer's proof to this process's clock.

    The peer computed peer_age after receiving what this process sent at echo_sent_at, so its read
    began no earlier than echo_sent_at - peer_age. Delays of datagrams only make the proof older.
    """
    return Proof(newest, echo_sent_at - peer_age)
