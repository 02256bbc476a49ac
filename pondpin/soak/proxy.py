"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Callable

CHUNK = 65536
POLL_SECONDS = 0.02
DELAY_SECONDS = 0.15
RESET = struct.pack("ii", 1, 0)


class Link(enum.Enum):
    """What a proxy does to its connections."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    REFUSING = "refusing"


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, host: str, port: int, target_host: str, target_port: int) -> None:
        self.host, self.port = host, port
        self._target = target_host, target_port
        self.link = Link.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._waiting: asyncio.Task[None] | None = None
        # Called when the target is back after it had stopped to listen.
        self.on_back: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    async def stop(self) -> None:
        """Close everything."""
        if self._waiting is not None:
            self._waiting.cancel()
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _follow_target(self) -> None:
        """The target broke connections: refuse too while it refuses."""
        if await self._target_listens():
            self._waiting = None
            return
        if self._server is not None:
            self._server.close()
        while not await self._target_listens():
            await asyncio.sleep(POLL_SECONDS)
        await self.start()
        self._waiting = None
        self.on_back()

    async def _target_listens(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self._target)
        except OSError:
            return False
        writer.close()
        return True

    def _note_broken(self) -> None:
        if self._waiting is None:
            self._waiting = asyncio.ensure_future(self._follow_target())

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            if self.link is Link.REFUSING:
                _reset(writer)
                return
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            forth = self._copy(reader, other, lambda: self.link is Link.SILENT)
            back = self._copy(
                other_reader, writer, lambda: self.link in (Link.SILENT, Link.NO_ANSWERS)
            )
            await asyncio.gather(forth, back)
            if other.is_closing():
                self._note_broken()
        except OSError:
            _reset(writer)
            self._note_broken()
        finally:
            for item in (writer, other):
                if item is not None:
                    self._writers.discard(item)
                    item.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_held: Callable[[], bool],
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while data := await reader.read(CHUNK):
                while is_held():
                    await asyncio.sleep(POLL_SECONDS)
                if self.link is Link.SLOW:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    found = writer.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport = writer.transport
    transport.abort()
