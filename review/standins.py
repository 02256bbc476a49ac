"""Stand-ins for the platform's store, workers and clients, and the start of instances.

Only the standard library is used. Every address is a loopback address with free ports. All
stand-ins of a case run in one process (the one that runs the case); instances are processes of
their own, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
JSON_TYPE = ("Content-Type", "application/json")
HOST = "ficu95.example"
ENGINE = {
    "slots": 8, "kvCapacityTokens": 450000, "kvBytes": 327680, "stride": 46, "step_ms": 0.925,
    "per_seq_ms": 0.00966, "context_per_k": 0.00254, "read_per_s": 256000.0,
    "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.1,
}  # fmt: skip


class Record:
    """Everything that was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_message(reader):
    """A whole HTTP/1.1 message: start line, headers (lower case) and body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], headers, body


def message(status, headers=(), body=b"", length=True):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


ENDS = (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError)


class Server:
    """An HTTP server; answer(request line, headers, body, writer) sends the answers itself."""

    def __init__(self):
        self._server = None
        self.writers = set()

    async def listen(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.host, self.port = self._server.sockets[0].getsockname()
        self.address = f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.answer(*request, reader, writer):
                    break
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self._server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's metadata store: linearizable reads, one revision counter."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.revision = 0
        self.items = {}
        self.history = []

    def put(self, key, value):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"tlsKey": key, "value": text, "revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        # The store's acknowledgement is from this moment on.
        self._record.write(f"store acknowledges {key} at revision {self.revision}")
        return self._record.now()

    async def answer(self, line, headers, body, reader, writer):
        path, _, text = line.split(" ")[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix = query.get("pathPrefix", "")
        status, document = 404, {}
        if path == "/v1/kv-key":
            item = self.items.get(query.get("tlsKey", ""))
            if item is not None:
                status, document = 200, {**item, "at": self.revision}
        elif path == "/v1/kv-range":
            after = query.get("sinceRevision", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            status = 200
            document = {"items": items, "more": len(keys) > 500, "at": self.revision}
        elif path == "/v1/kv-watch":
            since = int(query.get("sinceRevision", "0"))
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [
                    item for item in self.history
                    if item["revision"] > since and item["tlsKey"].startswith(prefix)
                ]  # fmt: skip
                if events or time.monotonic() >= until:
                    break
                await asyncio.sleep(0.01)
            status, document = 200, {"events": events, "at": self.revision}
        answer = json.dumps(document).encode()
        await asyncio.sleep(0.004)
        writer.write(message(status, [("Content-Type", "application/json")], answer))
        await writer.drain()
        return True


class Worker(Server):
    """A plain worker: runs each request for work_s and answers it whole."""

    def __init__(self, record, name, service, slots=6, work_s=0.06, queue=24):
        super().__init__()
        self.record, self.id, self.service, self.slots = record, name, service, slots
        self.work_s, self.queue = work_s, queue
        self.turns = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        # Each run: attempt id, tenant, moment.
        self.runs = []
        self.state = "ready"

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": "burnaby-a", "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "stage": "bidirectional", "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }  # fmt: skip

    def load(self):
        return ("X-Instance-Load", f"{self.running},{self.waiting},{self.slots}")

    async def answer(self, line, headers, body, reader, writer):
        path = line.split(" ")[1]
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(message(status, [("X-Instance-Id", self.id), self.load()]))
            return True
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(message(421, [("X-Instance-Id", self.id)]))
            return True
        return await self.work(line, headers, body, attempt, reader, writer)

    async def work(self, line, headers, body, attempt, reader, writer):
        self.record.write(f"{self.id} receives {attempt}, tenant {headers.get('x-tenant')}")
        back = [("X-Attempt-Id", attempt)]
        if self.waiting >= self.queue:
            writer.write(message(503, [*back, ("X-Not-Executed", "1"), self.load()]))
            self.record.write(f"{self.id} turns {attempt} away")
            return True
        self.waiting += 1
        async with self.turns:
            self.waiting -= 1
            self.running += 1
            self.runs.append((attempt, headers.get("x-tenant"), self.record.now()))
            self.record.write(f"{self.id} runs {attempt}")
            await asyncio.sleep(self.work_s)
            self.running -= 1
        answer = f"{self.id} answers {attempt}".encode()
        signature = ("X-Instance-Signature", f"{self.id}.{attempt}")
        writer.write(message(200, [*back, signature, self.load()], answer))
        await writer.drain()
        return True


class Engine(Worker):
    """A model worker: prompts are read one after the other at the published rate, then written.

    Memory is set aside by orders; a prompt with helpers is read in even parts by all of them.
    """

    by_address: dict = {}

    def __init__(self, record, name, service, slots=8):
        super().__init__(record, name, service, slots)
        self.reading = asyncio.Lock()
        self.tickets = {}
        self.used = 0
        # When each request was at work here: attempt id, moment of arrival and end.
        self.arrivals = []

    async def listen(self, host):
        await super().listen(host)
        Engine.by_address[self.address] = self

    def _free(self):
        now = time.monotonic()
        self.tickets = {key: item for key, item in self.tickets.items() if item[1] > now}
        return ENGINE["kvCapacityTokens"] - sum(item[0] for item in self.tickets.values())

    async def answer(self, line, headers, body, reader, writer):
        path = line.split(" ")[1]
        if path == "/v1/report":
            free = self._free()
            document = {
                "stage": "bidirectional", "models": [{"name": "m", "version": 1, "adapters": []}],
                "saturated": False, "sequence": 0, "queued": self.waiting, "active": self.running,
                "kvUsed": ENGINE["kvCapacityTokens"] - free, "kvHandles": 0,
                "kvTotal": ENGINE["kvCapacityTokens"],
            }  # fmt: skip
            writer.write(message(200, [JSON_TYPE], json.dumps(document).encode()))
            return True
        if path == "/v1/order":
            writer.write(self._order(json.loads(body)))
            return True
        return await super().answer(line, headers, body, reader, writer)

    def _order(self, order):
        status = 200
        if order["op"] == "release":
            self.tickets.pop(order["id"], None)
        else:
            known = self.tickets.get(order["id"], (0, 0))[0]
            if order["tokenCount"] > self._free() + known:
                status = 409
            else:
                until = time.monotonic() + order["holdMs"] / 1000
                self.tickets[order["id"]] = (order["tokenCount"], until)
        return message(status, [JSON_TYPE], json.dumps({"free": self._free()}).encode())

    async def _read_part(self, seconds):
        async with self.reading:
            await asyncio.sleep(seconds)

    async def work(self, line, headers, body, attempt, reader, writer):
        self.record.write(f"{self.id} receives {attempt}, helpers {headers.get('helpers', 'none')}")
        self.arrivals.append((attempt, self.record.now()))
        prompt, answer = (int(item) for item in headers["x-token-usage"].split(","))
        names = [item.split("/")[0] for item in headers.get("helpers", "").split(",") if item]
        engines = {self.address: self} | {name: Engine.by_address[name] for name in names}
        pairs = prompt * prompt / 2 / 1e6
        whole = prompt / ENGINE["read_per_s"] + pairs * ENGINE["pairs_per_m"] / 1000
        self.running += 1
        working = asyncio.ensure_future(self._stream(writer, attempt, answer, engines, whole))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((working, closed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.running -= 1
            if not working.done():
                self.record.write(f"{self.id} drops {attempt}: its channel closed")
            working.cancel()
            closed.cancel()
        return False

    async def _stream(self, writer, attempt, answer, engines, whole):
        seconds = whole / len(engines)
        await asyncio.gather(*(engine._read_part(seconds) for engine in engines.values()))
        self.runs.append((attempt, None, self.record.now()))
        self.record.write(f"{self.id} runs {attempt}: first token")
        lines = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"X-Attempt-Id: {attempt}",
            f"X-Instance-Signature: {self.id}.{attempt}", "Transfer-Encoding: chunked",
            "Connection: close",
        ]  # fmt: skip
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, -(-answer // ENGINE["stride"]) + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(ENGINE["stride"] * ENGINE["step_ms"] / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"{self.id} ends {attempt}")


class Sent:
    """A client's request and what came of it; status 0: the channel ended without an answer."""

    def __init__(self, attempt, at):
        self.attempt, self.at = attempt, at
        self.status, self.ended_at, self.body, self.whole = 0, 0.0, b"", False
        self.headers = {}


class Client:
    """A client that opens a channel for each request; ids are never used twice."""

    def __init__(self, record):
        self._record = record
        self._random = random.Random()

    async def send(self, address, method, path, key="", headers=(), body=b"", deadline_s=4.0,
                   give_up_s=None, note=""):  # fmt: skip
        attempt = f"{self._random.getrandbits(64):016x}"
        host, _, port = address.rpartition(":")
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {int(deadline_s * 1000)}", f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]  # fmt: skip
        if key:
            lines.append(f"Authorization: Bearer {key}")
        sent = Sent(attempt, 0.0)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            sent.at = self._record.now()
            self._record.write(f"client sends {attempt} {note}")
            limit = deadline_s if give_up_s is None else give_up_s
            await asyncio.wait_for(self._receive(reader, sent), limit)
            what = f"gets {sent.status} {'whole' if sent.whole else 'incomplete'}"
        except TimeoutError:
            what = "closes its channel without an answer"
        except ENDS as error:
            what = f"finds its channel ended ({type(error).__name__}), status {sent.status}"
        finally:
            if writer is not None:
                writer.close()
        sent.ended_at = self._record.now()
        self._record.write(f"client {what} for {attempt} after {sent.ended_at - sent.at:.3f} s")
        return sent

    async def _receive(self, reader, sent):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        sent.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            sent.headers[name.strip().lower()] = value.strip()
        if "content-length" in sent.headers:
            sent.body = await reader.readexactly(int(sent.headers["content-length"]))
            sent.whole = True
            return
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            sent.body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                sent.whole = True
                return


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Deployment:
    """A store, workers and instances of one zone."""

    def __init__(self, folder, count=2, grace_s=8, bounds=None):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.client = Client(self.record)
        base = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.hosts = [f"{base}.{number + 1}" for number in range(count)]
        self.standins = f"{base}.200"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._grace_s = grace_s
        self._bounds = bounds or {}
        self.processes = []
        self.workers = []

    async def add_worker(self, worker, lists=True):
        await worker.listen(self.standins)
        self.workers.append(worker)
        if lists:
            self.store.put(f"servers/{worker.id}", worker.entry())

    async def start(self):
        await self.store.listen(self.standins)

    async def start_instances(self):
        """Start the instances as the deploy file says, and wait until all are ready."""
        ports = {name: self._common_port() for name in ("callers", "ready", "documents", "metrics")}
        internal = self._common_port(both=True)
        self.callers = [f"{host}:{ports['callers']}" for host in self.hosts]
        for number, host in enumerate(self.hosts):
            self._start_instance(number, host, ports, internal)
        for host in self.hosts:
            await self._until_ready(f"{host}:{ports['ready']}")

    def _common_port(self, both=False):
        while True:
            port = random.randint(20000, 31000)
            try:
                for host in self.hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)[: 2 if both else 1]:
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
                return port
            except OSError:
                continue

    def _start_instance(self, number, host, ports, internal):
        # As deploy/settings.json, filled in.
        limits = {
            "key_ms": 5000, "keys_need_proof": True, "configuration_ms": 2000, "retry_ratio": 0.2,
            "retry_allowance": 104, "retry_window_seconds": 10, "grace_seconds": self._grace_s,
            "memory_mebibytes": 300,
        }  # fmt: skip
        settings = {
            "instance": f"edge-burnaby-a-{number + 1}",
            "data_center": "burnaby-a",
            "callers": f"{host}:{ports['callers']}",
            "ready": f"{host}:{ports['ready']}",
            "source": self.store.address,
            "peers": {
                "documents": f"{host}:{ports['documents']}",
                "known": [f"{other}:{ports['documents']}" for other in self.hosts[:3]],
                "ports": [internal, internal + 15],
            },
            "limits": limits | self._bounds,
            "identity_key": self.store.address,
            "metrics_port": ports["metrics"],
        }
        path = Path(self._folder.name) / f"local-{number}.toml"
        path.write_text(json.dumps(settings))
        log = open(Path(self._folder.name) / f"log-{number}.txt", "wb")
        command = ["python3", "-S", "-m", "pondpin.main", f"--settings={path}"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | {"PYTHONPATH": str(ROOT / "target" / "deps")}
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        self.processes.append(process)
        self.record.write(f"instance {number + 1} starts")

    async def _until_ready(self, address):
        host, _, port = address.rpartition(":")
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    self.record.write(f"{address} is ready")
                    return
            except (TimeoutError, *ENDS):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("an instance did not become ready")

    def signal(self, number, what):
        self.record.write(f"instance {number + 1} gets {what.name}")
        self.processes[number].send_signal(what)

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        for server in (self.store, *self.workers):
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self._folder.name).iterdir():
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


def run_case(play, folder):
    """Run play(record folder); the exit status is 1 (broken), 0 (held) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Also a script that is ended from outside ends what it started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(play(folder, trouble), 110)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
