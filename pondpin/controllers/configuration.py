"""Holds the configuration in force, which only a newer valid one replaces.

The operators' version decides which is newer if both documents have one, otherwise the position in
the platform's history, see `pondpin.positions`.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from absl import logging

from pondpin.calls import Snapshot
from pondpin.configuration import Configuration, decode_configuration
from pondpin.controllers.base import Controller
from pondpin.errors import InvalidFileError
from pondpin.http_streams import CallFailedError
from pondpin.invariants import INVARIANTS
from pondpin.metrics import Metrics
from pondpin.platform_client import PlatformPort
from pondpin.positions import epoch_of, revision_of

MAX_DOCUMENT_BYTES = 1 << 20
# A restored platform may publish a document that was in force several changes ago.
MAX_RECENT_HASHES = 64


@dataclass(frozen=True, slots=True)
class RejectedRevision:
    """A revision (as a position) that failed validation, with its numbered faults."""

    revision: int
    faults: str


class ConfigurationStore:
    """The configuration in force, and the lowest revision that may replace it."""

    def __init__(self, metrics: Metrics, on_change: Callable[[Snapshot], None]) -> None:
        self._metrics = metrics
        self._on_change = on_change
        self.snapshot: Snapshot | None = None
        self.document = b""
        self.floor = 0
        self.rejected: RejectedRevision | None = None
        # The last position ignored because a restored platform published an older document there.
        self.ignored_position = 0
        # Hashes of the documents that were in force; the last one is in force now.
        self._recent_hashes: deque[int] = deque(maxlen=MAX_RECENT_HASHES)

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.snapshot.revision if self.snapshot is not None else 0

    @property
    def seen_revision(self) -> int:
        """The highest revision processed: in force, rejected or ignored."""
        rejected = self.rejected.revision if self.rejected is not None else 0
        return max(self.revision, rejected, self.ignored_position)

    def raise_floor(self, revision: int) -> None:
        """Record that a peer, fence or token proves this revision was in force."""
        self.floor = max(self.floor, revision)

    def apply(self, revision: int, document: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer and valid; returns whether it is."""
        result = self._check_and_apply(revision, document)
        self._metrics.configurations.inc({"source": source, "result": result})
        return result == "taken"

    def _check_and_apply(self, revision: int, document: bytes) -> str:
        if revision <= self.seen_revision:
            return "not newer"
        if revision < self.floor:
            return "under the floor"
        try:
            if len(document) > MAX_DOCUMENT_BYTES:
                raise ValueError(f"more than {MAX_DOCUMENT_BYTES} bytes")
            configuration = decode_configuration(document, f"revision {revision}")
        except (InvalidFileError, ValueError) as error:
            faults = error.numbered() if isinstance(error, InvalidFileError) else str(error)
            self.rejected = RejectedRevision(revision, faults)
            logging.warning("revision %d rejected:\n%s", revision, faults)
            return "refused"
        content_hash = xxhash.xxh64_intdigest(document)
        if self._is_older(configuration, content_hash, revision):
            self._ignore(revision)
            return "left out"
        self._recent_hashes.append(content_hash)
        self._put_in_force(Snapshot(revision, configuration), document)
        return "taken"

    def _is_older(self, configuration: Configuration, content_hash: int, revision: int) -> bool:
        """Whether a document at a later position is older than the one in force."""
        if self.snapshot is None:
            return False
        current_version = self.snapshot.configuration.version
        if current_version and configuration.version:
            return configuration.version < current_version
        # Without versions, an epoch's first document is the backup's if it was in force here.
        is_first = epoch_of(revision) > epoch_of(max(self.revision, self.ignored_position))
        return is_first and content_hash in list(self._recent_hashes)[:-1]

    def _ignore(self, revision: int) -> None:
        self.ignored_position = revision
        logging.warning(
            "epoch %d revision %d ignored: older than epoch %d revision %d in force",
            epoch_of(revision),
            revision_of(revision),
            epoch_of(self.revision),
            revision_of(self.revision),
        )

    def _put_in_force(self, snapshot: Snapshot, document: bytes) -> None:
        INVARIANTS.check(
            snapshot.revision > self.revision, "revision_only_rises", f"{snapshot.revision}"
        )
        self.snapshot = snapshot
        self.document = document
        self.raise_floor(snapshot.revision)
        self._metrics.revision.set({}, revision_of(snapshot.revision))
        self._metrics.source_epoch.set({}, epoch_of(snapshot.revision))
        logging.info(
            "epoch %d revision %d in force",
            epoch_of(snapshot.revision),
            revision_of(snapshot.revision),
        )
        self._on_change(snapshot)

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self.snapshot.configuration if self.snapshot is not None else None


class ConfigurationController(Controller):
    """Watches the platform for new configurations."""

    def __init__(
        self,
        store: ConfigurationStore,
        platform: PlatformPort,
        watch_seconds: float,
        retry_seconds: float,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.period = 0.0
        self._store = store
        self._platform = platform
        self._watch_seconds = watch_seconds
        self._retry_seconds = retry_seconds
        self._random = rng
        self.platform_reachable = False

    async def step(self) -> None:
        """Watch once; after a failure the next watch waits 0.5 to 1.5 times the retry time."""
        # The first read doesn't wait, so that platform_reachable is known early.
        wait_seconds = self._watch_seconds if self.platform_reachable else 0.0
        try:
            published = await self._platform.watch(self._store.seen_revision, wait_seconds)
        except CallFailedError as error:
            if self.platform_reachable:
                logging.warning("platform unreachable: %s", error)
            self.platform_reachable = False
            self.period = self._retry_seconds * (0.5 + self._random.random())
            return
        if not self.platform_reachable:
            logging.info("platform reachable")
        self.platform_reachable = True
        self.period = 0.0
        if published is not None and not self._store.apply(
            published.position, published.document, "platform"
        ):
            # Don't poll a platform that serves an old value in a tight loop.
            self.period = self._retry_seconds
