"""Reads the published values; a few instances read, and the others adopt their proofs.

A configuration may be a megabyte, and most reads find nothing new. So each read fetches the list
of upstreams with the source's revision, which also proves the configuration if that hasn't changed
up to that revision. Only a new configuration is fetched whole, and once in each new epoch of the
source.

There is no leader election. Each instance reads when the latest proof is older than a bound that
grows with its rank among the live peers, so the first usually reads alone and the next takes over
when proofs stop coming.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import SourceChanged, SourceRead
from pondpin.relay.periods import PERIOD_SECONDS
from pondpin.relay.ports import ConfigurationChange, EpochChangedError, ListRead, PublishedSource
from pondpin.relay.published.documents import PublishedItem
from pondpin.relay.published.freshness import NOTHING_PUBLISHED, Proof, PublishedVersion
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.source_monitor import SourceMonitor
from pondpin.relay_settings import RelayLimits

if TYPE_CHECKING:
    from pondpin.relay.published.order_reader import OrderReader

# Runs with the other periodic tasks of an instance.
CHECK_SECONDS = PERIOD_SECONDS
# The ages below meet these bounds and are scaled up for longer ones.
BASE_CONFIGURATION_MS = 2000.0
BASE_KEY_MS = 3300.0
# For orders to evacuate data centres: with unscaled ages they are in force within 1 s, the aim.
BASE_EVACUATION_MS = 5000.0
# The proof's age at which rank 0 reads.
RENEWAL_AGE_SECONDS = 0.6
# The extra age per rank, up to MAX_RANK, since proofs take time to arrive.
RANK_DELAY_SECONDS = 0.3
MAX_RANK = 4
# A starting instance waits 1 to 2 times this for its peers' proofs, so that a starting fleet
# doesn't overload the source; seeds read at once.
START_DELAY_SECONDS = 0.25
# A read without progress for this long fails and closes its connection.
READ_STALL_SECONDS = 1.0
# Attempts at a read that spans two epochs.
MAX_EPOCH_READS = 3
# Slower reads are logged even if nothing changed.
SLOW_READ_SECONDS = 0.5
MILLISECONDS = 1000.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


def renewal_scale(limits: RelayLimits) -> float:
    """The factor by which the limits allow older proofs than the base bounds."""
    bounds = [limits.configuration_ms / BASE_CONFIGURATION_MS]
    if limits.keys_need_proof:
        bounds.append(limits.key_ms / BASE_KEY_MS)
    if limits.evacuation_ms > 0:
        bounds.append(limits.evacuation_ms / BASE_EVACUATION_MS)
    return max(1.0, min(bounds))


def due_age(rank: int, scale: float = 1.0) -> float:
    """The proof's age in seconds at which an instance of this rank reads."""
    return scale * (RENEWAL_AGE_SECONDS + RANK_DELAY_SECONDS * min(rank, MAX_RANK))


def is_due(proof_age: float, rank: int, scale: float = 1.0) -> bool:
    """Whether an instance of this rank reads now."""
    return proof_age >= due_age(rank, scale)


def backoff_seconds(failures: int, jitter: float) -> float:
    """The delay after consecutive failures; jitter is between 0 and 1."""
    limit = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0**failures)
    return limit * (0.5 + jitter / 2)


@dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """The source's newest configuration as of its revision until in an epoch.

    newest is None for an invalid configuration, which proves nothing.
    """

    newest: PublishedVersion | None
    epoch: int
    until: int


class ReaderController(Controller):
    """Renews the proofs when they are due."""

    period = CHECK_SECONDS

    def __init__(
        self,
        source: PublishedSource,
        publication: Publication,
        rank: Callable[[float], int],
        on_update: Callable[[], None],
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
        self._delay_start = delay_start
        self._source = source
        self._publication = publication
        self._rank = rank
        self._on_update = on_update
        self._log = log
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._not_before = 0.0
        self._known: KnownConfiguration | None = None
        self.read_count = 0
        # None unless orders to evacuate data centres are read.
        self.order_reader: OrderReader | None = None

    @property
    def answers(self) -> bool:
        """Whether this instance's last read succeeded."""
        return self._failures == 0

    async def step(self) -> None:
        """Read if it is due."""
        if self._delay_start:
            self._delay_start = False
            wait = START_DELAY_SECONDS * (1.0 + self._rng.random())
            self._not_before = self._clock() + wait
        if not await self._wait_until_due():
            return
        try:
            await self._read()
        except CallFailedError as error:
            self._record_failure(str(error))
            return
        if self._failures:
            self._log.write(SourceChanged(answers=True, reason="", failures=self._failures))
        self._failures = 0

    async def _wait_until_due(self) -> bool:
        wait = self._seconds_until_due(self._clock())
        if 0 < wait < self.period:
            await asyncio.sleep(wait)
            wait = self._seconds_until_due(self._clock())
        return wait <= 0

    def _seconds_until_due(self, now: float) -> float:
        age = self._oldest_age(now)
        scale = self._scale()
        # The rank is computed from all peers and usually not needed.
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
        started_at = self._clock()
        listed, item = await self._read_one_epoch()
        changed = before != (publication.in_force, publication.list_tag)
        self._log_read(listed, item, started_at, changed)
        if changed:
            self._on_update()

    async def _read_one_epoch(self) -> tuple[ListRead, PublishedItem | None]:
        for _ in range(MAX_EPOCH_READS):
            try:
                return await self._read_parts()
            except EpochChangedError as error:
                epoch_changed = error
        raise epoch_changed

    async def _read_parts(self) -> tuple[ListRead, PublishedItem | None]:
        # The list is read first; without upstreams a configuration would refuse all requests.
        sent_at = self._clock()
        listed = await self._source.read_upstreams(READ_STALL_SECONDS)
        self.check_epoch(listed.epoch, listed.epoch)
        self._monitor.receive_revision(listed.revision, listed.epoch, self._publication.in_force)
        self._publication.apply_list(listed.items, sent_at, self._clock(), listed.epoch)
        return listed, await self._prove(listed, sent_at)

    def check_epoch(self, first: int, answered: int) -> None:
        """Reject answers of a past epoch or of two epochs, which prove nothing."""
        newest = self._publication.epoch
        if answered != first or answered < newest:
            raise EpochChangedError(answered, max(first, newest))

    async def _prove(self, listed: ListRead, sent_at: float) -> PublishedItem | None:
        """Prove the configuration in the epoch of a list whose read was sent at sent_at.

        Returns the configuration if it had to be fetched.
        """
        known = self._known_in(listed.epoch)
        change = None
        if self.order_reader is not None:
            change = await self.order_reader.read(known, listed, sent_at)
        elif known is not None and known.until < listed.revision:
            change = await self._source.read_change(known.until, READ_STALL_SECONDS)
            self.check_epoch(listed.epoch, change.epoch)
        if known is not None and known.until >= listed.revision:
            self._record(known, sent_at)
            return None
        if known is not None and change is not None:
            until = change.through_revision
            if until is not None and until >= listed.revision:
                return self._apply_change(known, change, until, sent_at)
        sent_at = self._clock()
        read = await self._source.read_configuration(READ_STALL_SECONDS)
        self.check_epoch(listed.epoch, read.epoch)
        # Read after the list, so it includes all changes up to the list's revision.
        until = listed.revision if read.item is None else max(listed.revision, read.item.revision)
        newest = NOTHING_PUBLISHED if read.item is None else self._apply(read.item, sent_at)
        self._record(KnownConfiguration(newest, listed.epoch, until), sent_at)
        return read.item

    def _known_in(self, epoch: int) -> KnownConfiguration | None:
        in_force = self._publication.in_force
        known = self._known
        if known is not None and known.epoch != epoch:
            known = None
        if in_force.epoch == epoch and in_force.revision > (known.until if known else 0):
            return KnownConfiguration(in_force, epoch, in_force.revision)
        return known

    def _apply_change(
        self, known: KnownConfiguration, change: ConfigurationChange, until: int, sent_at: float
    ) -> PublishedItem | None:
        newest = known.newest if change.item is None else self._apply(change.item, sent_at)
        self._record(KnownConfiguration(newest, known.epoch, until), sent_at)
        return change.item

    def _apply(self, item: PublishedItem, sent_at: float) -> PublishedVersion | None:
        return self._publication.apply_configuration(item, sent_at, self._clock())

    def _record(self, known: KnownConfiguration, sent_at: float) -> None:
        self._known = known
        if known.newest is not None:
            self._publication.receive_proof(Proof(known.newest, sent_at))

    def _log_read(
        self, listed: ListRead, item: PublishedItem | None, started_at: float, changed: bool
    ) -> None:
        seconds = self._clock() - started_at
        if not changed and seconds < SLOW_READ_SECONDS:
            return
        size = sum(len(entry.value) for entry in listed.items)
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

    def _record_failure(self, reason: str) -> None:
        if not self._failures:
            self._log.write(SourceChanged(answers=False, reason=reason, failures=1))
        self._failures += 1
        wait = backoff_seconds(self._failures - 1, self._rng.random())
        self._not_before = self._clock() + wait
