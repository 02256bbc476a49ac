"""Newer versions of the configuration that peers have announced."""

from dataclasses import dataclass

from pondpin.relay.published.freshness import PublishedVersion

# In a large fleet a neighbour's digest arrives every 2 s; a version that is no longer announced may
# not be available any more.
ANNOUNCEMENT_TTL_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Announcement:
    """When peers first and last announced a version."""

    first_at: float
    last_at: float


class AnnouncedVersions:
    """Announced versions newer than the one in force; times are of the steady clock."""

    def __init__(self) -> None:
        self._by_version: dict[PublishedVersion, Announcement] = {}

    def record(self, version: PublishedVersion, now: float) -> bool:
        """Record an announcement; returns True for the first of a version."""
        known = self._by_version.get(version)
        first_at = now if known is None else known.first_at
        self._by_version[version] = Announcement(first_at, now)
        return known is None

    def remove(self, version: PublishedVersion) -> None:
        """Remove a version that can't be used."""
        self._by_version.pop(version, None)

    def drop_older(self, in_force: PublishedVersion) -> None:
        """Drop versions that aren't newer than the one in force."""
        self._by_version = {
            version: item
            for version, item in self._by_version.items()
            if version.is_newer_than(in_force)
        }

    @property
    def first_seen_at(self) -> float | None:
        """The time of the first announcement of any version."""
        return min((item.first_at for item in self._by_version.values()), default=None)

    def behind_seconds(self, now: float) -> float:
        """Seconds since the first announcement of a version that is still announced, or 0."""
        firsts = [item.first_at for item in self._by_version.values() if _is_current(item, now)]
        return max(0.0, now - min(firsts, default=now))

    def has_newer_than(self, version: PublishedVersion, now: float) -> bool:
        """Whether a newer version is still announced."""
        return any(
            _is_current(item, now) and other.is_newer_than(version)
            for other, item in self._by_version.items()
        )


def _is_current(announcement: Announcement, now: float) -> bool:
    return now - announcement.last_at < ANNOUNCEMENT_TTL_SECONDS
