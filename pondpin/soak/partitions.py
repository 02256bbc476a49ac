"""Cuts of instances from all workers, by draws of their own, in a series."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from pondpin.codes import Code
from pondpin.soak.processes import Managed
from pondpin.soak.promises import Findings
from pondpin.standins.partitions import Cut

GAP_SECONDS = 3.0
LASTING_SECONDS = (0.3, 4.0)
FORMS = (Cut.RESET, Cut.REFUSE, Cut.SILENT)
# Requests at cut instances count from this long after the cut.
SETTLED_SECONDS = 1.5
# A peer that is killed while others are cut is back after this time.
PEER_BACK_SECONDS = (0.1, 1.0)
# With fewer requests on either side a share says nothing.
MIN_REQUESTS = 20
# Callers at cut instances are served at least this often, compared with the others.
SERVED_SHARE = 2 / 3
SERVED = 200
# Refusals for other reasons than a missing path to an upstream, such as keys, say nothing here.
PATH_CODES = (
    Code.NO_UPSTREAM,
    Code.UPSTREAMS_UNREACHABLE,
    Code.UPSTREAM_LOST,
    Code.UPSTREAM_STALLED,
    Code.OUTCOME_UNKNOWN,
)


class _Error(msgspec.Struct):
    code: int


class _Refusal(msgspec.Struct):
    error: _Error


@dataclass(frozen=True, slots=True)
class Window:
    """A cut of some instances, by the steady clock."""

    numbers: frozenset[int]
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Tried:
    """A request at an instance that was up."""

    number: int
    sent_at: float
    status: int


class PartitionLoad:
    """Cuts instances from the workers, and compares how callers are served."""

    def __init__(
        self,
        seed: int,
        instances: Sequence[Managed],
        controls: Sequence[tuple[str, int]],
        on_kill: Callable[[str], None] | None = None,
    ) -> None:
        """on_kill: is called with the name of each peer that is killed; none without it."""
        self._rng = random.Random(f"{seed} partitions")
        self._peer_rng = random.Random(f"{seed} peers")
        self._on_kill = on_kill
        self._instances = instances
        self._controls = controls
        self._windows: list[Window] = []
        self._tried: list[Tried] = []
        self._cut: frozenset[int] = frozenset()
        self.faults: list[str] = []

    async def play(self, end: float) -> None:
        """Cut until a moment."""
        while True:
            pause = self._rng.expovariate(1 / GAP_SECONDS)
            lasting = self._rng.uniform(*LASTING_SECONDS)
            if time.monotonic() + pause + lasting >= end:
                return
            await asyncio.sleep(pause)
            count = self._rng.choice((1, 1, len(self._instances) - 1, len(self._instances)))
            numbers = self._rng.sample(range(len(self._instances)), count)
            form = self._rng.choice(FORMS)
            self.faults.append(f"{sorted(numbers)} cut from all workers: {form.value}")
            begin = time.monotonic()
            await self._set(numbers, form)
            await asyncio.sleep(lasting / 2)
            self._kill_peer(numbers)
            await asyncio.sleep(lasting / 2)
            self._windows.append(Window(frozenset(numbers), begin, time.monotonic()))
            await self._set(numbers, Cut.NONE)

    def _kill_peer(self, cut: Sequence[int]) -> None:
        """Kill a peer whose tunnels carry what cut instances send."""
        peers = [item for number, item in enumerate(self._instances) if number not in cut]
        if self._on_kill is None or not peers:
            return
        peer = self._peer_rng.choice(peers)
        peer.send(signal.SIGKILL)
        self._on_kill(peer.name)
        self.faults.append(f"{peer.name} killed while {sorted(cut)} cut")
        seconds = self._peer_rng.uniform(*PEER_BACK_SECONDS)
        asyncio.get_running_loop().call_later(seconds, peer.start)

    async def _set(self, numbers: Sequence[int], form: Cut) -> None:
        self._cut = frozenset() if form is Cut.NONE else frozenset(numbers)
        for number in numbers:
            try:
                _, writer = await asyncio.open_connection(*self._controls[number])
            except OSError:
                # It is down, and starts without a cut.
                continue
            writer.write(f"{form.value}\n".encode())
            writer.close()

    def record(self, number: int, sent_at: float, status: int, body: bytes) -> None:
        """Record a request that was served, or had no path to an upstream.

        Not while its instance is down, starting or paused, or no instance that is not cut is up.
        """
        is_up = [item.is_up(SETTLED_SECONDS) for item in self._instances]
        has_path = any(up for other, up in enumerate(is_up) if other not in self._cut)
        if is_up[number] and has_path and (status == SERVED or _code(body) in PATH_CODES):
            self._tried.append(Tried(number, sent_at, status))

    def check(self, found: Findings) -> None:
        """Compare the shares while some instances were cut, and others were not."""
        cut: list[bool] = []
        others: list[bool] = []
        for window in self._windows:
            if len(window.numbers) == len(self._instances):
                continue
            for item in self._tried:
                if window.begin + SETTLED_SECONDS <= item.sent_at < window.end:
                    side = cut if item.number in window.numbers else others
                    side.append(item.status == SERVED)
        if min(len(cut), len(others)) < MIN_REQUESTS:
            return
        shares = sum(cut) / len(cut), sum(others) / len(others)
        if shares[0] < SERVED_SHARE * shares[1]:
            detail = f"{sum(cut)} of {len(cut)}, others {sum(others)} of {len(others)}"
            found.add("callers of cut instances are served", detail)


def _code(body: bytes) -> int:
    """The code of a refusal, -1 for anything else."""
    try:
        return msgspec.json.decode(body, type=_Refusal).error.code
    except msgspec.MsgspecError:
        return -1
