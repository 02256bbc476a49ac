"""Upstreams that say in their answers that they leave, ask for rest, or take only so much, beside a
soak's faults.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

from pondpin.http_streams import CallFailedError
from pondpin.soak.promises import Findings
from pondpin.standins.limits_kept import AIM, most_over
from pondpin.standins.wishes import MOST_IN_REST, ON_ITS_WAY_SECONDS, Arrival, Wishes

# An upstream says something new this often, on the average.
GAP_SECONDS = 0.8
LEAVE_SHARE = 0.3
# A leaving upstream is replaced by a later life after so long; the list may say it all the while,
# late, or not at all.
LEAVE_SECONDS = (2.0, 6.0)
FULL_SECONDS = (0.3, 4.0)
RESTS = ("0.3", "1", "2", "3", "3", "4", "2.5", "1, 3", "soon", "-2")
# A limit is named for so long, which holds several windows of its check, and may change once.
LIMIT_SHARE = 0.4
LIMIT_SECONDS = (7.0, 14.0)
LIMITS = ("0", "0.1", "0.5", "1", "1", "2", "6", "50", "2, 1", "many", "-1")
# Of each service so many may leave at once.
MOST_LEAVING_SHARE = 0.5
# What an instance may take to read an answer; and what a proxy may hold a request back.
READ_SECONDS = 1.0
HELD_SECONDS = 4.5
DRAIN_SECONDS = 2.0


@dataclass
class Troubles:
    """When instances were away, and when links to upstreams did anything but pass bytes on."""

    by_name: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def note(self, name: str, seconds: float = 0.0) -> None:
        """Trouble begins now, for so long."""
        now = time.time()
        self.by_name.setdefault(name, []).append((now, now + seconds))

    def any(self, name: str, start: float, end: float) -> bool:
        """Whether there was any between two moments."""
        return any(begin <= end and until >= start for begin, until in self.by_name.get(name, ()))


@dataclass
class NoticeLoad:
    """Lets upstreams speak, and checks what reached them afterwards.

    say steers a worker: whether it says that it leaves, the rest that it asks for and the limit
    that it names; replace
    gives it a later life; list_leaving writes its entry so.
    """

    seed: int
    names: Sequence[str]
    say: Callable[[str, bool, str, str], Awaitable[None]]
    replace: Callable[[str], Awaitable[None]]
    list_leaving: Callable[[str], Awaitable[None]]
    troubles: Troubles = field(default_factory=Troubles)
    leaving: set[str] = field(default_factory=set)
    limit_by_name: dict[str, str] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    async def play(self, end: float) -> None:
        """Speak until a moment of the steady clock."""
        rng = random.Random(f"{self.seed} notices")
        speaking: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            await asyncio.sleep(rng.expovariate(1 / GAP_SECONDS))
            name = rng.choice(list(self.names))
            may_leave = self._may_leave(name) and rng.random() < LEAVE_SHARE
            if may_leave:
                work = self._leave(name, rng)
            elif rng.random() < LIMIT_SHARE and name not in self.limit_by_name:
                work = self._limit(name, rng)
            else:
                work = self._rest(name, rng)
            speaking.add(asyncio.ensure_future(work))
        await asyncio.gather(*speaking)
        for name in list(self.leaving):
            await self._replace(name)

    def _may_leave(self, name: str) -> bool:
        kind = name.partition("-")[0]
        alike = [item for item in self.names if item.startswith(kind)]
        gone = sum(item in self.leaving for item in alike)
        return name not in self.leaving and gone + 1 <= MOST_LEAVING_SHARE * len(alike)

    async def _leave(self, name: str, rng: random.Random) -> None:
        self.leaving.add(name)
        self.faults.append(f"{name} says that it leaves")
        await self._say(name)
        seconds = rng.uniform(*LEAVE_SECONDS)
        if rng.random() < MOST_LEAVING_SHARE:
            await asyncio.sleep(seconds / 2)
            await self._try(self.list_leaving(name))
            await asyncio.sleep(seconds / 2)
        else:
            await asyncio.sleep(seconds)
        await self._replace(name)

    async def _replace(self, name: str) -> None:
        await self._try(self.replace(name))
        self.leaving.discard(name)

    async def _rest(self, name: str, rng: random.Random) -> None:
        rest = rng.choice(RESTS)
        self.faults.append(f"{name} wants {rest} of rest")
        await self._say(name, rest)
        await asyncio.sleep(rng.uniform(*FULL_SECONDS))
        await self._say(name)

    async def _limit(self, name: str, rng: random.Random) -> None:
        for _ in range(rng.choice((1, 2))):
            limit = self.limit_by_name[name] = rng.choice(LIMITS)
            self.faults.append(f"{name} takes {limit} a second")
            await self._say(name)
            await asyncio.sleep(rng.uniform(*LIMIT_SECONDS))
        del self.limit_by_name[name]
        await self._say(name)

    async def _say(self, name: str, rest: str = "") -> None:
        limit = self.limit_by_name.get(name, "")
        await self._try(self.say(name, name in self.leaving, rest, limit))

    async def _try(self, work: Awaitable[None]) -> None:
        try:
            await work
        except CallFailedError as error:
            self.faults.append(f"not done: {error}")

    def check_limits(self, lives_by_name: Mapping[str, Sequence[Wishes]], found: Findings) -> None:
        """Check what reached each life of each worker from all instances together.

        Stops, restarts and freezes of instances excuse nothing; a link that holds requests back
        makes them come later than they were sent.
        """
        for name, lives in lives_by_name.items():

            def is_excused(begin: float, end: float, name: str = name) -> bool:
                return self.troubles.any(name, begin - HELD_SECONDS, end)

            for life in lives:
                over = most_over(life, AIM, is_excused)
                if over > 0:
                    detail = f"{name} got {over:.1f} more in 4 s than its limit allows"
                    found.add("a limit is kept to by all together", detail)

    def check(self, arrivals: Mapping[str, Sequence[Sequence[Arrival]]], found: Findings) -> None:
        """Check what reached each life of each worker."""
        for name, lives in arrivals.items():
            for life in lives:
                by_sender: dict[str, list[Arrival]] = {}
                for item in sorted(life, key=lambda arrival: arrival.at):
                    by_sender.setdefault(item.sender, []).append(item)
                for sender, items in by_sender.items():
                    self._check_leaving(name, sender, items, found)
                    self._check_rests(name, sender, items, found)

    def _was_heard(self, name: str, told: Arrival) -> bool:
        start, end = told.at - READ_SECONDS, told.at + READ_SECONDS
        return not self.troubles.any(name, start, end)

    def _counts(self, name: str, sender: str, told: Arrival, item: Arrival) -> bool:
        """Whether a request was sent after its sender heard, without a restart or freeze since."""
        held = self.troubles.any(name, item.at - HELD_SECONDS, item.at)
        away = self.troubles.any(sender, told.at - READ_SECONDS, item.at)
        return not held and not away

    def _check_leaving(
        self, name: str, sender: str, items: Sequence[Arrival], found: Findings
    ) -> None:
        told = next((item for item in items if item.leaves and self._was_heard(name, item)), None)
        if told is None:
            return
        late = [
            item
            for item in items
            if item.at > told.at + DRAIN_SECONDS and self._counts(name, sender, told, item)
        ]
        if late:
            detail = f"{name} got {len(late)} from {sender}, {late[-1].at - told.at:.2f} s after"
            found.add("nothing reaches who said that it leaves", detail)

    def _check_rests(
        self, name: str, sender: str, items: Sequence[Arrival], found: Findings
    ) -> None:
        for told in items:
            if told.rest <= 0 or not self._was_heard(name, told):
                continue
            begin, end = told.at + ON_ITS_WAY_SECONDS, told.at + told.rest
            inside = [
                item
                for item in items
                if begin < item.at < end and self._counts(name, sender, told, item)
            ]
            if len(inside) > MOST_IN_REST:
                detail = f"{name} got {len(inside)} from {sender} in {told.rest} s of rest"
                found.add("a rest that was asked is kept", detail)
