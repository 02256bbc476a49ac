"""python -m pondpin.soak.run: plays one seed, or several, and tells what promises broke."""

import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, call_on_signal, run, run_command
from pondpin.soak.breaking import ODD_NAME, Breaking
from pondpin.soak.deadly import ROUTE_BY_BODY, SEGMENTS, DeadlyLoad, segments_of
from pondpin.soak.deployment import (
    CALLER_PORT,
    CONTROL_PORT,
    EVENTS,
    KEY_MS,
    Place,
    Size,
    version_route,
)
from pondpin.soak.evacuations import EvacuationLoad
from pondpin.soak.partitions import PartitionLoad
from pondpin.soak.promises import Seen, check_attempts, check_stops, count_statuses
from pondpin.soak.proxy import Link
from pondpin.soak.restores import RestoreLoad
from pondpin.soak.standin import Audit, Death
from pondpin.soak.truncation import TruncationLoad
from pondpin.standins.local_platform import CENTERS, ENGINE_FIGURES, HOST
from pondpin.standins.wishes import Arrival, Wishes

SEEDS_FILE = Path(__file__).parent / "seeds.txt"
KEY_SECONDS = KEY_MS / 1000
QUIET_SECONDS = 5.0
REQUEST_SECONDS = 4.0
REQUESTS_PER_SECOND = 25.0
PROMPT_TOKENS = (2000, 5000, 60_000, 300_000, 700_000)
CALM_TOKENS = (2000, 5000)
DEADLY_TOKENS = 5000
# A whole answer has as many events as these tokens have at most.
ANSWER_TOKENS = EVENTS * int(ENGINE_FIGURES["stride"])
# Twice the requests that the workers of a soak of the usual size would take by turns.
LIFTING_REQUESTS = 30
# The word after a seed that failed with requests that end workers.
DEADLY_MARK = "deadly:"
ROUTES = ("stream", "stream", "once", "again")


@dataclass(frozen=True, slots=True)
class Question:
    """A caller's request; tokens are those of a stream's prompt."""

    attempt: str
    route: str
    host: str
    key: str
    tokens: int
    body: bytes = b"q"
    segments: str = ""


class Soak(Breaking):
    """One seeded run."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        seconds: float,
        size: Size,
        place: Place,
        folder: Path,
        deadly: bool = True,
        segments: bool = True,
        ends: bool = False,
    ) -> None:
        """deadly: with requests that end workers; ends: workers also end for no cause of theirs."""
        # Two that started while the only seed was down would not know of each other.
        super().__init__(reactor, seed, size, place, folder, 3 if deadly else 1, ends)
        self.seconds = seconds
        self.seen: list[Seen] = []
        self._asked_versions = 0
        self.runs: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self.restores = RestoreLoad(
            seed,
            list(self.workers),
            self.instances,
            self._restore_store,
            self.publish_next,
            self.list_worker,
            self._ask_version,
            self.notices.troubles,
            self.findings,
        )
        self.evacuations = EvacuationLoad(
            seed,
            CENTERS,
            self.instances,
            self.write_order,
            lambda at: self._copied_at <= at <= self._restored_at,
            self.notices.troubles,
        )
        self.partitions = PartitionLoad(
            seed,
            self.instances,
            [(place.instance(number), CONTROL_PORT) for number in range(size.instances)],
            self.notices.troubles.note if ends else None,
        )
        self.truncation: TruncationLoad | None = None
        if ends:
            self.truncation = TruncationLoad(
                seed,
                list(self.workers),
                lambda attempt: self._spawn(self._ask(attempt, CALM_TOKENS, self._cut_rng)),
                self.end_worker,
                self.list_leaving,
                self.relist,
            )
        self._cut_rng = random.Random(f"{seed} cut")
        # Responses without a length, and those of them whose connection closed early.
        self.unframed = self.unframed_cut = 0
        self.deadly: DeadlyLoad | None = None
        if deadly:
            self.deadly = DeadlyLoad(seed, self._ask_deadly, self.is_anybody_up, segments)
        self.deaths: list[Death] = []
        self.arrivals: dict[str, list[list[Arrival]]] = {}
        self.wishes: dict[str, list[Wishes]] = {}

    async def play(self) -> None:
        """Start all, load and break it, let it rest, check."""
        try:
            await self.start()
            end = time.monotonic() + self.seconds
            if self.deadly is not None:
                await self.make_deadly(tuple(ROUTE_BY_BODY), SEGMENTS)
                more = [self.deadly.play(end)]
            else:
                more = []
            if self.truncation is not None:
                more.append(self.truncation.play(end))
            await asyncio.gather(
                self._load(end),
                self.break_some(end),
                self.rewrite_list(end),
                self.notices.play(end),
                self.restores.play(end),
                self.evacuations.play(end),
                self.partitions.play(end),
                *more,
            )
            await self._recover()
            await asyncio.gather(*self._tasks)
            await self._audit()
            check_attempts(self.seen, self.runs, EVENTS, self.findings)
            self.notices.check(self.arrivals, self.findings)
            self.notices.check_limits(self.wishes, self.findings)
            self.evacuations.check(self.arrivals, self.center_of, self.findings)
            self.partitions.check(self.findings)
            self.faults += self.notices.faults + self.restores.faults + self.evacuations.faults
            self.faults += self.partitions.faults
            if self.truncation is not None:
                self.faults += self.truncation.faults
            if self.deadly is not None:
                self.deadly.check(self.deaths, self.seen, self.findings)
        finally:
            await self.end()
        logs = (self.folder / f"{instance.name}.log" for instance in self.instances)
        check_stops(logs, self.findings)

    async def _load(self, end: float) -> None:
        number = 0
        while time.monotonic() < end:
            number += 1
            self._spawn(self._ask(f"a{number}"))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _ask_deadly(
        self, attempt: str, route: str, body: str, segments: str
    ) -> "asyncio.Task[None]":
        rng = random.Random(f"{self.seed} {attempt}")
        number = rng.randrange(len(self.instances))
        host, named = self.place.instance(number), f"relay-{number}.{attempt}"
        call = Question(named, route, host, self.keys[0], DEADLY_TOKENS, body.encode(), segments)
        return self._spawn(self._send(call, False))

    async def _ask_version(self, number: int, version: int) -> int:
        """Ask an instance for the route of a version."""
        self._asked_versions += 1
        attempt = f"relay-{number}.version{self._asked_versions}"
        host = self.place.instance(number)
        await self._send(Question(attempt, version_route(version), host, self.keys[0], 0), False)
        return next(item.status for item in reversed(self.seen) if item.attempt == attempt)

    async def _ask(
        self,
        attempt: str,
        sizes: tuple[int, ...] = PROMPT_TOKENS,
        draws: random.Random | None = None,
    ) -> None:
        rng = self.rng if draws is None else draws
        route = rng.choice(ROUTES)
        number = rng.randrange(len(self.instances))
        host, attempt = self.place.instance(number), f"relay-{number}.{attempt}"
        known = [*self.keys, *self.ended_at_by_key]
        key = rng.choice(known if draws is None else self.keys)
        ended_at = self.ended_at_by_key.get(key)
        key_ended = ended_at is not None and time.monotonic() > ended_at + KEY_SECONDS
        tokens = rng.choice(sizes) if route == "stream" else 0
        segments = segments_of(attempt, route)
        # Any request that runs when a worker ends for no cause of its own is suspected.
        body = b"q" if self.truncation is None else attempt.encode()
        question = Question(attempt, route, host, key, tokens, body, segments)
        await self._send(question, key_ended)

    async def _send(self, call: "Question", key_ended: bool) -> None:
        headers = {
            "host": HOST,
            "x-attempt-id": call.attempt,
            "x-deadline-ms": str(int(REQUEST_SECONDS * 1000)),
            "authorization": f"Bearer {call.key}",
        }
        if call.route == "stream":
            headers["x-token-usage"] = f"{call.tokens},{ANSWER_TOKENS}"
        if call.segments:
            headers["x-prompt-prefix"] = call.segments
        url = f"http://{call.host}:{CALLER_PORT}/{call.route}/x"
        sent_at = time.monotonic()
        try:
            answer = await self.http.call(
                "POST", url, headers, call.body, timeout=REQUEST_SECONDS + 4
            )
            status, body = answer.status, answer.body
        except CallFailedError as error:
            status, body = 0, b""
            if error.fault is not None and not error.fault.is_limit:
                self.findings.add("a reply matches the grammar", f"{call.attempt}: {error}")
        self.seen.append(Seen(call.attempt, call.route, status, body, key_ended))
        number = int(call.attempt.partition(".")[0].removeprefix("relay-"))
        self.partitions.record(number, sent_at, status, body)

    async def _recover(self) -> None:
        """End all faults; then everything must serve again."""
        for link in (*self.store_links, *self.worker_links.values()):
            link.link = Link.OPEN
        await asyncio.gather(*(self.evacuations.clear(center) for center in CENTERS))
        # A worker that has just ended is back in a moment.
        for name in self.workers:
            await self.retry(partial(self.steer, name))
        await asyncio.sleep(QUIET_SECONDS + 4.0)
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            if instance.crashed:
                self.findings.add("no process ends by itself", instance.name)
            instance.start()
        await self.until_ready()
        await asyncio.sleep(QUIET_SECONDS)
        self.ended_at_by_key.clear()
        # A limit holds until an answer to a request names none: one after the other hears that.
        for number in range(LIFTING_REQUESTS):
            await self._ask(f"lift{number}", CALM_TOKENS)
        before = len(self.seen)
        await asyncio.gather(*(self._ask(f"calm{i}", CALM_TOKENS) for i in range(30)))
        failed = [item for item in self.seen[before:] if item.status != 200]
        if failed:
            states = ", ".join(f"{item.attempt} {item.route} {item.status}" for item in failed[:5])
            self.findings.add("after trouble all is served", states)

    async def _audit(self) -> None:
        for name in self.workers:
            body = await self.post(self.port_by_worker[name], "/soak/audit", {})
            audit = msgspec.json.decode(body, type=Audit)
            self.runs.update(audit.runs)
            self.deaths += audit.deaths
            self.unframed += audit.unframed
            self.unframed_cut += audit.unframed_cut
            self.arrivals[name] = [[Arrival(*item) for item in life] for life in audit.arrivals]
            self.wishes[name] = [
                Wishes(life, list(others))
                for life, others in zip(self.arrivals[name], audit.others, strict=True)
            ]
            if audit.leases:
                self.findings.add("no memory stays leased", f"{name}: {audit.leases}")
            if any(other.startswith(ODD_NAME) for other in audit.misdirected):
                self.findings.add("an odd entry names no worker", str(audit.misdirected))
            if audit.working:
                self.findings.add("no work without a caller", f"{name}: {audit.working}")


async def play_seed(
    reactor: Any,
    seed: int,
    seconds: float,
    size: Size,
    place: Place,
    keep: Path,
    deadly: bool = True,
    segments: bool = True,
    ends: bool = False,
) -> bool:
    """Play one seed; tells and returns whether every promise held."""
    folder = keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(reactor, seed, seconds, size, place, folder, deadly, segments, ends)
    await soak.play()
    held = not soak.findings.lines
    (folder / "faults.txt").write_text("\n".join(soak.faults) + "\n")
    print(f"seed {seed}: {'held' if held else 'BROKEN'}; {count_statuses(soak.seen)}", flush=True)
    print(f"  without a length: {soak.unframed}, closed early: {soak.unframed_cut}", flush=True)
    for line in soak.findings.lines[:20]:
        print(f"  {line}", flush=True)
    if not held:
        print(f"  logs: {folder}", flush=True)
    return held


def known_seeds(deadly: bool = False) -> list[int]:
    """Seeds that failed once, with deadly requests or without; a line in the file tells why."""
    lines = SEEDS_FILE.read_text().splitlines()
    words = [line.split() for line in lines if line and not line.startswith("#")]
    return [int(line[0]) for line in words if (line[1] == DEADLY_MARK) is deadly]


def soak(
    seed: int = 0,
    seeds: int = 1,
    seconds: float = 20.0,
    instances: int = 3,
    engines: int = 4,
    plain: int = 3,
    place: int = 0,
    folder: str = "",
    ends: bool = False,
) -> ParsedCommand:
    """Play seeds from seed on; 0 draws a fresh one. Logs stay in the folder.

    ends: workers end in the middle of responses, instead of by requests that end them.

    Soaks that run at the same time need a place each, from 0 on.
    """
    first = seed or random.SystemRandom().randrange(1, 1 << 30)
    keep = Path(folder or tempfile.mkdtemp(prefix="pondpin-soak-"))

    async def play(reactor: Any) -> int:
        # A seed that is cancelled ends its processes.
        playing = asyncio.ensure_future(play_all(reactor))
        call_on_signal(signal.SIGTERM, lambda: _cancel(playing))
        await asyncio.wait((playing,))
        return 1 if playing.cancelled() else playing.result()

    async def play_all(reactor: Any) -> int:
        failed = 0
        for number in range(first, first + seeds):
            size = Size(instances, engines, plain)
            held = await play_seed(
                reactor, number, seconds, size, Place(place), keep, not ends, not ends, ends
            )
            failed += not held
        print(f"{seeds - failed} passed, {failed} failed", flush=True)
        return 1 if failed else 0

    return ParsedCommand(lambda: run(play))


def _cancel(playing: "asyncio.Future[int]") -> None:
    playing.cancel()


def main() -> None:
    """Entry point of python -m pondpin.soak.run."""
    run_command(soak, "pondpin-soak")


if __name__ == "__main__":
    main()
