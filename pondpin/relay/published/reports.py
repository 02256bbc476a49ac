"""What a publication reports beside the values that it puts in force."""

from dataclasses import dataclass

from pondpin.relay.published.freshness import PublishedVersion


@dataclass(frozen=True, slots=True)
class EpochChange:
    """A later epoch of the source was heard of; source says from whom."""

    before: int
    epoch: int
    source: str


@dataclass(frozen=True, slots=True)
class IgnoredEntries:
    """Entries of a restored list that are not used: older ones of upstreams that are listed, and
    those of lives that were given up before.
    """

    epoch: int
    older: int
    removed: int


# A PublishedVersion is one of a lower version, which is left out.
Report = EpochChange | PublishedVersion | IgnoredEntries
