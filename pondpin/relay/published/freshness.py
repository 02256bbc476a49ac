"""Published versions, and proofs that nothing newer was published.

A proof counts from the moment its read was sent, so its age is never told too small.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A published configuration, as a read or a peer names it.

    version is the operator's own number, which only rises. epoch and revision say where in the
    source's history it was read: after a restore, revisions are given out again. content is the
    hash of its value, 0 where it isn't known.
    """

    version: int
    epoch: int = 0
    revision: int = 0
    content: int = 0

    def is_newer_than(self, other: "PublishedVersion") -> bool:
        """Whether this replaces another one; the same content is the same wherever it was read."""
        if self.content and self.content == other.content:
            return False
        return self._order > other._order

    @property
    def _order(self) -> tuple[int, int, int]:
        return self.version, self.epoch, self.revision


NOTHING_PUBLISHED = PublishedVersion(-1)


@dataclass(frozen=True, slots=True)
class Proof:
    """A linearizable read sent at at (steady clock of this process) found newest published.

    What a restore lost was published before: newest may be older than the version in force, which
    the read then proves to be the newest all the same.
    """

    newest: PublishedVersion
    sent_at: float

    def age(self, now: float) -> float:
        """Seconds since the read was sent."""
        return now - self.sent_at

    def confirms(self, version: PublishedVersion) -> bool:
        """Whether nothing newer than a version was published when the read was sent."""
        return not self.newest.is_newer_than(version)


def later_proof(known: Proof | None, offered: Proof) -> Proof:
    """The proof to keep of two that count."""
    return offered if known is None or offered.sent_at > known.sent_at else known


def is_fresh(proof: Proof | None, in_force: PublishedVersion, now: float, bound: float) -> bool:
    """Whether the version in force here was proved less than bound seconds ago."""
    return proof is not None and proof.confirms(in_force) and proof.age(now) < bound


def peer_proof(newest: PublishedVersion, asked_at: float, age_there: float) -> Proof:
    """A peer's proof in this process's clock.

    The peer told age_there after it had heard what this process sent at asked_at, so the read
    began no earlier than asked_at - age_there; a datagram that waited only looks older.
    """
    return Proof(newest, asked_at - age_there)
