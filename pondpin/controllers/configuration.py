"""Keeps the configuration in force: only a newer one that passes the check replaces it.

What is newer is told by the operators' version where both documents have one, else by the position
in the platform's history, see `pondpin.positions`.
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
# A restored platform may bring back a document that was in force some changes ago.
KEPT_CONTENTS = 64


@dataclass(frozen=True, slots=True)
class RejectedRevision:
    """A revision, as a position, that failed the check, with its numbered faults."""

    revision: int
    faults: str


class ConfigurationStore:
    """The configuration in force, and the floor under which nothing is taken."""

    def __init__(self, metrics: Metrics, on_change: Callable[[Snapshot], None]) -> None:
        self._metrics = metrics
        self._on_change = on_change
        self.snapshot: Snapshot | None = None
        self.document = b""
        self.floor = 0
        self.rejected: RejectedRevision | None = None
        # The last position whose value was an older one, brought back by a restored platform.
        self.ignored_position = 0
        # Hashes of the documents that were in force, the last of them now.
        self._contents: deque[int] = deque(maxlen=KEPT_CONTENTS)

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.snapshot.revision if self.snapshot is not None else 0

    @property
    def seen_revision(self) -> int:
        """The highest revision looked at: in force, refused or left out."""
        refused = self.rejected.revision if self.rejected is not None else 0
        return max(self.revision, refused, self.ignored_position)

    def raise_floor(self, revision: int) -> None:
        """Some peer, fence or token shows that this revision was in force."""
        self.floor = max(self.floor, revision)

    def apply(self, revision: int, document: bytes, source: str) -> bool:
        """Take a configuration if it is newer and sound; says whether it is now in force."""
        result = self._judge(revision, document)
        self._metrics.configurations.inc({"source": source, "result": result})
        return result == "taken"

    def _judge(self, revision: int, document: bytes) -> str:
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
            logging.warning("revision %d refused:\n%s", revision, faults)
            return "refused"
        content = xxhash.xxh64_intdigest(document)
        if self._is_older(configuration, content, revision):
            self._leave_out(revision)
            return "left out"
        self._contents.append(content)
        self._take(Snapshot(revision, configuration), document)
        return "taken"

    def _is_older(self, configuration: Configuration, content: int, revision: int) -> bool:
        """Whether a document under a later position is older than the one in force."""
        if self.snapshot is None:
            return False
        known = self.snapshot.configuration.version
        if known and configuration.version:
            return configuration.version < known
        # Without versions the first document of an epoch is the copy's, unless it is new here.
        is_first = epoch_of(revision) > epoch_of(max(self.revision, self.ignored_position))
        return is_first and content in list(self._contents)[:-1]

    def _leave_out(self, revision: int) -> None:
        self.ignored_position = revision
        logging.warning(
            "epoch %d revision %d left out: older than epoch %d revision %d in force",
            epoch_of(revision),
            revision_of(revision),
            epoch_of(self.revision),
            revision_of(self.revision),
        )

    def _take(self, snapshot: Snapshot, document: bytes) -> None:
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
    """Watches the platform's value."""

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
        """One watch; after a failure the next waits a random part of the retry time."""
        # The first read does not wait, so that it is soon known whether the platform answers.
        wait = self._watch_seconds if self.platform_reachable else 0.0
        try:
            published = await self._platform.watch(self._store.seen_revision, wait)
        except CallFailedError as error:
            if self.platform_reachable:
                logging.warning("the platform does not answer: %s", error)
            self.platform_reachable = False
            self.period = self._retry_seconds * (0.5 + self._random.random())
            return
        if not self.platform_reachable:
            logging.info("the platform answers")
        self.platform_reachable = True
        self.period = 0.0
        if published is not None and not self._store.apply(
            published.position, published.document, "platform"
        ):
            # A platform that serves an old value must not be asked in a tight loop.
            self.period = self._retry_seconds
