"""The published configuration and list of upstreams in force, with proofs of freshness.

The source counts revisions in epochs: after it is restored from an older copy a new epoch begins
and revisions are given out again. So what is newer is decided by the operator's version, and what
is the same by epoch and revision together, or by the content.
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

# An entry may lapse while the source is away, and is written again within about two seconds of its
# return: only what is missing for longer is gone.
RELIST_GRACE_SECONDS = 2.4
# A gap between reads that is longer than this counts as an absence of the source.
OUTAGE_SECONDS = 3.0
# Starts of lives that are remembered, so that a late entry doesn't bring an earlier life back.
KEPT_STARTS = 10_000
# Versions that can't be decoded here, of a later release while it is rolled out.
KEPT_REFUSED = 8


class Decoder(Protocol):
    """Turns published values into the product's types; raises ValueError for a bad one."""

    def configuration(self, value: bytes) -> RelayConfiguration:
        """Decode a configuration."""
        ...

    def upstream(self, key: str, value: bytes) -> ListedUpstream:
        """Decode an entry of the list."""
        ...


@dataclass(frozen=True, slots=True)
class ListChange:
    """What a reading of the list changed: the upstreams to use, and ids that are none any more."""

    listed: tuple[ListedUpstream, ...]
    removed_ids: tuple[str, ...]


def tag_of(items: Sequence[PublishedItem]) -> int:
    """A number that is alike for like lists of one epoch."""
    text = ",".join(f"{item.key}@{item.revision}" for item in items)
    epoch = items[0].epoch if items else 0
    return xxhash.xxh64_intdigest((f"{epoch}:{text}" if epoch else text).encode())


class Publication:
    """Takes published values; a version in force is only ever replaced by a higher one."""

    def __init__(
        self,
        decoder: Decoder,
        on_configuration: Callable[[RelayConfiguration], None],
        on_list: Callable[[ListChange], None],
        on_refused: Callable[[DocumentKind, str, str], None],
        on_report: Callable[[Report], None] = lambda report: None,
        prefer_peers_until: float = 0.0,
    ) -> None:
        """peers_first_until: until then a first configuration of the source waits for a peer."""
        self._decoder = decoder
        self._on_configuration = on_configuration
        self._on_list = on_list
        self._on_refused = on_refused
        self._on_report = on_report
        self._prefer_peers_until = prefer_peers_until
        # The highest epoch heard of; 0 while the source names none.
        self.epoch = 0
        self.configuration: RelayConfiguration | None = None
        self.in_force = NOTHING_PUBLISHED
        self.recent_configurations = RecentDocuments()
        self.recent_lists = RecentDocuments()
        self.proof: Proof | None = None
        self._contents = ConfigurationCache(
            decoder.configuration,
            lambda key, reason: on_refused(DocumentKind.CONFIGURATION, key, reason),
        )
        self._left_out: PublishedVersion | None = None
        self._told = AnnouncedVersions()
        self._refused: deque[PublishedVersion] = deque(maxlen=KEPT_REFUSED)
        self.peers_seen = False
        # A first configuration that waits for peers, and when its read was sent.
        self._waiting: tuple[PublishedItem, float] | None = None
        # When the first word of a newer one came, at the moment the one in force was taken.
        self.newer_seen_at: float | None = None
        self.list_tag = 0
        self.list_epoch = 0
        self.list_at: float | None = None
        self._listed_by_key: dict[str, ListedUpstream] = {}
        # Epoch and revision of the last entry that was looked at.
        self._place_by_key: dict[str, tuple[int, int]] = {}
        self._missing: set[str] = set()
        # Loaded with the first entry that is given up.
        self._gone: RemovedEntries | None = None
        # Ids whose entry can't be used any more.
        self._withdrawn: list[str] = []
        # The start of the latest life that was seen under a key.
        self._born_by_key: OrderedDict[str, int] = OrderedDict()
        # Services that some configuration has named.
        self._named_services: set[str] = set()
        self._unnamed_place_by_key: dict[str, tuple[int, int]] = {}
        self._relist_until = 0.0

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.in_force.revision

    def receive_epoch(self, epoch: int, source: str) -> None:
        """An answer of the source, or a peer, names an epoch."""
        if epoch > self.epoch:
            change = EpochChange(self.epoch, epoch, source)
            self.epoch = epoch
            self._on_report(change)

    def receive_peer_version(self, told: PublishedVersion, now: float) -> bool:
        """A peer has a version in force; True when that is news of a newer one."""
        self.peers_seen = True
        return self.accepts(told) and self._told.record(told, now)

    def accepts(self, version: PublishedVersion) -> bool:
        """Whether a version is newer than the one in force, and not known to be unsound."""
        return version.is_newer_than(self.in_force) and version not in self._refused

    def reject(self, version: PublishedVersion) -> None:
        """The document of a version that a peer told can't be decoded here."""
        self._refused.append(version)
        self._told.remove(version)

    def count_upstreams(self) -> int:
        """How many upstreams the list in use holds."""
        return len(self._listed_by_key)

    def behind_seconds(self, now: float) -> float:
        """For how long a newer configuration is known of that a peer still has; 0 without one."""
        return self._told.behind_seconds(now)

    def apply_configuration(
        self, item: PublishedItem, read_at: float | None, now: float, from_peer: bool = False
    ) -> PublishedVersion | None:
        """Take a configuration if it is newer and sound; returns its version, None if unsound.

        read_at: when the linearizable read that found it was sent, None where it proves nothing.
        """
        found = self._contents.version_of(item)
        if found is None:
            return None
        if not found.is_newer_than(self.in_force):
            self._leave_out(item, found)
        elif from_peer or not self._waits_for_peers(found, now):
            self._replace(item, found)
        else:
            self._waiting = (item, now if read_at is None else read_at)
            return found
        if read_at is not None:
            self.receive_proof(Proof(found, read_at))
        return found

    def receive_proof(self, proof: Proof) -> None:
        """This instance or a peer found out which version is the newest."""
        if proof.confirms(self.in_force):
            self.proof = later_proof(self.proof, proof)

    def _waits_for_peers(self, found: PublishedVersion, now: float) -> bool:
        """Whether a first configuration waits: the source may hold an older copy, and peers the
        newer version.
        """
        if self.configuration is not None:
            return False
        is_early = now < self._prefer_peers_until and not self.peers_seen
        return is_early or self._told.has_newer_than(found, now)

    def _leave_out(self, item: PublishedItem, found: PublishedVersion) -> None:
        """Keep the version in force, which is no older; the source's copy is behind."""
        if found.content == self.in_force.content:
            self._move(item, found)
        elif found != self._left_out:
            self._left_out = found
            self._on_report(found)

    def _move(self, item: PublishedItem, found: PublishedVersion) -> None:
        """The version in force was read in a later epoch, or under a later revision."""
        place = found.epoch, found.revision
        if place > (self.in_force.epoch, self.in_force.revision):
            self.in_force = found
            self._told.drop_older(found)
            self.recent_configurations.add(encode_configuration(item))

    def _replace(self, item: PublishedItem, found: PublishedVersion) -> None:
        configuration = self._contents.decode(item, found.content)
        self.newer_seen_at = self._told.first_seen_at
        self.in_force = found
        self._told.drop_older(found)
        self.recent_configurations.add(encode_configuration(item))
        self.configuration = configuration
        self._on_configuration(configuration)
        self._note_services(configuration)

    def _note_services(self, configuration: RelayConfiguration) -> None:
        """Upstreams of a service that is named for the first time can be used now."""
        known = len(self._named_services)
        self._named_services |= configuration.services_by_name.keys()
        if len(self._named_services) > known and self.list_at is not None:
            self._on_list(ListChange(self._usable(), ()))

    def apply_list(
        self, items: Sequence[PublishedItem], at: float, now: float, epoch: int = 0
    ) -> None:
        """Take the list as it was in an epoch, at a moment of this process's clock."""
        if self.list_at is not None and self._is_earlier(epoch, at):
            return
        self._extend_window(epoch, at, now)
        self.list_at = at
        self.list_epoch = epoch
        tag = tag_of(items)
        if tag != self.list_tag:
            self._take_items(items, epoch)
            self.recent_lists.add(encode_list(items, tag))
            self.list_tag = tag
            self._report(now)
        self.apply_pending(now)

    def _is_earlier(self, epoch: int, at: float) -> bool:
        """Whether a list is of an epoch that is over, or was read before the one in use."""
        return epoch < self.epoch or (epoch, at) < (self.list_epoch, self.list_at)

    def _extend_window(self, epoch: int, at: float, now: float) -> None:
        """After an absence of the source, or a restore, entries have time to come back."""
        if self.list_at is None:
            return
        if at - self.list_at > OUTAGE_SECONDS or epoch > self.list_epoch:
            self._relist_until = now + RELIST_GRACE_SECONDS

    def confirm_list(self, at: float) -> None:
        """A peer found the list unchanged at a later moment."""
        if self.list_at is not None and at > self.list_at:
            if at - self.list_at > OUTAGE_SECONDS:
                self._relist_until = at + RELIST_GRACE_SECONDS
            self.list_at = at

    def apply_pending(self, now: float) -> None:
        """Give up entries that stayed missing, and take a configuration that waited for peers."""
        if self._missing and now >= self._relist_until:
            self._report(now)
        if self._waiting is not None:
            item, read_at = self._waiting
            self._waiting = None
            self.apply_configuration(item, read_at, now)

    def _take_items(self, items: Sequence[PublishedItem], epoch: int) -> None:
        older: list[str] = []
        gone: list[str] = []
        for item in items:
            place = item.epoch, item.revision
            known = self._place_by_key.get(item.key)
            if known == place:
                continue
            self._place_by_key[item.key] = place
            try:
                entry = self._decode_entry(item)
            except ValueError as error:
                self._on_refused(DocumentKind.UPSTREAMS, item.key, str(error))
                continue
            if self._gone is not None and self._gone.is_restored_copy(item.key, entry, epoch):
                gone.append(item.key)
            elif known is not None and known[0] < epoch and self._is_older(item.key, entry):
                older.append(item.key)
            else:
                self._list_entry(item.key, entry)
        if older or gone:
            self._on_report(IgnoredEntries(epoch, len(older), len(gone)))
        self._drop_absent({item.key for item in items})

    def _record_gone(self, key: str, entry: ListedUpstream) -> None:
        if self._gone is None:
            from pondpin.relay.published.removed_entries import RemovedEntries

            self._gone = RemovedEntries()
        self._gone.record(key, entry, self.list_epoch)

    def _drop_absent(self, present: set[str]) -> None:
        self._missing = self._listed_by_key.keys() - present
        self._place_by_key = {
            key: place
            for key, place in self._place_by_key.items()
            if key in present or key in self._listed_by_key
        }

    def _is_older(self, key: str, entry: ListedUpstream) -> bool:
        """Whether an entry was written before the one in use, by the same life."""
        used = self._listed_by_key.get(key)
        return used is not None and used.born == entry.born and entry.sequence < used.sequence

    def _decode_entry(self, item: PublishedItem) -> ListedUpstream:
        """Decode an entry that changed; raises ValueError for one that isn't used.

        An earlier life's entry leaves the later one's in force; any other bad one is another
        writer's, and until it is put right its key names no upstream.
        """
        born = self._born_by_key.get(item.key)
        try:
            entry = self._decoder.upstream(item.key, item.value)
            if entry.born is None and born is not None:
                raise ValueError("it doesn't say when its life began, as it did before")
        except ValueError:
            self._withdraw(item.key)
            raise
        if starts_before(entry.born, born):
            raise ValueError(f"an earlier life: {entry.born}, and {born} is known")
        return entry

    def _list_entry(self, key: str, entry: ListedUpstream) -> None:
        if entry.service not in self._named_services:
            # It waits for a configuration that names its service.
            self._withdraw(key)
        if self._gone is not None:
            self._gone.discard(key)
        self._listed_by_key[key] = entry
        if entry.born is not None:
            self._note_born(key, entry.born)

    def _withdraw(self, key: str) -> None:
        """What was listed under a key is no upstream to use any more."""
        withdrawn = self._listed_by_key.pop(key, None)
        if withdrawn is not None:
            self._withdrawn.append(withdrawn.id)

    def _note_born(self, key: str, born: int) -> None:
        self._born_by_key[key] = born
        self._born_by_key.move_to_end(key)
        while len(self._born_by_key) > KEPT_STARTS:
            self._born_by_key.popitem(last=False)

    def _usable(self) -> tuple[ListedUpstream, ...]:
        """The listed upstreams whose service has been named."""
        found = []
        for key, entry in self._listed_by_key.items():
            if entry.service in self._named_services:
                found.append(entry)
            elif self.configuration is not None:
                self._note_unnamed(key, entry)
        return tuple(found)

    def _note_unnamed(self, key: str, entry: ListedUpstream) -> None:
        place = self._place_by_key.get(key, (0, 0))
        if self._unnamed_place_by_key.get(key) == place:
            return
        self._unnamed_place_by_key[key] = place
        reason = f"no configuration names its service {entry.service!r}"
        self._on_refused(DocumentKind.UPSTREAMS, key, reason)

    def _report(self, now: float) -> None:
        gone, self._withdrawn = self._withdrawn, []
        if now >= self._relist_until:
            for key in self._missing:
                entry = self._listed_by_key.pop(key)
                gone.append(entry.id)
                self._record_gone(key, entry)
                self._place_by_key.pop(key, None)
                self._unnamed_place_by_key.pop(key, None)
            self._missing = set()
        self._on_list(ListChange(self._usable(), tuple(gone)))
