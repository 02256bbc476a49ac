"""Newer versions of the configuration that peers have in force."""

from dataclasses import dataclass

from pondpin.relay.published.freshness import PublishedVersion

# A newer configuration can be had while a peer tells of it; in a large fleet a neighbour is
# heard every two seconds.
ANNOUNCEMENT_TTL_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Told:
    """When peers first and last told of a newer version."""

    first_at: float
    last_at: float


class AnnouncedVersions:
    """Newer versions than the one in force; times by the steady clock."""

    def __init__(self) -> None:
        self._told_by_version: dict[PublishedVersion, Told] = {}

    def record(self, version: PublishedVersion, now: float) -> bool:
        """A peer has a version in force; True when this is the first word of it."""
        known = self._told_by_version.get(version)
        first_at = now if known is None else known.first_at
        self._told_by_version[version] = Told(first_at, now)
        return known is None

    def remove(self, version: PublishedVersion) -> None:
        """Forget a version that can't be used."""
        self._told_by_version.pop(version, None)

    def drop_older(self, in_force: PublishedVersion) -> None:
        """Forget versions that are not newer than the one in force now."""
        self._told_by_version = {
            version: told
            for version, told in self._told_by_version.items()
            if version.is_newer_than(in_force)
        }

    @property
    def first_seen_at(self) -> float | None:
        """When the first word of any of them came."""
        return min((told.first_at for told in self._told_by_version.values()), default=None)

    def behind_seconds(self, now: float) -> float:
        """For how long a version is known of that a peer still has; 0 without one."""
        firsts = [told.first_at for told in self._told_by_version.values() if _counts(told, now)]
        return max(0.0, now - min(firsts, default=now))

    def has_newer_than(self, version: PublishedVersion, now: float) -> bool:
        """Whether a peer still has a newer version than some version."""
        return any(
            _counts(told, now) and other.is_newer_than(version)
            for other, told in self._told_by_version.items()
        )


def _counts(told: Told, now: float) -> bool:
    return now - told.last_at < ANNOUNCEMENT_TTL_SECONDS
