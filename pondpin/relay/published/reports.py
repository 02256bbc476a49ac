"""Events that a publication reports besides the values it puts in force."""

from dataclasses import dataclass

from pondpin.relay.published.freshness import PublishedVersion


@dataclass(frozen=True, slots=True)
class EpochChange:
    """A later epoch of the source was seen; source says who named it."""

    before: int
    epoch: int
    source: str


@dataclass(frozen=True, slots=True)
class IgnoredEntries:
    """Counts of ignored entries of a restored list.

    older: entries older than those in use; removed: entries of lives that were removed before.
    """

    epoch: int
    older: int
    removed: int


# A PublishedVersion is an ignored version, lower than the one in force.
Report = EpochChange | PublishedVersion | IgnoredEntries
