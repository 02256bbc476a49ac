"""Once-only calls against separate processes under random kills, pauses and lost answers."""

import asyncio
import json
import random
import signal
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pondpin.codes import Ran
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, run, run_command, steady_now
from pondpin.standins.faults import Faults
from pondpin.standins.local_fleet import HOST, SHARED_KEY, free_port, key_hash
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Done, OnceCaller
from pondpin.tools.processes import Measured, start_module

KEY = "once-key"
ENTRIES = 4
AT_ONCE = 48
PATIENCE_SECONDS = 1.5
FAULT_SECONDS = (0.5, 1.5)
PAUSE_SECONDS = (0.3, 3.0)
SETTLE_SECONDS = 4.0


class OnceResult(msgspec.Struct, frozen=True, kw_only=True):
    """What was found over all calls."""

    calls: int
    ran: int
    not_run: int
    unknown: int
    run_twice: int
    not_run_that_ran: int
    said_ran_that_did_not: int
    unknown_that_ran: int
    unknown_share: float
    kills: int
    pauses: int
    drops: int
    seconds: float


@dataclass
class Deployment:
    """Processes of a small deployment whose instances are killed and paused."""

    folder: Path
    client: HttpClient
    rng: random.Random
    platform: str = field(default_factory=lambda: f"{HOST}:{free_port()}")
    service: str = field(default_factory=lambda: f"{HOST}:{free_port()}")
    faults: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Choose addresses and write the files."""
        self.callers = [f"{HOST}:{free_port()}" for _ in range(ENTRIES)]
        peers = [f"{HOST}:{free_port()}" for _ in range(ENTRIES)]
        upstream = {
            "kind": "service",
            "address": self.service,
            "data_center": "dc-a",
            "service": "dock",
        }
        rule = {
            "name": "all",
            "match": "service=dock",
            "upstreams": "",
            "repeatable": False,
            "token_required": True,
            "allowed_seconds": 5,
        }
        configuration = {
            "models": {},
            "upstreams": {"dock-1": upstream},
            "accounts": {"once": {"keys_sha256": [key_hash(KEY)]}},
            "rules": [rule],
        }
        (self.folder / "configuration.json").write_text(json.dumps(configuration))
        for number in range(ENTRIES):
            settings = {
                "instance": f"entry-{number}",
                "data_center": "dc-a",
                "shared_key": SHARED_KEY,
                "callers": {"address": self.callers[number]},
                "operators": {"address": f"{HOST}:{free_port()}"},
                "platform": {"address": self.platform},
                "peers": {
                    "listen": {"address": peers[number]},
                    "known": [peer for peer in peers if peer != peers[number]],
                    "heartbeat_seconds": 0.3,
                },
                "log_level": "error",
            }
            (self.folder / f"entry-{number}.json").write_text(json.dumps(settings))

    def start(self) -> None:
        """Start all processes."""
        files = str(self.folder / "configuration.json")
        self.others = [
            start_module(
                "pondpin.standins.platform", "--address", self.platform, "--configuration", files
            ),
            start_module("pondpin.standins.service", "--address", self.service, "--name", "dock"),
        ]
        for process in self.others:
            process.wait_ready()
        self.entries = [self._start_entry(number) for number in range(ENTRIES)]
        for process in self.entries:
            process.wait_ready()

    def _start_entry(self, number: int) -> Measured:
        return start_module("pondpin.main", "--settings", str(self.folder / f"entry-{number}.json"))

    async def break_things(self) -> None:
        """One fault after another, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_SECONDS))
            number = self.rng.randrange(ENTRIES)
            kind = self.rng.choice(["kill", "pause", "pause", "drop"])
            self.faults[kind] += 1
            match kind:
                case "kill":
                    process = self.entries[number].process
                    process.kill()
                    process.wait()
                    self.entries[number] = self._start_entry(number)
                case "pause":
                    await self._pause(number)
                case _:
                    await self._drop()

    async def _pause(self, number: int) -> None:
        process = self.entries[number].process
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
        finally:
            process.send_signal(signal.SIGCONT)

    async def _drop(self) -> None:
        """The service cuts some calls, before and after they ran."""
        faults = Faults(drop_before=self.rng.randrange(3), drop_after=self.rng.randrange(3))
        url = f"http://{self.service}/faults"
        await self.client.call("POST", url, body=msgspec.json.encode(faults))

    async def audit(self) -> dict[str, int]:
        """How often each call ran, by the service's own count."""
        answer = await self.client.call("GET", f"http://{self.service}/audit")
        times: dict[str, int] = json.loads(answer.body)
        return times

    def stop(self) -> None:
        """Stop all processes."""
        for process in (*self.entries, *self.others):
            process.stop()


async def make_calls(caller: OnceCaller, count: int) -> dict[str, Done]:
    """Make calls, many at once; returns what each caller was told last."""
    told: dict[str, Done] = {}
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            call = f"call-{number}"
            body = msgspec.json.encode({"call": call})
            while call not in told:
                try:
                    told[call] = await caller.call(KEY, "dock", "/unlock", body)
                except CallFailedError:
                    await asyncio.sleep(0.2)  # no instance gave a token: nothing was sent yet

    await asyncio.gather(*(work() for _ in range(AT_ONCE)))
    return told


def sum_up(
    told: dict[str, Done], times: dict[str, int], faults: Counter[str], seconds: float
) -> OnceResult:
    """Compare what callers were told with what the service counted."""
    by_ran = Counter(done.ran for done in told.values())

    def count(ran: Ran, did_run: bool) -> int:
        return sum(
            done.ran is ran and (times.get(call, 0) > 0) is did_run for call, done in told.items()
        )

    return OnceResult(
        calls=len(told),
        ran=by_ran[Ran.RAN],
        not_run=by_ran[Ran.NOT_RUN],
        unknown=by_ran[Ran.UNKNOWN],
        run_twice=sum(number > 1 for number in times.values()),
        not_run_that_ran=count(Ran.NOT_RUN, True),
        said_ran_that_did_not=count(Ran.RAN, False),
        unknown_that_ran=count(Ran.UNKNOWN, True),
        unknown_share=by_ran[Ran.UNKNOWN] / max(1, len(told)),
        kills=faults["kill"],
        pauses=faults["pause"],
        drops=faults["drop"],
        seconds=seconds,
    )


def once(calls: int = 20000, seed: int = 1) -> ParsedCommand:
    """Make calls under faults and print what was found; status 1 when a promise was broken."""

    async def work(reactor: Any) -> int:
        client = HttpClient(reactor, 1.0)
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(Path(folder), client, random.Random(seed))
            deployment.start()
            await asyncio.sleep(2.0)
            breaking = asyncio.create_task(deployment.break_things())
            started = steady_now()
            caller = OnceCaller(
                client, Balancer(deployment.callers), steady_now, patience=PATIENCE_SECONDS
            )
            told = await make_calls(caller, calls)
            seconds = steady_now() - started
            breaking.cancel()
            await asyncio.gather(breaking, return_exceptions=True)
            await asyncio.sleep(SETTLE_SECONDS)  # late calls of paused instances come in
            times = await deployment.audit()
            deployment.stop()
        await client.close()
        result = sum_up(told, times, deployment.faults, seconds)
        print(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
        broken = result.run_twice or result.not_run_that_ran or result.said_ran_that_did_not
        return 1 if broken else 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(once, "measure_once")
