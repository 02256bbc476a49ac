"""Plays restores of the source in a fleet in virtual time, beside cuts, late answers and starts.

An operator writes versions and workers write entries; the store is copied all the time, and now and
then it is away for a moment and comes back from a copy. Used by tests and by `measure_restores`.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from pondpin.standins.local_platform import ENGINES, sample_entry
from pondpin.standins.store_state import CONFIGURATION_KEY, UPSTREAMS_PREFIX, StoreCopy
from pondpin.tools.document_fleet import DocumentFleet, SimulatedInstance

# A copy is made this often, and this many are kept.
COPY_SECONDS = 0.5
KEPT_COPIES = 10
# Pauses between two writes of the operator, and of each worker.
WRITE_SECONDS = (0.4, 1.6)
ENTRY_SECONDS = (0.4, 0.9)
AWAY_SECONDS = (0.1, 0.8)
TROUBLE_GAP_SECONDS = (0.5, 3.0)
CUT_SECONDS = (0.5, 2.5)
LATE_SECONDS = (0.0, 0.6)
# Versions rise in uneven steps.
MOST_STEP = 4
# In a calm moment a version is in force everywhere within this.
APPLY_SECONDS = 1.0
# An instance that has just started, or was cut off, catches up in this time.
CATCH_UP_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Written:
    """A version as the operator wrote it, and when."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Stored:
    """The version that the store holds from a moment on."""

    version: int
    at: float


class RestoreFleet(DocumentFleet):
    """A document fleet with an operator, workers and a store that is restored from copies."""

    def __init__(
        self, centers: int, instances: int, routes: int, rate: float, seed: int, workers: int = 12
    ) -> None:
        super().__init__(centers, instances, routes, rate, seed)
        self.rng = random.Random(f"{seed} restores")
        self.version = 1
        self.written: list[Written] = []
        self.stored: list[Stored] = [Stored(1, 0.0)]
        self.restores = 0
        # Nobody answers for what happens in a disturbed time.
        self.disturbed: list[tuple[float, float]] = []
        self.faults: list[str] = []
        self._rate = rate
        self._copies: list[StoreCopy] = [self.store.copy()]
        self._sequence_by_worker = dict.fromkeys(range(workers), 0)
        for number in self._sequence_by_worker:
            self.write_entry(number)

    @property
    def now(self) -> float:
        """The clock of the fleet."""
        return asyncio.get_running_loop().time()

    def write_entry(self, number: int) -> None:
        """A worker writes its entry."""
        self._sequence_by_worker[number] += 1
        entry = sample_entry(
            ENGINES, f"10.9.0.{number + 1}:80", sequence=self._sequence_by_worker[number]
        )
        self.store.put(f"{UPSTREAMS_PREFIX}w{number:03}", entry)

    def write_version(self) -> int:
        """The operator writes the next version."""
        self.version += self.rng.randint(1, MOST_STEP)
        self.publish(self.version)
        self.written.append(Written(self.version, self.now))
        self.stored.append(Stored(self.version, self.now))
        return self.version

    async def play(self, seconds: float) -> None:
        """Let all of it happen for some seconds, then let it rest, and check."""
        end = self.now + seconds
        await asyncio.gather(
            self._until(end, WRITE_SECONDS, self._operate),
            self._until(end + CATCH_UP_SECONDS, ENTRY_SECONDS, self._work),
            self._until(end, (COPY_SECONDS, COPY_SECONDS), self._copy),
            self._until(end, TROUBLE_GAP_SECONDS, self._trouble),
            self._watch(end),
        )
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.write_version()
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.check_end()
        self.check_times()

    async def _until(
        self,
        end: float,
        pause: tuple[float, float],
        act: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*pause))
            if self.now >= end:
                return
            await act()

    async def _operate(self) -> None:
        if not self.store.away:
            self.write_version()

    async def _work(self) -> None:
        if self.store.away:
            return
        for number in self._sequence_by_worker:
            self.write_entry(number)

    async def _copy(self) -> None:
        if not self.store.away:
            self._copies = [*self._copies, self.store.copy()][-KEPT_COPIES:]

    async def _trouble(self) -> None:
        kinds = (
            self.restore,
            self.restore,
            self._cut_center,
            self._silence,
            self._late,
            self._join,
        )
        await self.rng.choice(kinds)()

    async def restore(self) -> None:
        """The store is away for a moment and comes back from a copy."""
        began = self.now
        self.store.away = True
        await asyncio.sleep(self.rng.uniform(*AWAY_SECONDS))
        copy = self.rng.choice(self._copies)
        self.store.restore(copy)
        self.store.away = False
        self.restores += 1
        self._copies = [copy]
        held = [item.version for item in self.stored if item.at <= began]
        version = self.version_of(copy)
        assert version in held
        self.stored.append(Stored(version, self.now))
        self._disturb(began, self.now)

    def version_of(self, copy: StoreCopy) -> int:
        """The version that a copy holds."""
        return self.decode(copy.item_by_key[CONFIGURATION_KEY].value).version

    async def _cut_center(self) -> None:
        began, center = self.now, f"c{self.rng.randrange(self.centers)}"
        self.cut = {center}
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        self.cut = set()
        self._disturb(began, self.now + CATCH_UP_SECONDS)

    async def _silence(self) -> None:
        """The store is silent for one instance."""
        began, member = self.now, self.rng.choice(self.members)
        member.http.silent = True
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        member.http.silent = False
        self._disturb(began, self.now + CATCH_UP_SECONDS)

    async def _late(self) -> None:
        """Answers of the store come late for one instance."""
        began, member = self.now, self.rng.choice(self.members)
        member.http.late_seconds = LATE_SECONDS
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        member.http.late_seconds = (0.0, 0.0)
        self._disturb(began, self.now + CATCH_UP_SECONDS)

    async def _join(self) -> None:
        began = self.now
        self.join(self._rate)
        self._disturb(began, self.now + CATCH_UP_SECONDS)

    def _disturb(self, began: float, end: float) -> None:
        self.disturbed.append((began, end))

    async def _watch(self, end: float) -> None:
        """Check what must hold at any time."""
        while self.now < end:
            await asyncio.sleep(0.1)
            for member in self.members:
                self.check_member(member)

    def check_member(self, member: SimulatedInstance) -> None:
        """Nothing goes back, and no proof is false."""
        versions = member.versions
        if versions != sorted(versions):
            self.faults.append(f"{member.name} went back: {versions}")
        proof = member.publication.proof
        if proof is None:
            return
        lowest = min(
            held.version
            for number, held in enumerate(self.stored)
            if number + 1 == len(self.stored) or self.stored[number + 1].at >= proof.sent_at
        )
        if proof.newest.version < lowest:
            self.faults.append(f"{member.name}: {proof.newest.version} proved where {lowest} was")

    def check_end(self) -> None:
        """After a calm time all have the newest version, a young proof and the same list."""
        for member in self.members:
            if member.publication.in_force.version != self.version:
                have = member.publication.in_force.version
                self.faults.append(f"{member.name} has {have}, {self.version} is newest")
            if member.publication.behind_seconds(self.now):
                self.faults.append(f"{member.name} takes itself to be behind")
            proof = member.publication.proof
            if proof is None or proof.age(self.now) > CATCH_UP_SECONDS:
                self.faults.append(f"{member.name} has no young proof")
        if len({member.publication.list_tag for member in self.members}) != 1:
            self.faults.append("lists differ")

    def check_times(self) -> None:
        """Versions written in calm moments were in force everywhere in time."""
        for number, written in enumerate(self.written):
            until = written.at + APPLY_SECONDS
            following = self.written[number + 1].at if number + 1 < len(self.written) else until
            if following < until or self._is_disturbed(written.at, until):
                continue
            late = [
                member.name
                for member in self.members
                if member.in_force_at.get(written.version, until + 1.0) > until
                and member.began <= written.at
            ]
            if late:
                self.faults.append(f"version {written.version} late at {late}")

    def _is_disturbed(self, began: float, end: float) -> bool:
        return any(start < end and began < stop for start, stop in self.disturbed)
