"""The published configuration and list of upstreams in force, with proofs of freshness.

When the source is restored from an older copy, a new epoch begins and revisions are reused. So
the operator's version decides what is newer; epoch and revision together, or the content, decide
what is the same.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import xxhash

from pondpin.relay.model import ListedUpstream, RelayConfiguration, starts_before
from pondpin.relay.published.announced_versions import AnnouncedVersions
from pondpin.relay.published.configuration_cache import ConfigurationCache
from pondpin.relay.published.documents import (
    DocumentKind,
    PublishedItem,
    RecentDocuments,
    encode_configuration,
    encode_list,
)
from pondpin.relay.published.freshness import (
    NOTHING_PUBLISHED,
    Proof,
    PublishedVersion,
    later_proof,
)
from pondpin.relay.published.reports import EpochChange, IgnoredEntries, Report

if TYPE_CHECKING:
    from pondpin.relay.published.removed_entries import RemovedEntries

# An entry may expire during an outage of the source and is written again within about 2 s of its
# return; entries that are missing for longer are removed.
RELIST_GRACE_SECONDS = 2.4
# A longer gap between reads counts as an outage of the source.
OUTAGE_SECONDS = 3.0
# Bounds the start times kept to reject late entries of earlier lives.
MAX_KNOWN_LIVES = 10_000
# Bounds the versions that this release can't decode while a later one is rolled out.
MAX_REJECTED = 8


class Decoder(Protocol):
    """Decodes published values; raises ValueError for invalid ones."""

    def configuration(self, value: bytes) -> RelayConfiguration:
        """Decode a configuration."""

    def upstream(self, key: str, value: bytes) -> ListedUpstream:
        """Decode an entry of the list."""


@dataclass(frozen=True, slots=True)
class ListChange:
    """The upstreams to use after a change, and the ids removed."""

    listed: tuple[ListedUpstream, ...]
    removed_ids: tuple[str, ...]


def compute_tag(items: Sequence[PublishedItem]) -> int:
    """A hash that is equal for equal lists of one epoch."""
    text = ",".join(f"{item.key}@{item.revision}" for item in items)
    epoch = items[0].epoch if items else 0
    return xxhash.xxh64_intdigest((f"{epoch}:{text}" if epoch else text).encode())


class Publication:
    """Applies published values; only a higher version replaces the one in force."""

    def __init__(
        self,
        decoder: Decoder,
        on_configuration: Callable[[RelayConfiguration], None],
        on_list: Callable[[ListChange], None],
        on_rejected: Callable[[DocumentKind, str, str], None],
        on_report: Callable[[Report], None] = lambda report: None,
        prefer_peers_until: float = 0.0,
    ) -> None:
        """Until prefer_peers_until a first configuration from the source waits for a peer."""
        self._decoder = decoder
        self._on_configuration = on_configuration
        self._on_list = on_list
        self._on_rejected = on_rejected
        self._on_report = on_report
        self._prefer_peers_until = prefer_peers_until
        # The highest seen; 0 while the source names none.
        self.epoch = 0
        self.configuration: RelayConfiguration | None = None
        self.in_force = NOTHING_PUBLISHED
        self.recent_configurations = RecentDocuments()
        self.recent_lists = RecentDocuments()
        self.proof: Proof | None = None
        self._cache = ConfigurationCache(
            decoder.configuration,
            lambda key, reason: on_rejected(DocumentKind.CONFIGURATION, key, reason),
        )
        self._ignored: PublishedVersion | None = None
        self._announced = AnnouncedVersions()
        self._rejected: deque[PublishedVersion] = deque(maxlen=MAX_REJECTED)
        self.peers_seen = False
        # A first configuration that waits for peers, and the time its read was sent.
        self._pending: tuple[PublishedItem, float] | None = None
        # When a newer version was first announced before the one in force was applied.
        self.newer_seen_at: float | None = None
        self.list_tag = 0
        self.list_epoch = 0
        self.list_at: float | None = None
        # When the list before the one in use was last confirmed.
        self.previous_list_at: float | None = None
        self._listed_by_key: dict[str, ListedUpstream] = {}
        # Epoch and revision of the last entry processed.
        self._position_by_key: dict[str, tuple[int, int]] = {}
        self._missing: set[str] = set()
        self._removed: RemovedEntries | None = None
        self._withdrawn_ids: list[str] = []
        # The start of the latest life of each key.
        self._born_by_key: OrderedDict[str, int] = OrderedDict()
        # Services named by any configuration so far.
        self._named_services: set[str] = set()
        self._unnamed_by_key: dict[str, tuple[int, int]] = {}
        self._grace_until = 0.0

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.in_force.revision

    def receive_epoch(self, epoch: int, source: str) -> None:
        """Record an epoch named by the source or a peer."""
        if epoch > self.epoch:
            change = EpochChange(self.epoch, epoch, source)
            self.epoch = epoch
            self._on_report(change)

    def receive_peer_version(self, version: PublishedVersion, now: float) -> bool:
        """Record a peer's version; True for the first announcement of a newer one."""
        self.peers_seen = True
        return self.accepts(version) and self._announced.record(version, now)

    def accepts(self, version: PublishedVersion) -> bool:
        """Whether a version is newer than the one in force and not rejected."""
        return version.is_newer_than(self.in_force) and version not in self._rejected

    def reject(self, version: PublishedVersion) -> None:
        """Reject an announced version whose document can't be decoded here."""
        self._rejected.append(version)
        self._announced.remove(version)

    def count_upstreams(self) -> int:
        """The number of listed upstreams."""
        return len(self._listed_by_key)

    def behind_seconds(self, now: float) -> float:
        """See AnnouncedVersions; 0 if none is newer."""
        return self._announced.behind_seconds(now)

    def apply_configuration(
        self, item: PublishedItem, read_at: float | None, now: float, from_peer: bool = False
    ) -> PublishedVersion | None:
        """Apply a configuration if it is newer; returns its version, None if invalid.

        read_at is when its linearizable read was sent, None if that proves nothing.
        """
        version = self._cache.version_of(item)
        if version is None:
            return None
        if not version.is_newer_than(self.in_force):
            self._ignore(item, version)
        elif from_peer or not self._waits_for_peers(version, now):
            self._replace(item, version)
        else:
            self._pending = (item, now if read_at is None else read_at)
            return version
        if read_at is not None:
            self.receive_proof(Proof(version, read_at))
        return version

    def receive_proof(self, proof: Proof) -> None:
        """Keep a later proof if it confirms the version in force."""
        if proof.confirms(self.in_force):
            self.proof = later_proof(self.proof, proof)

    def _waits_for_peers(self, version: PublishedVersion, now: float) -> bool:
        """Whether a first configuration waits: a restored source may be behind the peers."""
        if self.configuration is not None:
            return False
        is_early = now < self._prefer_peers_until and not self.peers_seen
        return is_early or self._announced.has_newer_than(version, now)

    def _ignore(self, item: PublishedItem, version: PublishedVersion) -> None:
        if version.content == self.in_force.content:
            self._update_position(item, version)
        elif version != self._ignored:
            self._ignored = version
            self._on_report(version)

    def _update_position(self, item: PublishedItem, version: PublishedVersion) -> None:
        position = version.epoch, version.revision
        if position > (self.in_force.epoch, self.in_force.revision):
            self.in_force = version
            self._announced.drop_older(version)
            self.recent_configurations.add(encode_configuration(item))

    def _replace(self, item: PublishedItem, version: PublishedVersion) -> None:
        configuration = self._cache.decode(item, version.content)
        self.newer_seen_at = self._announced.first_seen_at
        self.in_force = version
        self._announced.drop_older(version)
        self.recent_configurations.add(encode_configuration(item))
        self.configuration = configuration
        self._on_configuration(configuration)
        self._add_services(configuration)

    def _add_services(self, configuration: RelayConfiguration) -> None:
        before = len(self._named_services)
        self._named_services |= configuration.services_by_name.keys()
        if len(self._named_services) > before and self.list_at is not None:
            self._on_list(ListChange(self._usable(), ()))

    def apply_list(
        self, items: Sequence[PublishedItem], at: float, now: float, epoch: int = 0
    ) -> None:
        """Apply a list; at: when its read was sent, by this process's clock."""
        if self.list_at is not None and self._is_outdated(epoch, at):
            return
        self._extend_grace(epoch, at, now)
        self.previous_list_at = self.list_at
        self.list_at = at
        self.list_epoch = epoch
        tag = compute_tag(items)
        if tag != self.list_tag:
            self._apply_items(items, epoch)
            self.recent_lists.add(encode_list(items, tag))
            self.list_tag = tag
            self._report_list(now)
        self.apply_pending(now)

    def _is_outdated(self, epoch: int, at: float) -> bool:
        return epoch < self.epoch or (epoch, at) < (self.list_epoch, self.list_at)

    def _extend_grace(self, epoch: int, at: float, now: float) -> None:
        """Allow time for entries to be listed again after an outage or a restore."""
        if self.list_at is None:
            return
        if at - self.list_at > OUTAGE_SECONDS or epoch > self.list_epoch:
            self._grace_until = now + RELIST_GRACE_SECONDS

    def confirm_list(self, at: float) -> None:
        """Record that a peer read the same list at a later time."""
        if self.list_at is not None and at > self.list_at:
            if at - self.list_at > OUTAGE_SECONDS:
                self._grace_until = at + RELIST_GRACE_SECONDS
            self.list_at = at

    def apply_pending(self, now: float) -> None:
        """Remove entries missing after the grace period; apply a configuration that waited."""
        if self._missing and now >= self._grace_until:
            self._report_list(now)
        if self._pending is not None:
            item, read_at = self._pending
            self._pending = None
            self.apply_configuration(item, read_at, now)

    def _apply_items(self, items: Sequence[PublishedItem], epoch: int) -> None:
        older: list[str] = []
        removed: list[str] = []
        for item in items:
            position = item.epoch, item.revision
            known = self._position_by_key.get(item.key)
            if known == position:
                continue
            self._position_by_key[item.key] = position
            try:
                entry = self._decode_entry(item)
            except ValueError as error:
                self._on_rejected(DocumentKind.UPSTREAMS, item.key, str(error))
                continue
            if self._removed is not None and self._removed.is_restored_copy(item.key, entry, epoch):
                removed.append(item.key)
            elif known is not None and known[0] < epoch and self._is_older(item.key, entry):
                older.append(item.key)
            else:
                self._add_entry(item.key, entry)
        if older or removed:
            self._on_report(IgnoredEntries(epoch, len(older), len(removed)))
        self._drop_absent({item.key for item in items})

    def _record_removed(self, key: str, entry: ListedUpstream) -> None:
        if self._removed is None:
            from pondpin.relay.published.removed_entries import RemovedEntries

            self._removed = RemovedEntries()
        self._removed.record(key, entry, self.list_epoch)

    def _drop_absent(self, present: set[str]) -> None:
        self._missing = self._listed_by_key.keys() - present
        self._position_by_key = {
            key: position
            for key, position in self._position_by_key.items()
            if key in present or key in self._listed_by_key
        }

    def _is_older(self, key: str, entry: ListedUpstream) -> bool:
        used = self._listed_by_key.get(key)
        return used is not None and used.born == entry.born and entry.sequence < used.sequence

    def _decode_entry(self, item: PublishedItem) -> ListedUpstream:
        """Decode a changed entry; raises ValueError if it can't be used.

        An entry of an earlier life doesn't affect the later life's entry. Any other invalid entry
        comes from another writer and withdraws its key's upstream until it is corrected.
        """
        born = self._born_by_key.get(item.key)
        try:
            entry = self._decoder.upstream(item.key, item.value)
            if entry.born is None and born is not None:
                raise ValueError("no start time of its life, unlike before")
        except ValueError:
            self._withdraw(item.key)
            raise
        if starts_before(entry.born, born):
            raise ValueError(f"an earlier life: started at {entry.born}, latest is {born}")
        return entry

    def _add_entry(self, key: str, entry: ListedUpstream) -> None:
        if entry.service not in self._named_services:
            # Not usable until a configuration names its service.
            self._withdraw(key)
        if self._removed is not None:
            self._removed.discard(key)
        self._listed_by_key[key] = entry
        if entry.born is not None:
            self._record_born(key, entry.born)

    def _withdraw(self, key: str) -> None:
        withdrawn = self._listed_by_key.pop(key, None)
        if withdrawn is not None:
            self._withdrawn_ids.append(withdrawn.id)

    def _record_born(self, key: str, born: int) -> None:
        self._born_by_key[key] = born
        self._born_by_key.move_to_end(key)
        while len(self._born_by_key) > MAX_KNOWN_LIVES:
            self._born_by_key.popitem(last=False)

    def _usable(self) -> tuple[ListedUpstream, ...]:
        usable = []
        for key, entry in self._listed_by_key.items():
            if entry.service in self._named_services:
                usable.append(entry)
            elif self.configuration is not None:
                self._reject_unnamed(key, entry)
        return tuple(usable)

    def _reject_unnamed(self, key: str, entry: ListedUpstream) -> None:
        position = self._position_by_key.get(key, (0, 0))
        if self._unnamed_by_key.get(key) == position:
            return
        self._unnamed_by_key[key] = position
        reason = f"no configuration names its service {entry.service!r}"
        self._on_rejected(DocumentKind.UPSTREAMS, key, reason)

    def _report_list(self, now: float) -> None:
        removed_ids, self._withdrawn_ids = self._withdrawn_ids, []
        if now >= self._grace_until:
            for key in self._missing:
                entry = self._listed_by_key.pop(key)
                removed_ids.append(entry.id)
                self._record_removed(key, entry)
                self._position_by_key.pop(key, None)
                self._unnamed_by_key.pop(key, None)
            self._missing = set()
        self._on_list(ListChange(self._usable(), tuple(removed_ids)))
