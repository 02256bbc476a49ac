"""Proofs that a published value was in force, and how old they are.

A proof counts from the moment its read was sent, so its age is never told too small.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Proof:
    """A linearizable read sent at at (steady clock of this process) found this revision."""

    revision: int
    at: float

    def age(self, now: float) -> float:
        """Seconds since the read was sent."""
        return now - self.at


def later(known: Proof | None, offered: Proof) -> Proof:
    """The proof to keep: a higher revision first, then the later read."""
    if known is None or offered.revision > known.revision:
        return offered
    if offered.revision == known.revision and offered.at > known.at:
        return offered
    return known


def is_fresh(proof: Proof | None, revision: int, now: float, bound: float) -> bool:
    """Whether the revision in force here was proved less than bound seconds ago."""
    return proof is not None and proof.revision == revision and proof.age(now) < bound


def peer_proof(revision: int, asked_at: float, age_there: float) -> Proof:
    """A peer's proof in this process's clock.

    The peer told age_there after it had heard what this process sent at asked_at, so the read
    began no earlier than asked_at - age_there; a datagram that waited only looks older.
    """
    return Proof(revision, asked_at - age_there)
