"""A server whose responses never end."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass, field

from pondpin.network import Endpoint

PART_BYTES = 16 << 10
SLOW_SECONDS = 0.05


class Endless(enum.Enum):
    """What a server sends without end."""

    BODY = "a body without a length"
    CHUNKS = "chunks"
    HEADERS = "header lines"
    FOLDED = "folded header lines"
    INTERIM = "interim responses"
    SLOW_HEAD = "a header line now and then"
    LINE = "a header line"
    EVENT = "one event of a stream"
    STATUS = "a status line"
    GARBAGE = "bytes that are no head"
    CHUNK_EXTENSION = "an extension of a chunk"
    TRAILERS = "trailers"
    COMMENTS = "comments between events"
    AFTER = "bytes after a whole response"


OK_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-instance-signature: s.%s\r\n"
EVENTS_HEAD = OK_HEAD + b"content-type: text/event-stream\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
WITHOUT_HEAD = (Endless.INTERIM, Endless.STATUS, Endless.GARBAGE)
# What follows OK_HEAD before the endless part.
REST_BY_KIND = {
    Endless.BODY: b"\r\n",
    Endless.CHUNKS: CHUNKED,
    Endless.LINE: b"x-long: ",
    Endless.CHUNK_EXTENSION: CHUNKED + b"1;",
    Endless.TRAILERS: CHUNKED + b"1\r\nx\r\n0\r\n",
    Endless.AFTER: b"content-length: 2\r\n\r\nok",
}
PART_BY_KIND = {
    Endless.BODY: b"b" * PART_BYTES,
    Endless.CHUNKS: b"%x\r\n" % PART_BYTES + b"c" * PART_BYTES + b"\r\n",
    Endless.HEADERS: b"x-more: 1\r\n" * (PART_BYTES // 11),
    Endless.FOLDED: b" f\r\n" * (PART_BYTES // 4),
    Endless.INTERIM: b"HTTP/1.1 103 Early Hints\r\n\r\n" * (PART_BYTES // 28),
    Endless.SLOW_HEAD: b"x-slow: 1\r\n",
    Endless.LINE: b"l" * PART_BYTES,
    Endless.EVENT: b"e" * PART_BYTES,
    Endless.STATUS: b"s" * PART_BYTES,
    Endless.GARBAGE: bytes(range(256)) * (PART_BYTES // 256),
    Endless.CHUNK_EXTENSION: b"x" * PART_BYTES,
    Endless.TRAILERS: b"x-more: 1\r\n" * (PART_BYTES // 11),
    Endless.COMMENTS: b": comment\n\n" * (PART_BYTES // 11),
    Endless.AFTER: b"a" * PART_BYTES,
}


def _head(kind: Endless, attempt: bytes) -> bytes:
    if kind in WITHOUT_HEAD:
        return b""
    if kind in (Endless.EVENT, Endless.COMMENTS):
        return EVENTS_HEAD % (attempt, attempt)
    return OK_HEAD % (attempt, attempt) + REST_BY_KIND.get(kind, b"")


@dataclass
class EndlessServer:
    """Answers each request without end, until the connection is closed; kind may be changed."""

    kind: Endless
    requests: int = 0
    sent_bytes: int = 0
    open_connections: int = 0
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    async def listen(self, host: str = "127.0.0.1") -> Endpoint:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return Endpoint(host, port)

    async def close(self) -> None:
        """Stop, and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "the server runs it as a task"
        self._tasks.add(task)
        self.open_connections += 1
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._send(reader, writer)
        finally:
            self.open_connections -= 1
            self._tasks.discard(task)
            writer.close()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(_head(self.kind, _attempt_of(request)))
        while not writer.is_closing():
            part = PART_BY_KIND[self.kind]
            writer.write(part)
            self.sent_bytes += len(part)
            await writer.drain()
            await asyncio.sleep(SLOW_SECONDS if self.kind is Endless.SLOW_HEAD else 0)


def _attempt_of(request: bytes) -> bytes:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-attempt-id":
            return value.strip()
    return b""
