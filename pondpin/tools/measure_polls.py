"""Measures what polling upstreams costs an entry instance: idle, with few and with many engines."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from pondpin.network import Endpoint
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.engine import Engine, EngineOptions
from pondpin.standins.local_fleet import HOST, SHARED_KEY, free_port
from pondpin.tools.measure_peers import loopback_bytes
from pondpin.tools.processes import Measured, start_module

COUNTS = (2, 42)
SECONDS = 10.0
SETTLE_SECONDS = 3.0
POLLS_PER_SECOND = 2.0
MICRO = 1e6
MODEL = "assistant"


class PollResult(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes for one poll, and what an instance with no engine would use."""

    poll_cpu_us: float
    poll_bytes: float
    idle_cpu_share: float
    resident_by_engine: float


async def measure_count(reactor: Any, count: int) -> tuple[float, float, int]:
    """CPU share, bytes a second and memory of an instance before a number of engines."""
    engines = [Engine(reactor, EngineOptions(model=MODEL)) for _ in range(count)]
    addresses = [str(await engine.start(Endpoint(HOST, 0))) for engine in engines]
    with tempfile.TemporaryDirectory() as folder:
        processes = start_processes(Path(folder), addresses)
        await asyncio.sleep(SETTLE_SECONDS)
        entry = processes[-1]
        cpu, sent = entry.cpu_seconds(), loopback_bytes()
        await asyncio.sleep(SECONDS)
        share = (entry.cpu_seconds() - cpu) / SECONDS
        rate = (loopback_bytes() - sent) / SECONDS
        resident = entry.resident_bytes()
        for process in processes:
            process.stop()
    for engine in engines:
        await engine.stop()
    return share, rate, resident


def start_processes(folder: Path, addresses: list[str]) -> list[Measured]:
    """A platform and an entry instance before engines at addresses."""
    platform = f"{HOST}:{free_port()}"
    upstreams = {
        f"engine-{number}": {
            "kind": "engine",
            "address": address,
            "data_center": "dc-a",
            "model": MODEL,
        }
        for number, address in enumerate(addresses)
    }
    configuration = {
        "models": {MODEL: {}},
        "upstreams": upstreams,
        "accounts": {},
        "rules": [],
    }
    settings = {
        "instance": "entry-1",
        "data_center": "dc-a",
        "shared_key": SHARED_KEY,
        "callers": {"address": f"{HOST}:{free_port()}"},
        "operators": {"address": f"{HOST}:{free_port()}"},
        "platform": {"address": platform},
        "peers": {"listen": {"address": f"{HOST}:{free_port()}"}},
        "timing": {"load_poll": 1 / POLLS_PER_SECOND},
        "log_level": "error",
    }
    (folder / "configuration.json").write_text(json.dumps(configuration))
    (folder / "settings.json").write_text(json.dumps(settings))
    first = start_module(
        "pondpin.standins.platform",
        "--address",
        platform,
        "--configuration",
        str(folder / "configuration.json"),
    )
    first.wait_ready()
    entry = start_module("pondpin.main", "--settings", str(folder / "settings.json"))
    entry.wait_ready()
    return [first, entry]


def polls() -> ParsedCommand:
    """Measure and print the result as JSON."""

    async def work(reactor: Any) -> int:
        few, many = COUNTS
        low = await measure_count(reactor, few)
        high = await measure_count(reactor, many)
        more = (many - few) * POLLS_PER_SECOND
        slope = (high[0] - low[0]) / more
        result = PollResult(
            poll_cpu_us=slope * MICRO,
            poll_bytes=(high[1] - low[1]) / more,
            idle_cpu_share=low[0] - slope * few * POLLS_PER_SECOND,
            resident_by_engine=(high[2] - low[2]) / (many - few),
        )
        print(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
        return 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(polls, "measure_polls")
