"""The published configuration and list of upstreams in force, with proofs of freshness."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

from pondpin.relay.model import ListedUpstream, RelayConfiguration, starts_before
from pondpin.relay.published.documents import (
    DocumentKind,
    KeptVersions,
    PublishedItem,
    encode_configuration,
    encode_list,
)
from pondpin.relay.published.freshness import Proof, later

# An upstream's entry may lapse while the list's source is away and is written again within
# about two seconds of its return: only what is missing for longer is gone.
RELIST_SECONDS = 2.4
# A gap between reads that is longer than this counts as an absence of the source.
ABSENCE_SECONDS = 3.0
# A newer configuration can be had while a peer tells of it; in a large fleet a neighbour is
# heard every two seconds.
NEWER_COUNTS_SECONDS = 2.5
# Starts of lives that are remembered when their entries are gone: an entry that comes late, from
# the source or a peer, must not bring an earlier life back. Ten times the upstreams of the
# largest fleet.
KEPT_STARTS = 10_000


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
    missing: tuple[str, ...]


def tag_of(items: Sequence[PublishedItem]) -> int:
    """A number that is alike for like lists."""
    text = ",".join(f"{item.key}@{item.revision}" for item in items)
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class Newer:
    """When peers first and last told of a newer configuration."""

    first_at: float
    last_at: float


class Publication:
    """Takes published values; a version in force is only ever replaced by a higher one."""

    def __init__(
        self,
        decoder: Decoder,
        on_configuration: Callable[[RelayConfiguration], None],
        on_list: Callable[[ListChange], None],
        on_refused: Callable[[DocumentKind, str, str], None],
    ) -> None:
        self._decoder = decoder
        self._on_configuration = on_configuration
        self._on_list = on_list
        self._on_refused = on_refused
        self.configuration: RelayConfiguration | None = None
        self.revision = 0
        self.kept_configurations = KeptVersions()
        self.kept_lists = KeptVersions()
        self.proof: Proof | None = None
        self.refused_revision = 0
        self._newer_by_revision: dict[int, Newer] = {}
        # When the first word of a newer one came, at the moment the one in force was taken.
        self.newer_heard_at: float | None = None
        self.list_tag = 0
        self.list_at: float | None = None
        self._listed_by_key: dict[str, ListedUpstream] = {}
        self._revision_by_key: dict[str, int] = {}
        self._missing: set[str] = set()
        # Ids whose entry became one that can't be used.
        self._withdrawn: list[str] = []
        # The start of the latest life that was seen under a key.
        self._born_by_key: OrderedDict[str, int] = OrderedDict()
        # Services that some configuration has named; others' upstreams aren't used.
        self._named_services: set[str] = set()
        self._unnamed_revision_by_key: dict[str, int] = {}
        self._relist_until = 0.0

    @property
    def seen_revision(self) -> int:
        """The highest revision looked at, in force or refused."""
        return max(self.revision, self.refused_revision)

    def note_newer(self, revision: int, now: float) -> bool:
        """A peer has a newer revision; True when this is the first word of it."""
        if revision <= self.seen_revision:
            return False
        known = self._newer_by_revision.get(revision)
        first_at = now if known is None else known.first_at
        self._newer_by_revision[revision] = Newer(first_at, now)
        return known is None

    def behind_seconds(self, now: float) -> float:
        """For how long a newer configuration is known of that a peer still has; 0 without one."""
        firsts = [
            newer.first_at
            for revision, newer in self._newer_by_revision.items()
            if revision > self.seen_revision and now - newer.last_at < NEWER_COUNTS_SECONDS
        ]
        return max(0.0, now - min(firsts, default=now))

    def offer_configuration(self, item: PublishedItem, proof: Proof | None) -> None:
        """Take a configuration if it is newer and sound; note the proof of its revision."""
        if item.revision > self.seen_revision:
            self._replace(item)
        if proof is not None and proof.revision == self.revision:
            self.proof = later(self.proof, proof)

    def note_proof(self, proof: Proof) -> None:
        """A peer proved a revision; it counts here once that revision is in force."""
        if proof.revision == self.revision:
            self.proof = later(self.proof, proof)

    def _replace(self, item: PublishedItem) -> None:
        try:
            configuration = self._decoder.configuration(item.value)
        except ValueError as error:
            self.refused_revision = item.revision
            self._on_refused(DocumentKind.CONFIGURATION, item.key, str(error))
            return
        if self.configuration is not None and configuration.version < self.configuration.version:
            reason = f"version {configuration.version} is not newer"
            self._on_refused(DocumentKind.CONFIGURATION, item.key, reason)
            return
        firsts = (newer.first_at for newer in self._newer_by_revision.values())
        self.newer_heard_at = min(firsts, default=None)
        self._newer_by_revision = {
            revision: newer
            for revision, newer in self._newer_by_revision.items()
            if revision > item.revision
        }
        self.kept_configurations.keep(encode_configuration(item))
        self.revision = item.revision
        self.configuration = configuration
        self._on_configuration(configuration)
        self._note_services(configuration)

    def _note_services(self, configuration: RelayConfiguration) -> None:
        """Upstreams of a service that is named for the first time can be used now."""
        known = len(self._named_services)
        self._named_services |= configuration.services_by_name.keys()
        if len(self._named_services) > known and self.list_at is not None:
            self._on_list(ListChange(self._usable(), ()))

    def offer_list(self, items: Sequence[PublishedItem], at: float, now: float) -> None:
        """Take the list as it was at a moment of this process's clock."""
        if self.list_at is not None and at < self.list_at:
            return
        if self.list_at is not None and at - self.list_at > ABSENCE_SECONDS:
            self._relist_until = now + RELIST_SECONDS
        self.list_at = at
        tag = tag_of(items)
        if tag != self.list_tag:
            self._take_items(items)
            self.kept_lists.keep(encode_list(items, tag))
            self.list_tag = tag
            self._report(now)
        self.settle(now)

    def note_list_current(self, at: float) -> None:
        """A peer found the list unchanged at a later moment."""
        if self.list_at is not None and at > self.list_at:
            if at - self.list_at > ABSENCE_SECONDS:
                self._relist_until = at + RELIST_SECONDS
            self.list_at = at

    def settle(self, now: float) -> None:
        """Give up entries that stayed missing after the source's return."""
        if self._missing and now >= self._relist_until:
            self._report(now)

    def _take_items(self, items: Sequence[PublishedItem]) -> None:
        present = {item.key for item in items}
        for item in items:
            if self._revision_by_key.get(item.key) == item.revision:
                continue
            self._revision_by_key[item.key] = item.revision
            try:
                self._take_entry(item)
            except ValueError as error:
                self._on_refused(DocumentKind.UPSTREAMS, item.key, str(error))
        self._missing = self._listed_by_key.keys() - present
        self._revision_by_key = {
            key: revision
            for key, revision in self._revision_by_key.items()
            if key in present or key in self._listed_by_key
        }

    def _take_entry(self, item: PublishedItem) -> None:
        """Take an entry that changed; raises ValueError for one that isn't taken.

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
        if entry.service not in self._named_services:
            # It waits for a configuration that names its service.
            self._withdraw(item.key)
        self._listed_by_key[item.key] = entry
        if entry.born is not None:
            self._note_born(item.key, entry.born)

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
        revision = self._revision_by_key.get(key, 0)
        if self._unnamed_revision_by_key.get(key) == revision:
            return
        self._unnamed_revision_by_key[key] = revision
        reason = f"no configuration names its service {entry.service!r}"
        self._on_refused(DocumentKind.UPSTREAMS, key, reason)

    def _report(self, now: float) -> None:
        gone, self._withdrawn = self._withdrawn, []
        if now >= self._relist_until:
            for key in self._missing:
                gone.append(self._listed_by_key.pop(key).id)
                self._revision_by_key.pop(key, None)
                self._unnamed_revision_by_key.pop(key, None)
            self._missing = set()
        self._on_list(ListChange(self._usable(), tuple(gone)))
