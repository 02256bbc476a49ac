"""Stand-ins and process control of the cases 4 to 8.

A store, workers and callers as the users' pages describe them, in the process of the case, and
instances as separate processes with the command of the deploy file. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
FRONTEND, READY, CONTROL, INTERNAL, STORE, WORKERS = 8227, 8220, 8229, 7340, 8223, 9101
HOST = "ficu95.example"
BOUNDS: dict[str, Any] = {
    "contactMs": 3000, "drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "strictRevocation": True, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryAllowance": 106,
}  # fmt: skip


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.add(text)
        print(self._lines[-1], flush=True)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass
class Message:
    """A request or a response that arrived whole; names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises IncompleteReadError at the end of the channel."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in text[1:] if line)
    return Message(text[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Message) -> Message:
    """Read the body of a head, with a length or in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        head.body = b"".join(parts)
    else:
        head.body = await reader.readexactly(int(head.headers.get("content-length", "0")))
    return head


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    return await read_body(reader, await read_head(reader))


def encode(first: str, headers: dict[str, str], body: bytes = b"", length: bool = True) -> bytes:
    """A message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: kv-key, kv-range, kv-watch."""

    def __init__(self, record: Record, host: str) -> None:
        self.record = record
        self.host = host
        self.revision = 0
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.misbehave: Callable[[Message, str], Awaitable[bool]] | None = None

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, self.host, STORE, limit=1 << 24)

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.revision += 1
        data = json.dumps(value).encode()
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, made)
        self.history.append((self.revision, key, data))

    def delete(self, key: str) -> None:
        """Take an item away."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_message(reader)
                if self.misbehave is not None and await self.misbehave(request, peer):
                    continue
                status, document = self._answer(request.target)
                body = json.dumps(document).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} OK", kind, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, target: str) -> tuple[int, object]:
        path, _, query = target.partition("?")
        asked = dict(item.partition("=")[::2] for item in query.split("&"))
        if path == "/v1/kv-key":
            item = self.items.get(asked["tlsKey"])
            if item is None:
                return 404, {}
            return 200, self._describe(asked["tlsKey"], item) | {"at": self.revision}
        prefix, since = asked.get("pathPrefix", ""), asked.get("sinceRevision", "")
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > since)
            items = [self._describe(key, self.items[key]) for key in keys]
            return 200, {"items": items, "more": False, "at": self.revision}
        if path != "/v1/kv-watch":
            return 400, {}
        events: list[dict[str, object]] = []
        for revision, key, data in self.history:
            if revision > int(since or 0) and key.startswith(prefix):
                gone: dict[str, object] = {"tlsKey": key, "revision": revision, "gone": True}
                events.append(gone if data is None else self._describe(key, (data, revision, 0)))
        return 200, {"events": events, "at": self.revision}

    def _describe(self, key: str, item: tuple[bytes, int, int]) -> dict[str, object]:
        value = base64.b64encode(item[0]).decode()
        return {"tlsKey": key, "value": value, "revision": item[1], "made": item[2], "lease": 0}


Answer = Callable[["Worker", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


async def plain_answer(
    worker: "Worker", request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Run a request for work_seconds and answer it; whether the channel goes on."""
    await asyncio.sleep(worker.work_seconds)
    worker.reply(writer, request, 200, worker.body_of(request))
    await writer.drain()
    return True


@dataclass(eq=False)
class Worker:
    """A worker with some slots and a short queue; answers requests by `answer`."""

    record: Record
    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 6
    queue: int = 24
    work_seconds: float = 0.05
    answer: Answer = plain_answer
    writes_list: bool = True
    state: str = "ready"
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    arrivals: list[tuple[float, str, Message]] = field(default_factory=list)
    runs: list[tuple[float, str]] = field(default_factory=list)
    server: Any = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    read_body_first: bool = True

    async def start(self) -> None:
        """Listen."""
        self._free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 16)

    def entry(self) -> dict[str, object]:
        """What it writes in the list."""
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "1.0", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence,
        }  # fmt: skip

    def body_of(self, request: Message) -> bytes:
        """The body of its answer."""
        return f"answer of {self.id} to {request.headers.get('x-attempt-id')}".encode()

    def load(self) -> str:
        """Running, waiting, slots."""
        return f"{self.running},{self.waiting},{self.slots}"

    def reply(
        self,
        writer: asyncio.StreamWriter,
        request: Message,
        status: int,
        body: bytes = b"",
        extra: dict[str, str] | None = None,
    ) -> None:
        """Write a whole answer."""
        headers = {"X-Instance-Id": self.id, "X-Instance-Load": self.load()} | (extra or {})
        attempt = request.headers.get("x-attempt-id")
        if attempt is not None:
            headers |= {"X-Attempt-Id": attempt, "X-Instance-Signature": f"{self.id}.{attempt}"}
        writer.write(encode(f"HTTP/1.1 {status} OK", headers, body))

    def end(self) -> None:
        """End as a process does: nothing listens any more, and its channels are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                is_work = "x-attempt-id" in head.headers
                if is_work:
                    self.record.add(f"{self.id} gets {head.headers['x-attempt-id']} {head.target}")
                    self.arrivals.append((self.record.now(), head.headers["x-attempt-id"], head))
                if self.read_body_first:
                    await read_body(reader, head)
                if head.headers.get("x-expect-instance", self.id) != self.id:
                    self.reply(writer, head, 421, extra={"X-Not-Executed": "1"})
                elif not is_work:
                    self._answer_check(writer, head)
                elif self.waiting >= self.queue:
                    self.reply(writer, head, 503, extra={"X-Not-Executed": "1"})
                elif not await self._run(head, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(
        self, head: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append((self.record.now(), head.headers["x-attempt-id"]))
        self.record.add(f"{self.id} runs {head.headers['x-attempt-id']}")
        try:
            return await self.answer(self, head, reader, writer)
        finally:
            self.running -= 1
            self._free.release()

    def _answer_check(self, writer: asyncio.StreamWriter, head: Message) -> None:
        if head.target == "/v1/report":
            report = {
                "stage": "bidirectional", "models": [], "saturated": False, "sequence": 0,
                "queued": self.waiting, "active": self.running, "kvUsed": 0, "kvTotal": 450000,
                "kvHandles": 0, "tickets": [],
            }  # fmt: skip
            body = json.dumps(report).encode()
            self.reply(writer, head, 200, body, {"Content-Type": "application/json"})
        else:
            self.reply(writer, head, 200 if self.state == "ready" else 503)


class Instance:
    """A process of the deploy file."""

    def __init__(self, case: "Case", number: int, zone: str) -> None:
        self.case = case
        self.number = number
        self.zone = zone
        self.host = case.address(number)
        self.name = f"edge-{zone}-{number}"
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = case.folder / f"{self.name}.json"
        self.log = case.folder / f"{self.name}.log"

    def write_settings(self, **bounds: object) -> None:
        """Fill the deploy file's template as the platform does."""
        limits = BOUNDS | bounds
        text = (ROOT / "deploy" / "settings.json").read_text()
        seeds = [f"{self.case.address(n)}:{CONTROL}" for n in range(1, 1 + self.case.seeds)]
        values = {
            "nodeName": self.name, "zone": self.zone, "listen.frontend": f"{self.host}:{FRONTEND}",
            "listen.ready": f"{self.host}:{READY}", "platform.address": f"{self.case.store.host}:{STORE}",
            "listen.controlPlane": f"{self.host}:{CONTROL}", "seedNodes|json": json.dumps(seeds),
            "internalPortRange|json": f"[{INTERNAL},{INTERNAL + 15}]", "limits.memoryMb": "300",
        }  # fmt: skip
        values |= {f"bounds.{key}": json.dumps(value) for key, value in limits.items()}
        values |= {f"bounds.{key}|json": json.dumps(value) for key, value in limits.items()}
        for gap in ("evacuationMs", "coldOverage", "coldTolerance"):
            first, last = f"{{{{#bounds.{gap}}}}}", f"{{{{/bounds.{gap}}}}}"
            text = text[: text.index(first)] + text[text.index(last) + len(last) :]
        for key, value in values.items():
            text = text.replace(f"{{{{{key}}}}}", value)
        self.settings.write_text(text)

    def start(self) -> None:
        """Start the command of the deploy file, with this instance's settings."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        command = role["run"].replace("/etc/pondpin/local.toml", str(self.settings)).split(" ")
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "PONDPIN_BOOT": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=log, stderr=log)
        self.case.record.say(f"{self.name} is started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to it."""
        self.case.record.say(f"{self.name} gets {number.name}")
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Its own resident memory, without the files that it maps."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("RssAnon"))
        return int(line.split()[1]) / 1024

    async def is_ready(self) -> bool:
        """Whether its readiness check answers 200."""
        try:
            async with asyncio.timeout(1.0):
                answer = await ask(self.host, READY, "GET /v1/readyz HTTP/1.1", {"Host": "x"})
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    def end(self) -> None:
        """Kill it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


async def ask(host: str, port: int, first: str, headers: dict[str, str], body: bytes = b"") -> Message:
    """One call on a channel of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(encode(first, headers, body))
        return await read_message(reader)
    finally:
        writer.close()


class Channel:
    """A caller's channel to an instance; one request at a time."""

    def __init__(self, record: Record, host: str, key: str = "key-a") -> None:
        self.record = record
        self.host = host
        self.key = key
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self.host, FRONTEND, limit=1 << 20)

    def close(self) -> None:
        """Close."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    def reset(self) -> None:
        """Close with a reset."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    def write(
        self,
        attempt: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        deadline_ms: int = 4000,
    ) -> None:
        """Send a request."""
        assert self.writer is not None
        head = {
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
        }  # fmt: skip
        if self.key:
            head["Authorization"] = f"Bearer {self.key}"
        self.record.add(f"client sends {attempt} {method} {path} to {self.host}")
        self.writer.write(encode(f"{method} {path} HTTP/1.1", head | (headers or {}), body))

    async def read(self, attempt: str, seconds: float) -> Message | None:
        """Read the answer; None if the channel ends or nothing comes in time."""
        assert self.reader is not None
        try:
            async with asyncio.timeout(seconds):
                answer = await read_message(self.reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.add(f"client gets no answer to {attempt}: {type(error).__name__}")
            return None
        self.record.add(f"client gets {answer.status} for {attempt}: {answer.body[:200]!r}")
        return answer


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """A route as the operator writes it."""
    return {
        "name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeType": kind,
        "service": service, "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 2,
        "maxAttempts": 1 if kind == "unsafe" else 2,
    } | more  # fmt: skip


class Case:
    """A small deployment: a store, workers and instances on loopback addresses."""

    def __init__(self, folder: Path, seeds: int = 1) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seeds = seeds
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.record, self.address(250))
        self.workers: list[Worker] = []
        self.instances: list[Instance] = []
        self.configuration: dict[str, Any] = {}

    def address(self, number: int) -> str:
        """A loopback address of this run."""
        return f"{self._net}.{number}"

    def worker(self, name: str, service: str, **more: Any) -> Worker:
        """Add a worker."""
        number = len(self.workers)
        zone = more.pop("zone", "zone-a")
        host, port = more.pop("host", self.address(200)), more.pop("port", WORKERS + number)
        worker = Worker(self.record, name, service, host, port, zone, **more)
        self.workers.append(worker)
        return worker

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration."""
        version = self.configuration.get("version", 0) + 3
        self.configuration = self.configuration | changes | {"version": version}
        self.store.put("op/config", self.configuration)
        self.record.say(f"configuration {version} is confirmed: {', '.join(changes)}")

    async def start(self, instances: int = 1, zones: tuple[str, ...] = ("zone-a",)) -> None:
        """Start all and wait until the instances are ready."""
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.list(worker)
        self._beat = asyncio.create_task(self._beat_always())
        for number in range(1, instances + 1):
            instance = Instance(self, number, zones[(number - 1) % len(zones)])
            instance.write_settings()
            instance.start()
            self.instances.append(instance)
        for instance in self.instances:
            await self.until_ready(instance)

    async def until_ready(self, instance: Instance, seconds: float = 20.0) -> None:
        """Wait until an instance is ready."""
        ends_at = time.monotonic() + seconds
        while not await instance.is_ready():
            if time.monotonic() > ends_at:
                raise RuntimeError(f"{instance.name} does not become ready")
            await asyncio.sleep(0.1)
        self.record.say(f"{instance.name} is ready")

    def list(self, worker: Worker) -> None:
        """Write a worker's entry."""
        self.store.put(f"servers/{worker.id}", worker.entry())

    async def _beat_always(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                if worker.writes_list:
                    self.list(worker)

    def end(self) -> None:
        """End all processes and write the record."""
        for instance in self.instances:
            instance.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write()


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]], seconds: float = 110.0) -> int:
    """Play a case; 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    # Whoever ends the script from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    case = Case(folder)

    async def run() -> bool:
        # Channels that are open at the end are cancelled: that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(seconds):
            return await play(case)

    try:
        return 1 if asyncio.run(run()) else 0
    except Exception as error:  # the case could not run
        case.record.say(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        case.end()
