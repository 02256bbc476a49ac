"""An upstream process whose responses and liveness checks vary; see upstream_process."""

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from typing import Any

from pondpin.standins import upstream_process
from pondpin.standins.upstream_process import (
    STANDSTILL_SECONDS,
    Order,
    Request,
    UpstreamProcess,
    tell,
)

HEED_LEASES = "heed leases"
HEALTH_PATH = "/healthz"
REPORT_PATH = "/v1/report"


@dataclass
class VariedUpstream(UpstreamProcess):
    """options: see the methods; each is optional."""

    options: dict[str, Any] = field(default_factory=dict)
    # Requests and liveness checks wait for one in order of arrival, if the options have slots.
    slots: asyncio.Semaphore = field(default_factory=asyncio.Semaphore)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == REPORT_PATH:
            born = self.options.get("born")
            report = {"stage": "bidirectional", "queued": 0, "active": 0}
            self._send(writer, 200, report | ({} if born is None else {"born": born}))
            return True
        if request.path != HEALTH_PATH:
            return await super()._answer(request, writer)
        tell("checked x")
        if "slots" in self.options:
            async with self.slots:
                pass
        await asyncio.sleep(self.options.get("health_seconds", 0.0))
        status = self.options.get("health_status", 200)
        header = self.options.get("health_header", "X-Instance-Id: {id}\r\n").format(id=self.id)
        writer.write(f"HTTP/1.1 {status} OK\r\n{header}content-length: 0\r\n\r\n".encode())
        await writer.drain()
        if self.options.get("dies_after_check") and self.last_ended:
            asyncio.get_running_loop().call_later(0.001, die)
        return True

    last_ended: bool = False

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if "slots" not in self.options:
            return await self._respond(request, writer)
        async with self.slots:
            return await self._respond(request, writer)

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        options = self.options
        attempt = request.headers.get("x-attempt-id", "")
        helpers = len([item for item in request.headers.get("helpers", "").split(",") if item])
        tell(f"runs {attempt} {helpers}")
        is_stream = "x-token-usage" in request.headers
        kind = "text/event-stream" if is_stream else "text/plain"
        head = (
            f"HTTP/1.1 {options.get('status', 200)} OK\r\nx-attempt-id: {attempt}\r\n"
            f"content-type: {kind}\r\nx-instance-signature: {self.id}.{attempt}\r\n"
            f"connection: close\r\n{options.get('headers', '')}"
        )
        writer.write(f"{head}{'transfer-encoding: chunked' if self.is_chunked else ''}".encode())
        writer.write(b"\r\n\r\n" if self.is_chunked else b"\r\n")
        if options.get("empty"):
            return False
        if options.get("hangs_after_head"):
            await writer.drain()
            tell(f"wrote {attempt} 0")
            await self.never.wait()
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = options.get("events_by_attempt", {}).get(attempt, self.events)
        for number in range(first, events + 1):
            if number > options.get("loses_holder_after", events):
                await asyncio.sleep(STANDSTILL_SECONDS)
                break
            if self.cuts_responses:
                tell(f"cuts {attempt}")
                break
            event = f"id: {number}\ndata: piece {number}\n\n" if is_stream else f"part {number};"
            if is_stream and options.get("event_bytes"):
                event = event.replace("piece", "x" * options["event_bytes"] + " piece")
            ran = number - first + 1
            if options.get("dies_inside") == ran:
                event = event[: len(event) // 2]
            size = f"{len(event):x}\r\n" if self.is_chunked else ""
            writer.write(f"{size}{event}{size and chr(13) + chr(10)}".encode())
            if not options.get("event_bytes"):
                await writer.drain()
            tell(f"wrote {attempt} {number}")
            if ran in (options.get("dies_inside"), options.get("dies_after")):
                die()
            if number < events or not options.get("ends_at_once"):
                await asyncio.sleep(self.event_seconds)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.last_ended = True
        return False


def die() -> None:
    """End like a process that is killed."""
    os.kill(os.getpid(), signal.SIGKILL)


async def read_orders(
    upstream: VariedUpstream, listener: socket.socket, orders: asyncio.StreamReader
) -> None:
    """Follow the orders of standard input until its end."""
    while line := (await orders.readline()).decode().strip():
        match line:
            case Order.ACCEPT:
                await asyncio.start_server(upstream.serve, sock=listener)
            case Order.IGNORE_LEASES:
                upstream.ignores_leases = True
            case upstream_process.Order.CUT_RESPONSES:
                upstream.cuts_responses = True
            case _ if line == HEED_LEASES:
                upstream.ignores_leases = False
            case _:
                raise ValueError(line)
    os._exit(0)


async def main(number: int, name: str, framing: str, events: str, gap: str, options: str) -> None:
    """Run one upstream."""
    upstream = VariedUpstream(name, framing == "chunked", int(events), float(gap))
    upstream.options = json.loads(options)
    upstream.slots = asyncio.Semaphore(upstream.options.get("slots", 1))
    orders = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    tell("ready")
    await read_orders(upstream, socket.socket(fileno=number), orders)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), *sys.argv[2:]))
