"""Measures what the hop through an entry instance costs, against calling the engine directly."""

import asyncio
import json
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from pondpin.body_ends import BodyEnd
from pondpin.engine_client import FrameReader, HttpEngines
from pondpin.engine_protocol import StreamRequest
from pondpin.http_client import HttpClient
from pondpin.http_streams import ResponseStream
from pondpin.runtime import ParsedCommand, run, run_command, steady_now, wall_now
from pondpin.standins.local_fleet import HOST, SHARED_KEY, free_port, key_hash
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Caller, Question
from pondpin.tools.processes import Measured, start_module
from pondpin.tools.summary import Percentiles, take_percentiles

KEY = "hop-key"
MODEL = "assistant"
PROMPT = "Saan ang pinakamalapit na dock? " * 40
STREAMS = 500
STREAM_TOKENS = 120
RATE = 100.0
RATE_SECONDS = 10.0
SHORT_ANSWER = 4
MICRO = 1e6
IDLE_SECONDS = 3.0
MEBI = 1 << 20


class HopResult(msgspec.Struct, frozen=True, kw_only=True):
    """What was measured. CPU is the entry instance's, in microseconds; bare is a pass-through
    on the same libraries without any decision; idle CPU is taken off.
    """

    cpu_us_per_chunk: float
    cpu_us_per_request: float
    bare_us_per_chunk: float
    bare_us_per_request: float
    chunk_by_bare: float
    idle_cpu_share: float
    resident_idle_mib: float
    resident_streams_mib: float
    streams_whole: int
    direct_first_token: Percentiles
    hop_first_token: Percentiles
    added_p50_ms: float
    added_p95_ms: float


class FirstToken:
    """Notes when the first frame of a direct stream came, and reads it to its end."""

    def __init__(self, started: float) -> None:
        self._started = started
        self._reader = FrameReader()
        self.first: float | None = None
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_data(self, data: bytes) -> None:
        """Take bytes."""
        if self.first is None and self._reader.feed(data):
            self.first = steady_now() - self._started

    def on_end(self, end: BodyEnd) -> None:
        """The stream ended."""
        if not self.ended.done():
            self.ended.set_result(None)


class Hop:
    """One engine, one platform and one entry instance as processes."""

    def __init__(self, reactor: Any, folder: Path) -> None:
        self.folder = folder
        self.client = HttpClient(reactor, 2.0, per_host=1000)
        self.engine_address = f"{HOST}:{free_port()}"
        self.platform_address = f"{HOST}:{free_port()}"
        self.callers_address = f"{HOST}:{free_port()}"
        self.processes: list[Measured] = []
        self.idle_share = 0.0

    def start(self) -> Measured:
        """Start all; returns the entry instance."""
        configuration = {
            "models": {MODEL: {}},
            "upstreams": {
                "engine-1": {
                    "kind": "engine",
                    "address": self.engine_address,
                    "data_center": "dc-a",
                    "model": MODEL,
                }
            },
            "accounts": {"hop": {"keys_sha256": [key_hash(KEY)]}},
            "rules": [{"name": "all", "match": "", "upstreams": "", "allowed_seconds": 120}],
        }
        settings = {
            "instance": "entry-1",
            "data_center": "dc-a",
            "shared_key": SHARED_KEY,
            "callers": {"address": self.callers_address},
            "operators": {"address": f"{HOST}:{free_port()}"},
            "platform": {"address": self.platform_address},
            "peers": {"listen": {"address": f"{HOST}:{free_port()}"}},
            "log_level": "error",
        }
        (self.folder / "configuration.json").write_text(json.dumps(configuration))
        (self.folder / "settings.json").write_text(json.dumps(settings))
        engine = start_module(
            "pondpin.tools.measure_engine", "--address", self.engine_address, "--model", MODEL
        )
        platform = start_module(
            "pondpin.standins.platform",
            "--address",
            self.platform_address,
            "--configuration",
            str(self.folder / "configuration.json"),
        )
        self.processes = [engine, platform]
        for process in self.processes:
            process.wait_ready()
        entry = start_module("pondpin.main", "--settings", str(self.folder / "settings.json"))
        self.processes.append(entry)
        entry.wait_ready()
        return entry

    async def measure(self, entry: Measured) -> HopResult:
        """All measurements, one after the other."""
        await asyncio.sleep(2.0)
        idle = entry.resident_bytes()
        before = entry.cpu_seconds()
        await asyncio.sleep(IDLE_SECONDS)
        self.idle_share = (entry.cpu_seconds() - before) / IDLE_SECONDS
        caller = Caller(self.client, Balancer([self.callers_address]), steady_now)
        await self._at_rate(lambda number: self._ask(caller, number, SHORT_ANSWER), 2.0)
        hop, per_request = await self._requests(caller, entry)
        direct = await self._at_rate(self._ask_directly)
        streams, resident, per_chunk = await self._streams(caller, entry, per_request)
        bare_request, bare_chunk = await self._measure_bare()
        hop_p, direct_p = take_percentiles(hop), take_percentiles(direct)
        return HopResult(
            cpu_us_per_chunk=per_chunk * MICRO,
            cpu_us_per_request=per_request * MICRO,
            bare_us_per_chunk=bare_chunk * MICRO,
            bare_us_per_request=bare_request * MICRO,
            chunk_by_bare=per_chunk / bare_chunk,
            idle_cpu_share=self.idle_share,
            resident_idle_mib=idle / MEBI,
            resident_streams_mib=resident / MEBI,
            streams_whole=streams,
            direct_first_token=direct_p,
            hop_first_token=hop_p,
            added_p50_ms=(hop_p.p50 - direct_p.p50) * 1000,
            added_p95_ms=(hop_p.p95 - direct_p.p95) * 1000,
        )

    async def _requests(self, caller: Caller, served: Measured) -> tuple[list[float], float]:
        """Times to the first token at the rate, and processor seconds for each request."""
        before, started = served.cpu_seconds(), steady_now()
        times = await self._at_rate(lambda number: self._ask(caller, number, SHORT_ANSWER))
        idle = self.idle_share * (steady_now() - started)
        return times, (served.cpu_seconds() - before - idle) / len(times)

    async def _measure_bare(self) -> tuple[float, float]:
        """Processor seconds of the pass-through for each request and chunk."""
        address = f"{HOST}:{free_port()}"
        bare = start_module(
            "pondpin.tools.measure_bare", "--address", address, "--engine", self.engine_address
        )
        self.processes.append(bare)
        bare.wait_ready()
        self.idle_share = 0.0
        before = bare.cpu_seconds()
        count = len(await self._at_rate(lambda number: self._pass(address, number, SHORT_ANSWER)))
        per_request = (bare.cpu_seconds() - before) / count
        before = bare.cpu_seconds()
        await asyncio.gather(
            *(self._pass(address, number, STREAM_TOKENS) for number in range(STREAMS))
        )
        used = bare.cpu_seconds() - before - STREAMS * per_request
        return per_request, used / (STREAMS * STREAM_TOKENS)

    async def _pass(self, address: str, number: int, tokens: int) -> float:
        """One stream through the pass-through."""
        body = {"model": MODEL, "prompt": f"{number} {PROMPT}", "max_tokens": tokens}
        url = f"http://{address}/v1/completions"
        sink = FirstToken(steady_now())
        start = await self.client.open("POST", url, body=msgspec.json.encode(body))
        stream = start.deliver(sink)
        await sink.ended
        stream.close()
        assert sink.first is not None, "the stream has frames"
        return sink.first

    async def _at_rate(
        self, ask: Callable[[int], Awaitable[float]], seconds: float = RATE_SECONDS
    ) -> list[float]:
        """Ask at random times; returns the times to the first token."""
        rng = random.Random(5)
        tasks = []
        started, at, number = steady_now(), 0.0, 0
        while at < seconds:
            await asyncio.sleep(max(0.0, started + at - steady_now()))
            tasks.append(asyncio.ensure_future(ask(number)))
            at += rng.expovariate(RATE)
            number += 1
        return list(await asyncio.gather(*tasks))

    async def _ask(self, caller: Caller, number: int, tokens: int) -> float:
        prompt = f"{number} {PROMPT}"
        asked = await caller.ask(Question("hop", "short", KEY, MODEL, prompt, tokens, 100.0))
        assert asked.whole and asked.first_token is not None, asked.code
        return asked.first_token

    async def _ask_directly(self, number: int) -> float:
        engines = HttpEngines(self.client)
        request = StreamRequest(
            request=f"direct-{number}-{random.getrandbits(40):x}",
            attempt=0,
            instance="direct",
            incarnation=1,
            model=MODEL,
            prompt=f"{number} {PROMPT}",
            max_tokens=SHORT_ANSWER,
            priority=50,
            deadline=wall_now() + 100,
        )
        sink = FirstToken(steady_now())
        start = await engines.submit(self.engine_address, request)
        stream: ResponseStream = start.deliver(sink)
        await sink.ended
        stream.close()
        assert sink.first is not None, "the engine answers"
        return sink.first

    async def _streams(
        self, caller: Caller, entry: Measured, per_request: float
    ) -> tuple[int, int, float]:
        """Many streams at once: how many were whole, the most memory resident, and
        processor seconds for each chunk.
        """
        before, started = entry.cpu_seconds(), steady_now()
        tasks = [
            asyncio.ensure_future(self._ask(caller, number, STREAM_TOKENS))
            for number in range(STREAMS)
        ]
        most = 0
        gathered = asyncio.gather(*tasks)
        while not gathered.done():
            most = max(most, entry.resident_bytes())
            await asyncio.wait({gathered}, timeout=0.2)
        idle = self.idle_share * (steady_now() - started)
        used = entry.cpu_seconds() - before - idle - STREAMS * per_request
        return len(await gathered), most, used / (STREAMS * STREAM_TOKENS)

    async def stop(self) -> None:
        """Stop all."""
        await self.client.close()
        for process in self.processes:
            process.stop()


def hop() -> ParsedCommand:
    """Measure the hop and print the result as JSON."""

    async def work(reactor: Any) -> int:
        with tempfile.TemporaryDirectory() as folder:
            measured = Hop(reactor, Path(folder))
            try:
                result = await measured.measure(measured.start())
            finally:
                await measured.stop()
        print(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
        return 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(hop, "measure_hop")
