"""Keeps the configuration in force: only a higher revision that passes the check replaces it."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from pondpin.calls import Snapshot
from pondpin.configuration import Configuration, decode_configuration
from pondpin.controllers.base import Controller
from pondpin.errors import InvalidFileError
from pondpin.http_streams import CallFailedError
from pondpin.invariants import INVARIANTS
from pondpin.metrics import Metrics
from pondpin.platform_client import PlatformPort

MAX_DOCUMENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class RefusedRevision:
    """A revision that failed the check, with its numbered faults."""

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
        self.refused: RefusedRevision | None = None

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self.snapshot.revision if self.snapshot is not None else 0

    @property
    def seen_revision(self) -> int:
        """The highest revision looked at, in force or refused."""
        refused = self.refused.revision if self.refused is not None else 0
        return max(self.revision, refused)

    def raise_floor(self, revision: int) -> None:
        """Some peer, fence or token shows that this revision was in force."""
        self.floor = max(self.floor, revision)

    def offer(self, revision: int, document: bytes, source: str) -> bool:
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
            self.refused = RefusedRevision(revision, faults)
            logging.warning("revision %d refused:\n%s", revision, faults)
            return "refused"
        self._take(Snapshot(revision, configuration), document)
        return "taken"

    def _take(self, snapshot: Snapshot, document: bytes) -> None:
        INVARIANTS.check(
            snapshot.revision > self.revision, "revision_only_rises", f"{snapshot.revision}"
        )
        self.snapshot = snapshot
        self.document = document
        self.raise_floor(snapshot.revision)
        self._metrics.revision.set({}, snapshot.revision)
        logging.info("revision %d in force", snapshot.revision)
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
        self.platform_answers = False

    async def step(self) -> None:
        """One watch; after a failure the next waits a random part of the retry time."""
        # The first read does not wait, so that it is soon known whether the platform answers.
        wait = self._watch_seconds if self.platform_answers else 0.0
        try:
            published = await self._platform.watch(self._store.seen_revision, wait)
        except CallFailedError as error:
            if self.platform_answers:
                logging.warning("the platform does not answer: %s", error)
            self.platform_answers = False
            self.period = self._retry_seconds * (0.5 + self._random.random())
            return
        if not self.platform_answers:
            logging.info("the platform answers")
        self.platform_answers = True
        self.period = 0.0
        if published is not None and not self._store.offer(
            published.revision, published.document, "platform"
        ):
            # A platform that serves an old value must not be asked in a tight loop.
            self.period = self._retry_seconds
