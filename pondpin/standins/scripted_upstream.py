"""A plain upstream that sends given bytes for each request."""

import asyncio
import contextlib
import enum
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field

from pondpin.network import Endpoint

# Replaced by the attempt id of the request.
ATTEMPT = b"{attempt}"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PART_BYTES = 64 << 10


class After(enum.Enum):
    """What happens to a connection once the response is written."""

    KEEP = "keep"
    HALF_CLOSE = "half close"
    CLOSE = "close"
    RESET = "reset"


@dataclass
class ScriptedUpstream:
    """Answers each request with response; fields may be changed.

    read_share: of a request's body that is read before the response is written. delay: seconds
    before it. With After.KEEP and After.HALF_CLOSE the rest of the body is read afterwards.
    """

    response: bytes = b""
    after: After = After.KEEP
    read_share: float = 1.0
    delay: float = 0.0
    runs_by_attempt: Counter[str] = field(default_factory=Counter)
    bodies: list[bytes] = field(default_factory=list)
    heads: list[bytes] = field(default_factory=list)
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    async def listen(self, host: str = "127.0.0.1") -> Endpoint:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return Endpoint(host, self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop, and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "a connection is served by a task"
        self._tasks.add(task)
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while await self._serve_request(reader, writer):
                pass
        self._tasks.discard(task)
        writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; whether the connection is kept."""
        head = await reader.readuntil(b"\r\n\r\n")
        attempt = read_field(head, b"x-attempt-id")
        self.runs_by_attempt[attempt.decode()] += 1
        self.heads.append(head)
        length = int(read_field(head, b"content-length") or 0)
        read = int(length * self.read_share)
        body = await reader.readexactly(read)
        if self.delay:
            await asyncio.sleep(self.delay)
        writer.write(self.response.replace(ATTEMPT, attempt))
        await writer.drain()
        if self.after is After.HALF_CLOSE:
            writer.write_eof()
        elif self.after is not After.KEEP:
            self._end(writer)
            return False
        self.bodies.append(body + await reader.readexactly(length - read))
        return True

    def _end(self, writer: asyncio.StreamWriter) -> None:
        connection: socket.socket = writer.get_extra_info("socket")
        if self.after is After.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


def read_field(head: bytes, name: bytes) -> bytes:
    """The value of a field of a head, empty without one."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""
