"""How tunnels tell the sender in which way the upstream ended its connection."""

import asyncio
import random
import signal
import socket
import struct
import subprocess
import sys
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Factory, Protocol

from pondpin.body_ends import ConnectionEnd, PathLostError
from pondpin.codes import Code
from pondpin.http_client import HttpResponse
from pondpin.http_connections import CheckedConnection, has_unacknowledged
from pondpin.http_streams import CallFailedError
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.log_events import AttemptEnded, Ended, LogEvent
from pondpin.relay.paths import tunnel_server
from pondpin.relay.paths.peer_tunnels import PeerTunnels, TunnelSettings
from pondpin.relay.paths.tunnel_client import OpenedTunnel, TunnelClient
from pondpin.relay.paths.tunnel_framing import (
    FramingDecoder,
    FramingError,
    UpstreamEnding,
    encode_data,
    encode_end,
)
from pondpin.relay.paths.tunnel_messages import (
    HEAD_END,
    TunnelRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
    has_framing,
    make_proof,
)
from pondpin.relay.paths.tunnel_server import PeerEnd, TunnelFactory
from pondpin.relay.peers.digests import PeerRecord
from pondpin.relay_settings import RelayLimits
from pondpin.runtime import steady_now
from pondpin.standins.local_platform import LocalPlatform
from pondpin.standins.partitions import Cut
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import (
    RelayTest,
    ask,
    numbers,
    run_async,
    runs,
    the_loop,
    wait_until,
)
from pondpin.tests.tunnel_peer import HOST, KEY, PEER_BOOT, SENDER, SENDER_BOOT, make_server

HALF = b"id: 1\ndata: piece 1\n\nid: 2\nda"
CLOSED = encode_end(UpstreamEnding.CLOSED)
RESET = encode_end(UpstreamEnding.RESET)
IDLE_SECONDS = 0.05
SMALL_BUFFER_BYTES = 4096
PIECE_BYTES = 8192
BLOCKED_PIECES = 4
# More than the kernel buffers of a loopback connection.
LARGE_BYTES = 16 << 20
# Resets the connection when it is closed.
LINGER = struct.pack("ii", 1, 0)
EVENTS = 20
EVENT_SECONDS = 0.05


def framed(*parts: bytes) -> bytes:
    return b"".join(b"".join(encode_data(part)) for part in parts)


class Recorder(Protocol):
    """Records what a connection receives, and how it ends."""

    transport: Any

    def __init__(self) -> None:
        self.data = b""
        self.errors: list[Exception] = []

    def dataReceived(self, data: bytes) -> None:
        self.data += data

    def connectionLost(self, reason: Any = None) -> None:
        self.errors.append(reason.value)


def recorders() -> Any:
    factory: Any = Factory.forProtocol(Recorder)
    factory.noisy = False
    return factory


def reset(writer: asyncio.StreamWriter) -> None:
    handle = writer.get_extra_info("socket")
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


class FramingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.data = b""
        self.ends: list[UpstreamEnding] = []
        self.decoder = FramingDecoder(self.on_data, self.ends.append)

    def on_data(self, data: bytes) -> None:
        self.data += data

    def test_data_and_ends_are_read_as_written_however_they_are_split(self) -> None:
        encoded = framed(b"a", b"0\r\n" * 100, bytes(256)) + CLOSED
        for size in (1, 2, 7, len(encoded)):
            self.setUp()
            for start in range(0, len(encoded), size):
                self.assertEqual(self.ends, [])
                self.decoder.decode(encoded[start : start + size])
            self.assertEqual(self.data, b"a" + b"0\r\n" * 100 + bytes(256))
            self.assertEqual(self.ends, [UpstreamEnding.CLOSED])

    def test_no_other_last_chunk_is_an_end(self) -> None:
        for last in (
            b"0\r\n\r\n",
            CLOSED.replace(b"closed", b"other"),
            CLOSED.replace(b"upstream", b"peer"),
            CLOSED + b"\r\n",
            CLOSED.replace(b"\r\n\r\n", b"\r\n" + RESET[3:]),
            b"x\r\n",
            b"1\r\nab\r\n",
        ):
            self.setUp()
            with self.assertRaises(FramingError, msg=last):
                self.decoder.decode(framed(HALF) + last)
            self.assertEqual(self.ends, [])


class SenderTest(unittest.TestCase):
    """A sender whose peer is a script."""

    request = TunnelRequest(Endpoint("10.0.0.1", 80), "relay-0", SENDER_BOOT, 1, "x", True)

    def play(
        self,
        answer: bytes,
        end: Callable[[asyncio.StreamWriter], None] | None,
    ) -> Recorder:
        """Open a tunnel to a peer that writes an answer and then ends; wait for its end."""
        recorder: list[Recorder] = []
        self.heads: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.heads.append(await reader.readuntil(HEAD_END))
            writer.write(answer)
            await writer.drain()
            if end is not None:
                end(writer)
            else:
                self.silent.append(writer)

        async def work() -> None:
            self.silent: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            client = TunnelClient(the_loop()[1])
            opened = await client.open(Endpoint(HOST, port), self.request, recorders())
            recorder.append(opened.connection)
            await wait_until(lambda: opened.connection.errors)
            server.close()
            for writer in self.silent:
                writer.close()

        run_async(work())
        return recorder[0]

    def assert_lost(self, found: Recorder, data: bytes = HALF) -> None:
        self.assertEqual([type(error) for error in found.errors], [PathLostError])
        self.assertEqual(found.data, data)

    def test_peer_that_closes_in_order_without_an_end_is_lost(self) -> None:
        answer = encode_answer(Code.OK, is_framed=True) + framed(HALF)
        for cut in (b"", CLOSED[:1], CLOSED[:-1], CLOSED[:-4], framed(HALF)[:-1]):
            data = HALF * 2 if cut.startswith(b"1") else HALF
            self.assert_lost(self.play(answer + cut, asyncio.StreamWriter.close), data)

    def test_reset_by_the_peer_is_not_the_upstreams(self) -> None:
        found = self.play(encode_answer(Code.OK, is_framed=True) + framed(HALF), reset)
        self.assertEqual([type(error) for error in found.errors], [PathLostError])

    def test_orderly_end_needs_no_end_of_the_peer(self) -> None:
        found = self.play(encode_answer(Code.OK, is_framed=True) + framed(HALF) + CLOSED, None)
        self.assertEqual([type(error) for error in found.errors], [ConnectionDone])
        self.assertEqual(found.data, HALF)

    def test_reset_of_the_upstream_is_told_as_such(self) -> None:
        found = self.play(encode_answer(Code.OK, is_framed=True) + framed(HALF) + RESET, None)
        self.assertEqual([type(error) for error in found.errors], [ConnectionLost])
        self.assertEqual(found.data, HALF)

    def test_data_out_of_the_framing_ends_the_tunnel(self) -> None:
        answer = encode_answer(Code.OK, is_framed=True) + framed(HALF)
        for invalid in (b"HTTP/1.1 200 OK\r\n", b"0\r\n\r\n", CLOSED + b"x"):
            self.assert_lost(self.play(answer + invalid, None))

    def test_peer_without_framing_passes_data_on_but_tells_no_end(self) -> None:
        for end in (asyncio.StreamWriter.close, reset):
            found = self.play(encode_answer(Code.OK) + HALF, end)
            self.assertEqual([type(error) for error in found.errors], [PathLostError])
            if end is not reset:
                self.assertEqual(found.data, HALF)
        self.assert_lost(
            self.play(encode_answer(Code.OK) + HALF + CLOSED, asyncio.StreamWriter.close),
            HALF + CLOSED,
        )


class CountTest(unittest.TestCase):
    """The number of tunnels through a peer, by which peers are chosen."""

    def play(self, first: bytes) -> list[int]:
        """Open a tunnel to a peer that closes it later; returns the counts of open tunnels."""
        writers: list[asyncio.StreamWriter] = []
        counts: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await reader.readuntil(HEAD_END)
            writer.write(first)

        async def work() -> None:
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            peer = PeerRecord("relay-1", PEER_BOOT, HOST, 1, 1, steady_now(), "north", True)
            gossip = mock.Mock(instance=SENDER, boot=SENDER_BOOT, clock=steady_now)
            gossip.rng = random.Random(1)
            gossip.peer_table.alive.return_value = [peer]
            client = TunnelClient(the_loop()[1])
            metrics = Metrics(SENDER, "north")
            tunnels = PeerTunnels(TunnelSettings(KEY, port), client, gossip, metrics)
            connection = await tunnels.open(Endpoint("10.0.0.1", 80), recorders())
            self.assertEqual(connection.path, "relay-1")
            counts.append(tunnels.open_count)
            writers[0].close()
            await wait_until(lambda: connection.errors)
            counts.append(tunnels.open_count)
            server.close()

        run_async(work())
        return counts

    def test_tunnel_counts_as_open_until_its_end(self) -> None:
        self.assertEqual(self.play(encode_answer(Code.OK, is_framed=True)), [1, 0])

    def test_tunnel_that_ended_before_its_use_is_not_counted_as_open(self) -> None:
        # In one segment: the connection is lost before it is handed over.
        counts = self.play(encode_answer(Code.OK, is_framed=True) + RESET)
        self.assertEqual(counts, [0, 0])


class Rig:
    """A peer, and an upstream whose connections the test ends."""

    def __init__(self) -> None:
        self.reactor = the_loop()[1]
        self.upstream: asyncio.StreamWriter | None = None
        self.received = b""
        self._number = 0
        self.server = make_server(self.reactor)

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._accept, HOST, 0)
        self.target = Endpoint(HOST, self._listener.sockets[0].getsockname()[1])
        self._port = self.reactor.listenTCP(0, TunnelFactory(self.server), interface=HOST)
        self.place = Endpoint(HOST, self._port.getHost().port)

    async def stop(self) -> None:
        self.server.close()
        self._port.stopListening()
        self._listener.close()
        await wait_until(lambda: not self.server.ends)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.upstream = writer
        try:
            while data := await reader.read(PIECE_BYTES):
                self.received += data
        except ConnectionError:
            pass

    def make_request(self, is_framed: bool) -> TunnelRequest:
        self._number += 1
        plain = TunnelRequest(self.target, SENDER, SENDER_BOOT, self._number, "")
        proof = make_proof(KEY, plain, PEER_BOOT)
        return replace(plain, proof=proof, is_framed=is_framed)

    async def open(self, factory: Any, is_framed: bool = True) -> Any:
        """Open a tunnel; returns the sender's connection."""
        self.upstream = None
        client = TunnelClient(self.reactor)
        opened: OpenedTunnel = await client.open(self.place, self.make_request(is_framed), factory)
        await wait_until(lambda: self.upstream is not None)
        return opened.connection

    @property
    def writer(self) -> asyncio.StreamWriter:
        assert self.upstream is not None, "no connection"
        return self.upstream

    @property
    def end(self) -> PeerEnd:
        """The peer's connection of the only tunnel."""
        (end,) = self.server.ends
        return end

    def unsent(self) -> int:
        """Bytes that the peer has not written to the sender."""
        transport = self.end.transport
        return int(len(transport.dataBuffer) - transport.offset + transport._tempDataLen)


Work = Callable[[Rig], Awaitable[None]]
ProcessWork = Callable[["subprocess.Popen[str]", Rig], Awaitable[None]]


class TunnelTest(unittest.TestCase):
    """A sender, a peer and an upstream."""

    def play(self, work: Work) -> None:
        async def whole() -> None:
            rig = Rig()
            await rig.start()
            try:
                await work(rig)
            finally:
                await rig.stop()

        run_async(whole())

    def play_end(self, end: Callable[[Rig], object]) -> Recorder:
        """Something ends a tunnel in the middle of a response."""
        found: list[Recorder] = []

        async def work(rig: Rig) -> None:
            connection = await rig.open(recorders())
            found.append(connection)
            rig.writer.write(HALF)
            await wait_until(lambda: connection.data == HALF)
            end(rig)
            await wait_until(lambda: connection.errors)
            await wait_until(lambda: not rig.server.ends)
            rig.writer.close()

        self.play(work)
        return found[0]

    def assert_ends(self, end: Callable[[Rig], object], error: type[Exception]) -> None:
        found = self.play_end(end)
        self.assertEqual([type(item) for item in found.errors], [error])
        self.assertEqual(found.data, HALF)

    def test_orderly_end_of_the_upstream_is_told_as_such(self) -> None:
        self.assert_ends(lambda rig: rig.writer.close(), ConnectionDone)

    def test_reset_of_the_upstream_is_told_as_such(self) -> None:
        self.assert_ends(lambda rig: reset(rig.writer), ConnectionLost)

    def test_orderly_close_by_the_peer_is_not_the_upstreams(self) -> None:
        self.assert_ends(lambda rig: rig.end.transport.loseConnection(), PathLostError)

    def test_reset_by_the_peer_is_not_the_upstreams(self) -> None:
        self.assert_ends(lambda rig: rig.end.transport.abortConnection(), PathLostError)

    def test_stop_of_the_peer_is_not_the_upstreams_end(self) -> None:
        self.assert_ends(lambda rig: rig.server.close(), PathLostError)

    def test_idle_timeout_of_the_peer_is_not_the_upstreams_end(self) -> None:
        with mock.patch.object(tunnel_server, "IDLE_SECONDS", IDLE_SECONDS):
            self.assert_ends(lambda rig: rig.end.record_data(), PathLostError)

    async def fill(self, rig: Rig) -> tuple[Any, int]:
        """The upstream ends in order while the peer has unsent bytes for a sender that is slow."""
        connection = await rig.open(recorders())
        connection.transport.pauseProducing()
        for transport, option in (
            (connection.transport, socket.SO_RCVBUF),
            (rig.end.transport, socket.SO_SNDBUF),
        ):
            handle = transport.getHandle()
            handle.setsockopt(socket.SOL_SOCKET, option, SMALL_BUFFER_BYTES)
        count = 0
        # The peer writes more than a piece at a time unless the sender's buffer is full.
        while rig.unsent() < BLOCKED_PIECES * PIECE_BYTES:
            rig.writer.write(b"x" * PIECE_BYTES)
            await rig.writer.drain()
            count += PIECE_BYTES
            await asyncio.sleep(0)
        rig.writer.close()
        await wait_until(lambda: rig.end.transport.disconnecting)
        self.assertGreater(rig.unsent(), 0)
        return connection, count

    def test_slow_sender_gets_all_before_the_upstreams_end(self) -> None:
        async def work(rig: Rig) -> None:
            connection, count = await self.fill(rig)
            self.assertEqual(connection.errors, [])
            connection.transport.resumeProducing()
            await wait_until(lambda: connection.errors)
            self.assertEqual([type(error) for error in connection.errors], [ConnectionDone])
            self.assertEqual(len(connection.data), count)

        self.play(work)

    def test_peer_that_stops_with_unsent_bytes_loses_the_end_with_them(self) -> None:
        async def work(rig: Rig) -> None:
            connection, count = await self.fill(rig)
            rig.server.close()
            await wait_until(lambda: not rig.server.ends)
            connection.transport.resumeProducing()
            await wait_until(lambda: connection.errors)
            self.assertEqual([type(error) for error in connection.errors], [PathLostError])
            self.assertLess(len(connection.data), count)

        self.play(work)

    def test_paused_sender_receives_nothing_and_its_peer_stops_to_read(self) -> None:
        async def work(rig: Rig) -> None:
            connection = await rig.open(recorders())
            connection.transport.pauseProducing()
            rig.writer.write(bytes(LARGE_BYTES))
            # The upstream's end is paused as its consumer's buffer is full.
            await wait_until(lambda: rig.end.transport.producerPaused)
            self.assertEqual(connection.data, b"")
            self.assertLess(rig.unsent(), LARGE_BYTES // 2)
            connection.transport.resumeProducing()
            await wait_until(lambda: len(connection.data) == LARGE_BYTES)
            rig.writer.close()
            await wait_until(lambda: connection.errors)

        self.play(work)

    def test_unacknowledged_bytes_are_seen_through_a_tunnel(self) -> None:
        async def work(rig: Rig) -> None:
            make: Any = CheckedConnection
            factory: Any = Factory.forProtocol(lambda: make(lambda connection: None))
            factory.noisy = False
            connection = await rig.open(factory)
            connection.transport.write(HALF)
            await wait_until(lambda: rig.received == HALF)
            await wait_until(lambda: not has_unacknowledged(connection))
            rig.end.transport.pauseProducing()
            connection.transport.write(bytes(LARGE_BYTES))
            await wait_until(lambda: has_unacknowledged(connection))
            connection.transport.abortConnection()
            await wait_until(lambda: connection.state == "CONNECTION_LOST")

        self.play(work)

    async def exchange(self, rig: Rig, end: Callable[[], object]) -> tuple[bytes, bool]:
        """A sender without framing; returns the bytes it got and whether a reset ended them."""
        reader, writer = await asyncio.open_connection(rig.place.host, rig.place.port)
        writer.write(encode_request(rig.make_request(is_framed=False)))
        head = await reader.readuntil(HEAD_END)
        self.assertIs(decode_answer(head[: -len(HEAD_END)]), Code.OK)
        self.assertFalse(has_framing(head[: -len(HEAD_END)]))
        await wait_until(lambda: rig.upstream is not None)
        rig.writer.write(HALF)
        data = await reader.readexactly(len(HALF))
        end()
        try:
            data += await reader.read()
        except ConnectionError:
            return data, True
        finally:
            writer.close()
        return data, False

    def test_sender_without_framing_gets_the_bytes_and_the_end_as_they_are(self) -> None:
        async def work(rig: Rig) -> None:
            closed = await self.exchange(rig, lambda: rig.writer.close())
            self.assertEqual(closed, (HALF, False))
            rig.upstream = None
            broken = await self.exchange(rig, lambda: reset(rig.writer))
            self.assertEqual(broken, (HALF, True))

        self.play(work)

    def test_peer_closes_its_connection_after_the_upstreams_end(self) -> None:
        async def work(rig: Rig) -> None:
            reader, writer = await asyncio.open_connection(rig.place.host, rig.place.port)
            writer.write(encode_request(rig.make_request(is_framed=True)))
            head = await reader.readuntil(HEAD_END)
            self.assertTrue(has_framing(head[: -len(HEAD_END)]))
            await wait_until(lambda: rig.upstream is not None)
            rig.writer.write(HALF)
            self.assertEqual(await reader.readexactly(len(framed(HALF))), framed(HALF))
            rig.writer.close()
            self.assertEqual(await reader.read(), CLOSED)
            await wait_until(lambda: not rig.server.ends)
            writer.close()

        self.play(work)


class PeerProcessTest(unittest.TestCase):
    """A peer in a process of its own, whose kernel ends its connections."""

    def play(self, work: ProcessWork) -> None:
        command = [sys.executable, "-m", "pondpin.tests.tunnel_peer"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            try:
                assert process.stdout is not None, "started with a pipe"
                run_async(self.serve(process, int(process.stdout.readline()), work))
            finally:
                process.kill()

    async def serve(self, process: "subprocess.Popen[str]", port: int, work: ProcessWork) -> None:
        rig = Rig()
        await rig.start()
        rig.place = Endpoint(HOST, port)
        try:
            await work(process, rig)
        finally:
            await rig.stop()

    async def open_half(self, rig: Rig) -> Any:
        connection = await rig.open(recorders())
        rig.writer.write(HALF)
        await wait_until(lambda: connection.data == HALF)
        return connection

    def test_killed_peer_is_not_the_upstreams_end(self) -> None:
        async def work(process: "subprocess.Popen[str]", rig: Rig) -> None:
            connection = await self.open_half(rig)
            process.kill()
            await wait_until(lambda: connection.errors)
            self.assertEqual([type(error) for error in connection.errors], [PathLostError])

        self.play(work)

    def test_peer_killed_between_the_last_byte_and_the_end_tells_no_end(self) -> None:
        async def work(process: "subprocess.Popen[str]", rig: Rig) -> None:
            connection = await self.open_half(rig)
            process.send_signal(signal.SIGSTOP)
            rig.writer.close()
            await rig.writer.wait_closed()
            process.kill()
            await wait_until(lambda: connection.errors)
            self.assertEqual([type(error) for error in connection.errors], [PathLostError])
            self.assertEqual(connection.data, HALF)

        self.play(work)

    def test_peer_that_stood_still_tells_the_upstreams_end(self) -> None:
        async def work(process: "subprocess.Popen[str]", rig: Rig) -> None:
            connection = await self.open_half(rig)
            process.send_signal(signal.SIGSTOP)
            rig.writer.write(HALF)
            rig.writer.close()
            await rig.writer.wait_closed()
            self.assertEqual(connection.errors, [])
            process.send_signal(signal.SIGCONT)
            await wait_until(lambda: connection.errors)
            self.assertEqual([type(error) for error in connection.errors], [ConnectionDone])
            self.assertEqual(connection.data, HALF * 2)

        self.play(work)


class StreamTest(RelayTest):
    """Streams without a length or chunks, through peers."""

    instances = 3
    # The drain lasts 0.2 s of it.
    limits = RelayLimits(grace_seconds=0.6)

    async def stream_through_peer(
        self, platform: LocalPlatform, end: Callable[[int], Awaitable[object]]
    ) -> HttpResponse:
        """Stream; `end` gets the number of the instance that carries it, half way."""
        platform.cut_from_workers(0, Cut.REFUSE)
        entry = platform.entries[0]
        # Streams go through peers from the first failure on.
        await ask(platform, "stream", "warm")
        for worker in platform.workers_by_id.values():
            worker.events, worker.event_seconds = EVENTS, EVENT_SECONDS
            worker.lasting_fault = WorkerFault.UNFRAMED
        self.events: list[LogEvent] = []
        self.enterContext(mock.patch.object(entry.log, "write", self.events.append))
        asking = asyncio.ensure_future(ask(platform, "stream", "a1"))

        def is_half_way() -> bool:
            return any(served.progress.events >= EVENTS // 4 for served in entry.handler.served)

        await platform.until(is_half_way)
        carriers = [number for number in (1, 2) if self.carried(platform, number)]
        self.assertEqual(len(carriers), 1)
        await end(carriers[0])
        return await asking

    def carried(self, platform: LocalPlatform, number: int) -> list[PeerEnd]:
        """The tunnels of an instance that pass a response on; others are idle."""
        lazy = platform.entries[number].lazy
        if "tunnels" not in lazy.__dict__:
            return []
        places = {
            platform.place_by_id[name]
            for name, worker in platform.workers_by_id.items()
            if worker.working
        }
        found = []
        for item in lazy.tunnels.server.ends:
            upstream = item._upstream
            place = upstream.transport.getPeer() if upstream is not None else None
            if place is not None and Endpoint(place.host, place.port) in places:
                found.append(item)
        return found

    def connection_ends(self) -> list[str]:
        found: list[Any] = [
            item.response_end for item in self.events if isinstance(item, AttemptEnded | Ended)
        ]
        return [item.connection for item in found if item is not None]

    def play_loss(self, end: Callable[[LocalPlatform, int], Awaitable[object]]) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await self.stream_through_peer(platform, lambda number: end(platform, number))
            expected = list(range(1, EVENTS + 1))
            self.assertEqual((answer.status, numbers(answer)), (200, expected))
            self.assertEqual(runs(platform), 2)
            ends = [ConnectionEnd.PATH_LOST, ConnectionEnd.CLOSED]
            self.assertEqual(self.connection_ends(), ends)
            shown, _ = platform.entries[0].metrics.render("")
            self.assertIn(b'connection="path_lost"', shown)

        self.play(work)

    def test_stream_is_resumed_when_the_peers_kernel_closes_its_connections(self) -> None:
        async def end(platform: LocalPlatform, number: int) -> None:
            for item in self.carried(platform, number):
                item.transport.loseConnection()

        self.play_loss(end)

    def test_stream_is_resumed_when_the_peers_connections_are_reset(self) -> None:
        async def end(platform: LocalPlatform, number: int) -> None:
            for item in self.carried(platform, number):
                item.transport.abortConnection()

        self.play_loss(end)

    def test_stream_is_resumed_when_the_peer_closes_its_tunnels(self) -> None:
        async def end(platform: LocalPlatform, number: int) -> None:
            platform.entries[number].lazy.tunnels.server.close()

        self.play_loss(end)

    def test_stream_is_resumed_when_the_peer_drains_and_stops(self) -> None:
        async def end(platform: LocalPlatform, number: int) -> None:
            await platform.entries[number].drain_and_stop()

        self.play_loss(end)

    def test_stream_is_resumed_after_an_idle_timeout_at_the_peer(self) -> None:
        async def end(platform: LocalPlatform, number: int) -> None:
            for item in self.carried(platform, number):
                item._set_timeout(0.0)

        self.play_loss(end)

    def test_upstreams_orderly_end_through_a_peer_ends_a_stream(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            async def end(number: int) -> None:
                """The upstream ends its stream itself."""

            answer = await self.stream_through_peer(platform, end)
            self.assertEqual(numbers(answer), list(range(1, EVENTS + 1)))
            self.assertEqual(runs(platform), 1)
            self.assertEqual(self.connection_ends(), [ConnectionEnd.CLOSED])
            paths = [item.path for item in self.events if isinstance(item, Ended)]
            self.assertIn(paths[0], ("relay-1", "relay-2"))

        self.play(work)

    def test_idle_connections_through_a_peer_are_used_again(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.REFUSE)
            servers = [entry.lazy.tunnels.server for entry in platform.entries[1:]]
            worked: list[set[PeerEnd]] = []
            for number in range(20):
                answer = await ask(platform, "again", f"a{number}")
                self.assertEqual(answer.status, 200)
                worked.append(set().union(*(server.ends for server in servers)))
            self.assertNotEqual(worked[-1], set())
            self.assertEqual(worked[10:], [worked[10]] * 10)

        self.play(work)

    async def ask_through_earlier_peers(
        self, platform: LocalPlatform, name: str, fault: WorkerFault
    ) -> HttpResponse:
        def decode_unframed(head: bytes) -> TunnelRequest:
            return replace(decode_request(head), is_framed=False)

        self.enterContext(mock.patch.object(tunnel_server, "decode_request", decode_unframed))
        platform.cut_from_workers(0, Cut.REFUSE)
        for worker in platform.workers_by_id.values():
            worker.lasting_fault = fault
        return await ask(platform, "stream", name)

    def test_framed_stream_through_a_peer_without_framing_is_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for number in range(3):
                name = f"a{number}"
                answer = await self.ask_through_earlier_peers(platform, name, WorkerFault.NONE)
                self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])
                self.assertEqual(runs(platform, name), 1)

        self.play(work)

    def test_close_delimited_stream_through_a_peer_without_framing_is_not_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            with self.assertRaises(CallFailedError):
                await self.ask_through_earlier_peers(platform, "a1", WorkerFault.UNFRAMED)
            self.assertEqual(runs(platform, "a1"), 2)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
