"""Reads the published values: a few instances read, the others take their proofs over.

A configuration may be a megabyte, and most reads find nothing new. So the list of upstreams is
read each time, and what the source says of its revision there proves the configuration as well:
either nothing at all has changed, or the changes up to that revision don't touch it. Only a
configuration that is new is fetched whole. All of this holds within one epoch of the source: in a
later one the configuration is read whole once.

Nobody is elected. Each instance reads when the freshest proof it knows of is older than a
bound that grows with its rank among the live peers, so that the first usually reads alone and
the next takes over when proofs stop coming.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import SourceChanged, SourceRead
from pondpin.relay.periods import PERIOD_SECONDS
from pondpin.relay.ports import (
    ConfigurationChange,
    EpochChangedError,
    ListRead,
    PublishedSource,
)
from pondpin.relay.published.documents import PublishedItem
from pondpin.relay.published.freshness import NOTHING_PUBLISHED, Proof, PublishedVersion
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.source_monitor import SourceMonitor
from pondpin.relay_settings import RelayLimits

# When to read is looked at together with what else an instance does at intervals.
CHECK_SECONDS = PERIOD_SECONDS
# The ages below keep these bounds; with longer ones they are multiplied.
SHORTEST_CONFIGURATION_MS = 2000.0
BASE_KEY_MS = 3300.0
# The first in rank reads when the proof is this old.
RENEWAL_AGE_SECONDS = 0.6
# Each further one waits longer by this, since proofs take time to arrive, up to the last.
RANK_DELAY_SECONDS = 0.3
MAX_RANK = 4
# An instance that starts waits for this to twice this to hear its peers, lest all of a fleet that
# starts read the source at once; seeds read at once.
START_DELAY_SECONDS = 0.25
# A read is given up and its connection dropped when nothing comes for so long.
READ_STALL_SECONDS = 1.0
# A read that spans two epochs is begun again at once, so often.
MAX_EPOCH_READS = 3
# A read that took longer than this is logged although it brought nothing new.
SLOW_READ_SECONDS = 0.5
MILLISECONDS = 1000.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


def renewal_scale(limits: RelayLimits) -> float:
    """How much later than the shortest bounds ask for proofs may be renewed."""
    bounds = [limits.configuration_ms / SHORTEST_CONFIGURATION_MS]
    if limits.keys_need_proof:
        bounds.append(limits.key_ms / BASE_KEY_MS)
    return max(1.0, min(bounds))


def due_age(rank: int, scale: float = 1.0) -> float:
    """The age of the proof, in seconds, at which an instance of this rank reads."""
    return scale * (RENEWAL_AGE_SECONDS + RANK_DELAY_SECONDS * min(rank, MAX_RANK))


def is_due(proof_age: float, rank: int, scale: float = 1.0) -> bool:
    """Whether an instance of this rank reads now."""
    return proof_age >= due_age(rank, scale)


def backoff_seconds(failures: int, draw: float) -> float:
    """How long to wait after some failures in a row; draw between 0 and 1 is the jitter."""
    longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0**failures)
    return longest * (0.5 + draw / 2)


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The source's configuration was newest, up to the source's revision until of an epoch.

    newest is None for a configuration that isn't sound: that proves nothing.
    """

    newest: PublishedVersion | None
    epoch: int
    until: int


class ReaderController(Controller):
    """Keeps the proofs young."""

    period = CHECK_SECONDS

    def __init__(
        self,
        source: PublishedSource,
        publication: Publication,
        rank: Callable[[float], int],
        on_news: Callable[[], None],
        log: EventLog,
        clock: Clock,
        rng: random.Random,
        scale: Callable[[], float] = lambda: 1.0,
        delay_start: bool = False,
        monitor: SourceMonitor | None = None,
    ) -> None:
        super().__init__()
        self._monitor = monitor or SourceMonitor(log)
        self._scale = scale
        self._may_wait = delay_start
        self._source = source
        self._publication = publication
        self._rank = rank
        self._on_news = on_news
        self._log = log
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._not_before = 0.0
        self._unchanged: Unchanged | None = None
        self.read_count = 0

    @property
    def answers(self) -> bool:
        """Whether the source answered the last read of this instance."""
        return self._failures == 0

    async def step(self) -> None:
        """Read if it is due."""
        if self._may_wait:
            self._may_wait = False
            wait = START_DELAY_SECONDS * (1.0 + self._rng.random())
            self._not_before = self._clock() + wait
        if not await self._wait_until_due():
            return
        try:
            await self._read()
        except CallFailedError as error:
            self._note_failure(str(error))
            return
        if self._failures:
            self._log.write(SourceChanged(answers=True, reason="", failures=self._failures))
        self._failures = 0

    async def _wait_until_due(self) -> bool:
        """Wait for a read that is due before the next step; whether to read now."""
        wait = self._seconds_until_due(self._clock())
        if 0 < wait < self.period:
            await asyncio.sleep(wait)
            wait = self._seconds_until_due(self._clock())
        return wait <= 0

    def _seconds_until_due(self, now: float) -> float:
        age = self._oldest_age(now)
        scale = self._scale()
        # Most are far from due whatever their rank, which takes a look at all peers.
        if age < due_age(0, scale) - self.period:
            return due_age(0, scale) - age
        return max(due_age(self._rank(now), scale) - age, self._not_before - now)

    def _oldest_age(self, now: float) -> float:
        publication = self._publication
        if publication.proof is None or publication.list_at is None:
            return float("inf")
        return now - min(publication.proof.sent_at, publication.list_at)

    async def _read(self) -> None:
        publication = self._publication
        before = publication.in_force, publication.list_tag
        self.read_count += 1
        began = self._clock()
        listed, item = await self._read_one_epoch()
        news = before != (publication.in_force, publication.list_tag)
        self._note_read(listed, item, began, news)
        if news:
            self._on_news()

    async def _read_one_epoch(self) -> tuple[ListRead, PublishedItem | None]:
        """Read the list and what is needed to prove the configuration, again if the source's epoch
        changes meanwhile.
        """
        for _ in range(MAX_EPOCH_READS):
            try:
                return await self._read_parts()
            except EpochChangedError as error:
                changed = error
        raise changed

    async def _read_parts(self) -> tuple[ListRead, PublishedItem | None]:
        # The list goes first: a configuration without upstreams would refuse everything.
        sent_at = self._clock()
        listed = await self._source.read_upstreams(READ_STALL_SECONDS)
        self._check_epoch(listed.epoch, listed.epoch)
        self._monitor.receive_revision(listed.revision, listed.epoch, self._publication.in_force)
        self._publication.apply_list(listed.items, sent_at, self._clock(), listed.epoch)
        return listed, await self._prove(listed, sent_at)

    def _check_epoch(self, first: int, answered: int) -> None:
        """An answer of an epoch that is over proves nothing, nor do answers of two epochs."""
        newest = self._publication.epoch
        if answered != first or answered < newest:
            raise EpochChangedError(answered, max(first, newest))

    async def _prove(self, listed: ListRead, sent_at: float) -> PublishedItem | None:
        """Learn which configuration the source has in the epoch of a list that was asked for at
        sent_at; returns the configuration when it had to be fetched.
        """
        known = self._known_in(listed.epoch)
        if known is not None and known.until >= listed.revision:
            self._record(known, sent_at)
            return None
        if known is not None:
            change = await self._source.read_change(known.until, READ_STALL_SECONDS)
            self._check_epoch(listed.epoch, change.epoch)
            if change.through_revision is not None and change.through_revision >= listed.revision:
                return self._take_change(known, change, change.through_revision, sent_at)
        sent_at = self._clock()
        read = await self._source.read_configuration(READ_STALL_SECONDS)
        self._check_epoch(listed.epoch, read.epoch)
        # It was read after the list: what it doesn't show has not changed up to there.
        until = listed.revision if read.item is None else max(listed.revision, read.item.revision)
        newest = NOTHING_PUBLISHED if read.item is None else self._offer(read.item, sent_at)
        self._record(Unchanged(newest, listed.epoch, until), sent_at)
        return read.item

    def _known_in(self, epoch: int) -> Unchanged | None:
        """What is known of the configuration in an epoch, by an own read or a peer's."""
        in_force = self._publication.in_force
        known = self._unchanged
        if known is not None and known.epoch != epoch:
            known = None
        if in_force.epoch == epoch and in_force.revision > (known.until if known else 0):
            return Unchanged(in_force, epoch, in_force.revision)
        return known

    def _take_change(
        self, known: Unchanged, change: ConfigurationChange, until: int, sent_at: float
    ) -> PublishedItem | None:
        newest = known.newest if change.item is None else self._offer(change.item, sent_at)
        self._record(Unchanged(newest, known.epoch, until), sent_at)
        return change.item

    def _offer(self, item: PublishedItem, sent_at: float) -> PublishedVersion | None:
        return self._publication.apply_configuration(item, sent_at, self._clock())

    def _record(self, known: Unchanged, sent_at: float) -> None:
        """Keep what is known; it proves what is in force from when its read was sent."""
        self._unchanged = known
        if known.newest is not None:
            self._publication.receive_proof(Proof(known.newest, sent_at))

    def _note_read(
        self,
        listed: ListRead,
        item: PublishedItem | None,
        began: float,
        news: bool,
    ) -> None:
        seconds = self._clock() - began
        if not news and seconds < SLOW_READ_SECONDS:
            return
        size = sum(len(found.value) for found in listed.items)
        size += len(item.value) if item is not None else 0
        revision = item.revision if item is not None else 0
        after_ms = int(seconds * MILLISECONDS)
        self._log.write(
            SourceRead(
                revision=revision,
                source_revision=listed.revision,
                epoch=listed.epoch,
                bytes=size,
                after_ms=after_ms,
            )
        )

    def _note_failure(self, reason: str) -> None:
        if not self._failures:
            self._log.write(SourceChanged(answers=False, reason=reason, failures=1))
        self._failures += 1
        wait = backoff_seconds(self._failures - 1, self._rng.random())
        self._not_before = self._clock() + wait
