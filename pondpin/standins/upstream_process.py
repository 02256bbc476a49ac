"""An upstream as a process of its own, whose responses may end with their connection.

Reads orders as lines from standard input and writes what it does as lines to standard output. It
serves an inherited listening socket, so that another process can go on accepting after its end.
"""

import asyncio
import enum
import json
import os
import socket
import sys
import time
from dataclasses import dataclass, field

FREE_TOKENS = 450_000
# An upstream that cuts its responses stands still for this long before it ends them.
STANDSTILL_SECONDS = 0.4
# What a process that ends in order closes last is open for this long after its responses.
LAST_SECONDS = 0.05
JSON = "content-type: application/json\r\n"
CHUNKED = "transfer-encoding: chunked\r\n"


class Order(enum.StrEnum):
    """What a process can be told on its standard input."""

    ACCEPT = "accept"
    # Accept connections and answer nothing on them.
    ACCEPT_SILENTLY = "accept silently"
    DRAIN = "drain"
    # Leave memory leases unanswered from now on.
    IGNORE_LEASES = "ignore leases"
    # End all responses in order before their last event, and go on.
    CUT_RESPONSES = "cut responses"
    # End: first the connections, then the port.
    END = "end"
    # The same, and answer new connections in between.
    END_ANSWERING = "end answering"
    # End: first the port, then the connections of responses, then those that rest.
    END_PORT_FIRST = "end port first"


@dataclass(frozen=True, slots=True)
class Request:
    """A request that arrived whole."""

    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request; raises IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(head[0].split(" ")[1], headers, body)


@dataclass
class UpstreamProcess:
    """One life of an upstream; responses have events parts, event_seconds apart."""

    id: str
    is_chunked: bool
    events: int
    event_seconds: float
    is_silent: bool = False
    is_draining: bool = False
    ignores_leases: bool = False
    cuts_responses: bool = False
    until_by_lease: dict[str, float] = field(default_factory=dict)
    never: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    # Of those, the ones that a response is written to.
    responding: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection."""
        self.writers.add(writer)
        try:
            while not self.is_silent and await self._answer(await read_request(reader), writer):
                pass
            if self.is_silent:
                await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.responding.discard(writer)
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; whether the connection can be used again."""
        if request.headers.get("x-expect-instance", self.id) != self.id:
            self._send(writer, 421)
        elif request.path == "/healthz":
            self._send(writer, 503 if self.is_draining else 200)
        elif request.path == "/v1/report":
            self._send(writer, 200, {"stage": "bidirectional", "queued": 0, "active": 0})
        elif request.path == "/v1/order":
            return await self._lease(json.loads(request.body), writer)
        else:
            return await self._run(request, writer)
        return True

    def _send(self, writer: asyncio.StreamWriter, status: int, value: object = None) -> None:
        body = b"" if value is None else json.dumps(value).encode()
        kind = "" if value is None else JSON
        head = f"HTTP/1.1 {status} OK\r\nx-instance-id: {self.id}\r\n{kind}"
        writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)

    async def _lease(self, order: dict[str, object], writer: asyncio.StreamWriter) -> bool:
        name = str(order["id"])
        if self.ignores_leases:
            await self.never.wait()
        if order["op"] == "release":
            self.until_by_lease.pop(name, None)
        else:
            seconds = float(str(order["holdMs"])) / 1000
            self.until_by_lease[name] = time.monotonic() + seconds
            asyncio.get_running_loop().call_later(seconds, self._end_lease, name)
            tell(f"leased {name}")
        self._send(writer, 200, {"free": FREE_TOKENS})
        return True

    def _end_lease(self, name: str) -> None:
        if self.until_by_lease.get(name, time.monotonic()) < time.monotonic():
            del self.until_by_lease[name]
            tell(f"lapsed {name}")

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        attempt = request.headers.get("x-attempt-id", "")
        helpers = len([item for item in request.headers.get("helpers", "").split(",") if item])
        tell(f"runs {attempt} {helpers}")
        self.responding.add(writer)
        is_stream = "x-token-usage" in request.headers
        kind = "text/event-stream" if is_stream else "text/plain"
        head = (
            f"HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-type: {kind}\r\n"
            f"x-instance-signature: {self.id}.{attempt}\r\nconnection: close\r\n"
        )
        writer.write(f"{head}{CHUNKED if self.is_chunked else ''}\r\n".encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if self.cuts_responses:
                await asyncio.sleep(STANDSTILL_SECONDS)
                tell(f"cuts {attempt}")
                break
            event = f"id: {number}\ndata: piece {number}\n\n" if is_stream else f"part {number};"
            size = f"{len(event):x}\r\n" if self.is_chunked else ""
            writer.write(f"{size}{event}{size and chr(13) + chr(10)}".encode())
            await writer.drain()
            tell(f"wrote {attempt} {number}")
            await asyncio.sleep(self.event_seconds)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


def tell(line: str) -> None:
    """Write a line that the parent process reads."""
    print(line, flush=True)


async def read_orders(
    upstream: UpstreamProcess, listener: socket.socket, orders: asyncio.StreamReader
) -> None:
    """Follow the orders of standard input until its end or the order to end."""
    servers = []
    while line := (await orders.readline()).decode().strip():
        match Order(line):
            case Order.ACCEPT | Order.ACCEPT_SILENTLY:
                upstream.is_silent = line == Order.ACCEPT_SILENTLY
                servers.append(await asyncio.start_server(upstream.serve, sock=listener))
            case Order.DRAIN:
                upstream.is_draining = True
            case Order.IGNORE_LEASES:
                upstream.ignores_leases = True
            case Order.CUT_RESPONSES:
                upstream.cuts_responses = True
            case Order.END:
                # What connects from now on is accepted by the kernel alone.
                asyncio.get_running_loop().remove_reader(listener.fileno())
                for writer in upstream.writers:
                    writer.close()
                await asyncio.sleep(LAST_SECONDS)
                break
            case Order.END_ANSWERING:
                for writer in upstream.responding:
                    writer.close()
                await asyncio.sleep(LAST_SECONDS)
                break
            case Order.END_PORT_FIRST:
                for server in servers:
                    server.close()
                for writer in upstream.responding:
                    writer.close()
                await asyncio.sleep(LAST_SECONDS)
                break
    os._exit(0)


async def main(listener: socket.socket, name: str, framing: str, events: str, gap: str) -> None:
    """Run one upstream."""
    upstream = UpstreamProcess(name, framing == "chunked", int(events), float(gap))
    orders = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    tell("ready")
    await read_orders(upstream, listener, orders)


if __name__ == "__main__":
    asyncio.run(main(socket.socket(fileno=int(sys.argv[1])), *sys.argv[2:]))
