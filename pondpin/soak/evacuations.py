"""Orders to evacuate a data centre beside a soak's faults, and what reaches its workers then."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

from pondpin.http_streams import CallFailedError
from pondpin.soak.notices import HELD_SECONDS, Troubles
from pondpin.soak.processes import Managed
from pondpin.soak.promises import Findings
from pondpin.standins.wishes import Arrival

# The bound that the instances' settings name.
EVACUATION_MS = 1600
BOUND_SECONDS = EVACUATION_MS / 1000
# An order lasts so long after it must be known; it is given up when that takes too long.
LASTING_SECONDS = (0.5, 4.0)
KNOWN_SECONDS = 6.0
GAP_SECONDS = (0.3, 1.5)
POLL_SECONDS = 0.1
# An instance that starts has heard from its peers, or read the source, after this.
SETTLED_SECONDS = 2.0
# The operator writes an order that a restore may have lost again, and deletes it after this.
SEEN_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Evacuated:
    """When nothing may reach the workers of a data centre, in Unix seconds."""

    center: str
    begin: float
    end: float


@dataclass
class EvacuationLoad:
    """Evacuates data centres, one at a time, and takes them back.

    write: writes an order, or deletes it; may_be_lost: whether the last restore of the store may
    have lost what was written at a moment of the steady clock.
    """

    seed: int
    centers: Sequence[str]
    instances: Sequence[Managed]
    write: Callable[[str, bool], Awaitable[None]]
    may_be_lost: Callable[[float], bool]
    troubles: Troubles
    faults: list[str] = field(default_factory=list)
    evacuated: list[Evacuated] = field(default_factory=list)

    async def play(self, end: float) -> None:
        """Evacuate now and then until a moment of the steady clock."""
        rng = random.Random(f"{self.seed} evacuations")
        while True:
            pause, lasting = rng.uniform(*GAP_SECONDS), rng.uniform(*LASTING_SECONDS)
            if time.monotonic() + pause + lasting >= end:
                return
            await asyncio.sleep(pause)
            center = rng.choice(list(self.centers))
            written_at = time.monotonic()
            await self._write(center, True)
            self.faults.append(f"{center} evacuated")
            if await self._watch(center, written_at, lasting):
                await self._write(center, False)
            else:
                await self.clear(center)

    async def clear(self, center: str) -> None:
        """End an order that the store may lack: deleting an absent key leaves no event."""
        await self._write(center, True)
        await asyncio.sleep(SEEN_SECONDS)
        await self._write(center, False)

    async def _write(self, center: str, is_order: bool) -> None:
        while True:
            try:
                await self.write(center, is_order)
            except CallFailedError:
                await asyncio.sleep(POLL_SECONDS)
            else:
                return

    async def _watch(self, center: str, written_at: float, lasting: float) -> bool:
        """Note from when on, and how long, at least one instance must know the order.

        Returns whether the store still has it.
        """
        is_stored = True
        begin: float | None = None
        # Starts of the instances that know it.
        knowing: dict[int, int] = {}
        until = time.monotonic() + KNOWN_SECONDS
        while time.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
            is_stored = is_stored and not self.may_be_lost(written_at)
            if begin is None:
                if not is_stored:
                    # Perhaps no instance has read it.
                    await self._write(center, True)
                    written_at, is_stored = time.monotonic(), True
                if time.monotonic() - written_at < BOUND_SECONDS or not self._reading():
                    continue
                begin, until = time.time(), time.monotonic() + lasting
                knowing = {number: self.instances[number].starts for number in self._reading()}
            alive = {n: starts for n, starts in knowing.items() if self._is_same(n, starts)}
            if not alive:
                break
            settled = {
                number: item.starts
                for number, item in enumerate(self.instances)
                if item.is_up(SETTLED_SECONDS)
            }
            knowing = alive | settled
        if begin is not None:
            self.evacuated.append(Evacuated(center, begin, time.time()))
        return is_stored

    def _is_same(self, number: int, starts: int) -> bool:
        instance = self.instances[number]
        return instance.is_running and instance.starts == starts

    def _reading(self) -> list[int]:
        """Instances that could read the source for the whole bound."""
        now = time.time()
        return [
            number
            for number, item in enumerate(self.instances)
            if item.is_up(BOUND_SECONDS)
            and not any(
                self.troubles.any(name, now - BOUND_SECONDS, now)
                for name in (item.name, f"store of {number}")
            )
        ]

    def check(
        self,
        arrivals: Mapping[str, Sequence[Sequence[Arrival]]],
        center_of: Callable[[str], str],
        found: Findings,
    ) -> None:
        """Check what reached each life of each worker while its data centre was evacuated."""
        for name, lives in arrivals.items():
            reached = [
                item
                for item in (arrival for life in lives for arrival in life)
                for window in self.evacuated
                if window.center == center_of(name)
                and window.begin < item.at < window.end
                # A link may have held back what was sent before.
                and not self.troubles.any(name, item.at - HELD_SECONDS, item.at)
            ]
            if reached:
                senders = sorted({item.sender for item in reached})
                found.add("nothing reaches who is evacuated", f"{name} from {senders}")
