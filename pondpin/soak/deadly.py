"""Requests that end the workers which run them, played beside a soak's other faults."""

import asyncio
import itertools
import random
import time
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pondpin.codes import Code
from pondpin.soak.promises import Findings, Seen
from pondpin.soak.standin import Death

# A request is known to end workers after so many, by everybody after so many seconds.
ENDS_THAT_PROVE = 3
# The same of a segment of prompts.
SEGMENT_ENDS_THAT_PROVE = 5
BOUND_SECONDS = 3.0
MOST_LATE = 3
# Each deadly body is sent this often on the average.
GAP_SECONDS = 0.4
LOOK_SECONDS = 0.05
# Segments that end workers, whatever comes with them; each is sent for a part of the time.
SEGMENTS = ("dead1", "dead2")
SHARED_SEGMENTS = ("5c", "f1")
# Of sound requests with segments, so many may be held back while segments are told apart.
MOST_HELD_SHARE = 0.03
ROUTE_BY_BODY = {"deadly stream": "stream", "deadly call": "again", "deadly unlock": "once"}
# In refusals for a segment.
HELD_SEGMENT = b"a part of the prompt"
HELD_BACK = (Code.QUARANTINED.name.encode(), Code.SUSPECTED.name.encode())


@dataclass
class DeadlyLoad:
    """Sends deadly bodies, and keeps when no instance was left that could know of them."""

    seed: int
    ask: Callable[[str, str, str, str], "asyncio.Future[None]"]
    is_anybody_up: Callable[[], bool]
    has_segments: bool = True
    forgotten_at: list[float] = field(default_factory=list)

    async def play(self, end: float) -> None:
        """Load until a moment of the steady clock."""
        rng = random.Random(f"{self.seed} deadly")
        watching = asyncio.ensure_future(self._watch())
        segments = asyncio.ensure_future(self._play_segments(end if self.has_segments else 0.0))
        number = 0
        try:
            while time.monotonic() < end:
                await asyncio.sleep(rng.expovariate(len(ROUTE_BY_BODY) / GAP_SECONDS))
                number += 1
                body, route = rng.choice(list(ROUTE_BY_BODY.items()))
                self.ask(f"d{number}", route, body, "")
        finally:
            watching.cancel()
            segments.cancel()

    async def _play_segments(self, end: float) -> None:
        """Send requests of which no two are alike, with segments that begin and end."""
        rng = random.Random(f"{self.seed} segments")
        began = time.monotonic()
        if end <= began:
            return
        first = {segment: rng.random() * (end - began) / 2 for segment in SEGMENTS}
        for number in itertools.count():
            await asyncio.sleep(rng.expovariate(len(SEGMENTS) / GAP_SECONDS))
            segment = rng.choice(SEGMENTS)
            since = time.monotonic() - began - first[segment]
            if 0 <= since <= (end - began) / 2:
                listed = (*rng.sample(SHARED_SEGMENTS, rng.randrange(3)), segment)
                self.ask(f"ds{number}", "stream", f"{segment} {number}", list_segments(*listed))

    async def _watch(self) -> None:
        while True:
            if not self.is_anybody_up():
                self.forgotten_at.append(time.time())
            await asyncio.sleep(LOOK_SECONDS)

    def check(self, deaths: Iterable[Death], seen: Iterable[Seen], findings: Findings) -> None:
        """Check what workers and other callers saw."""
        by_body: dict[str, list[float]] = {}
        for death in deaths:
            by_body.setdefault(death.body, []).append(death.began)
        for body, times in by_body.items():
            proof = SEGMENT_ENDS_THAT_PROVE if body in SEGMENTS else ENDS_THAT_PROVE
            late = self._count_late(sorted(times), proof)
            if late > MOST_LATE:
                findings.add("a deadly request reaches few workers", f"{body}: {late} late")
        sound = [item for item in seen if not is_deadly(item.attempt)]
        held = [item for item in sound if any(name in item.body for name in HELD_BACK)]
        by_segment = [item for item in held if HELD_SEGMENT in item.body]
        for item in held:
            if item not in by_segment:
                findings.add("nobody innocent is held back", f"{item.attempt}: {item.body[:90]!r}")
        among = sum(bool(segments_of(item.attempt, item.route)) for item in sound)
        if len(by_segment) > MOST_HELD_SHARE * among:
            detail = f"{len(by_segment)} of {among}: {by_segment[0].body[:120]!r}"
            findings.add("few sound requests with segments are held back", detail)

    def _count_late(self, times: list[float], proof: int) -> int:
        """Runs later than the bound; what nobody could know any more counts anew."""
        late = 0
        known: list[float] = []
        for at in times:
            if known and any(known[-1] < gone <= at for gone in self.forgotten_at):
                known = []
            is_proved = len(known) >= proof
            late += is_proved and at > known[proof - 1] + BOUND_SECONDS
            known.append(at)
        return late


def list_segments(*segments: str) -> str:
    """A list of segments before one of the request's own."""
    return ",".join(f"{item}:40" for item in (*segments, "ff"))


def segments_of(attempt: str, route: str) -> str:
    """The list of a sound request's segments, empty for half of the streams and all others."""
    number = zlib.crc32(attempt.encode())
    if number % 2 or route != "stream":
        return ""
    return list_segments(*SHARED_SEGMENTS[: 1 + number // 2 % len(SHARED_SEGMENTS)])


def is_deadly(attempt: str) -> bool:
    """Whether an attempt's name, which begins with its instance, is of a deadly request."""
    return attempt.rpartition(".")[2].startswith("d")
