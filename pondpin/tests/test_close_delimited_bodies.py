"""Readers of responses whose bodies are delimited only by their connection's end."""

import asyncio
import json
import random
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from grpclib.server import Server, Stream
from hypothesis import given
from hypothesis import strategies as st

from pondpin.answer_writers import WholeWriter
from pondpin.attempts import Failure
from pondpin.body_checks import ignore_body, is_json_document, is_unused_or_json
from pondpin.body_ends import BROKEN_OFF, BodyEnd, ConnectionEnd, Framing
from pondpin.buffered_bodies import Collector
from pondpin.calls import CallKind
from pondpin.controllers.configuration import ConfigurationController, ConfigurationStore
from pondpin.controllers.peers import GrpcPeerClient
from pondpin.engine_client import HttpEngines, StreamRef
from pondpin.engine_protocol import (
    CacheEvents,
    LoadReport,
    Order,
    OrderAnswer,
    ReservationRequest,
    StreamFrame,
)
from pondpin.errors import PeerUnreachableError
from pondpin.frames import FrameGate
from pondpin.http_client import HttpClient
from pondpin.http_streams import BufferBudget, CallFailedError
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.platform.leases import PlatformLeases
from pondpin.platform.order_store import PlatformOrderStore
from pondpin.platform.reports import PlatformLiveness, PlatformReports
from pondpin.platform.store import PlatformStore
from pondpin.platform_client import HttpPlatform
from pondpin.platform_protocol import EPOCH_HEADER, REVISION_HEADER
from pondpin.relay.peers.digests import DIGEST_FORMAT, Digest, decode_digest, encode_digest
from pondpin.relay.peers.limit_messages import (
    LIMITS_FORMAT,
    LimitsMessage,
    decode_limits,
    encode_limits,
)
from pondpin.relay.peers.permit_messages import (
    PERMITS_FORMAT,
    PermitMessage,
    PermitUse,
    decode_permits,
    encode_permits,
)
from pondpin.relay.peers.quarantine_sync import (
    QUARANTINE_FORMAT,
    QuarantineMessage,
    decode_quarantine,
)
from pondpin.relay.peers.slot_messages import (
    SLOTS_FORMAT,
    SlotEnd,
    SlotMessage,
    decode_slots,
    encode_slots,
)
from pondpin.relay.published.documents import PublishedItem, encode_configuration
from pondpin.relay.published.packing import pack, unpack
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, HttpPieceClient
from pondpin.relay.upstreams.long_prefills import (
    LONG_PREFILLS_FORMAT,
    LongPrefills,
    decode_long_prefills,
    encode_long_prefills,
)
from pondpin.service_client import HttpServices, ServiceCall
from pondpin.stream_attempt import AttemptResult, StreamAttempt
from pondpin.tests.support import prepare, run_async, sample_document, the_loop
from pondpin.tools.measure_bare import Bare
from pondpin.tools.operator_client import OperatorClient, OperatorError
from pondpin.wire.peer_grpc import PeerBase
from pondpin.wire.peer_pb2 import (
    ExplainReply,
    ExplainRequest,
    FetchConfigurationReply,
    FetchConfigurationRequest,
    ForwardReply,
    ForwardRequest,
    HeartbeatReply,
    HeartbeatRequest,
)

prepare()

SECONDS = 5.0
CALL = ServiceCall("POST", "/x", {}, b"", "")
REF = StreamRef("", "r1", 0)
RESERVATION = ReservationRequest(name="n", instance="i", incarnation=1, blocks=1, deadline=1.0)
LOAD = LoadReport(
    incarnation=1,
    state="ready",
    model="m",
    role="all",
    made_at=1.0,
    blocks=1,
    block_tokens=1,
    chunk_tokens=1,
    blocks_held=0,
    queued_prefill_tokens=0,
    queued_by_priority=(),
    running=0,
    waiting=0,
    steps=0,
    busy_seconds=0.0,
    prefill_tokens=0,
    decode_tokens=0,
    context_tokens=0,
    cache_sequence=0,
)
DIGEST = Digest(
    format=DIGEST_FORMAT,
    instance="i",
    boot=1,
    host="h",
    sequence=1,
    stamp=1,
    echo_boot=1,
    echo=1,
    revision=1,
    proof_age=1,
    list_tag=1,
    list_age=1,
    data_center="d",
    reads_source=True,
    leaving=(1,),
    ejected=(),
    work=(),
    hosts=("h",),
    interval_ms=1,
    wants_reply=False,
)
CONFIGURATION = b'{"tlsKey":"op/config","value":"e30=","revision":3}'
UPSTREAM = b'{"tlsKey":"servers/a","value":"e30=","revision":3}'
ORDERED = b'{"tlsKey":"op/evacuate/north","revision":3}'


@dataclass
class ScriptedServer:
    """Answers requests with the given bodies in order, the last one for all further requests.

    missing: bytes that a length or chunks announce beyond the body. Closes connections in order.
    """

    bodies: tuple[bytes, ...] = (b"",)
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    framing: Framing = Framing.CLOSE_DELIMITED
    missing: int = 0
    answered: int = 0

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    def script(self, *bodies: bytes, framing: Framing, missing: int = 0) -> None:
        """Set the next answers."""
        self.bodies, self.framing, self.missing, self.answered = bodies, framing, missing, 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        body = self.bodies[min(self.answered, len(self.bodies) - 1)]
        self.answered += 1
        lines = [f"HTTP/1.1 {self.status} Status", "connection: close"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self.framing is Framing.LENGTH:
            lines.append(f"content-length: {len(body) + self.missing}")
        elif self.framing is Framing.CHUNKED:
            lines.append("transfer-encoding: chunked")
            body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            body += b"" if self.missing else b"0\r\n\r\n"
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        writer.close()


@dataclass(frozen=True)
class Reader:
    """A reader and a sound body for it.

    is_proved: whether the content of the body shows that it is complete.
    """

    name: str
    body: bytes
    read: Callable[[HttpClient, str], Awaitable[object]]
    is_proved: bool = True
    headers: dict[str, str] = field(default_factory=dict)


def place_of(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.partition(":")
    return host, int(port)


def reserve(client: HttpClient, address: str) -> Awaitable[object]:
    """Reserve memory at an upstream."""
    leases = PlatformLeases(client)
    return leases.reserve(*place_of(address), "t1", 1, 1.0, SECONDS, lambda head: None)


def release(client: HttpClient, address: str) -> Awaitable[object]:
    """Release memory at an upstream."""
    leases = PlatformLeases(client)
    return leases.release(*place_of(address), "i-1", "t1", SECONDS, lambda head: None)


def is_healthy(client: HttpClient, address: str) -> Awaitable[object]:
    """Check an upstream's liveness."""
    liveness = PlatformLiveness(client)
    return liveness.is_healthy(*place_of(address), "/", SECONDS, lambda head: None)


def identify(client: HttpClient, address: str) -> Awaitable[object]:
    """Ask an upstream for its id."""
    liveness = PlatformLiveness(client)
    return liveness.identify(*place_of(address), "/", "i-1", lambda head: None)


def read_report(client: HttpClient, address: str) -> Awaitable[object]:
    """Read an upstream's load report."""
    reports = PlatformReports(client)
    return reports.read_report(*place_of(address), SECONDS, lambda head: None)


def fetch_piece(client: HttpClient, address: str) -> Awaitable[object]:
    """Fetch a piece of a document from a peer."""
    pieces = HttpPieceClient(client, Metrics("i", "d"), "/v1/pieces")
    return pieces.fetch_piece(address, FetchPieceRequest(0), SECONDS)


BODY_READERS = (
    Reader(
        "configuration of the store",
        CONFIGURATION,
        lambda client, at: PlatformStore(client, at).read_configuration(SECONDS),
    ),
    Reader(
        "watch of the store",
        b'{"events":[%s],"at":4}' % CONFIGURATION,
        lambda client, at: PlatformStore(client, at).read_change(1, SECONDS),
    ),
    Reader(
        "watch of the store without events",
        b'{"events":[],"at":4}',
        lambda client, at: PlatformStore(client, at).read_change(1, SECONDS),
    ),
    Reader(
        "list of the store",
        b'{"items":[%s],"at":4,"more":false}' % UPSTREAM,
        lambda client, at: PlatformStore(client, at).read_upstreams(SECONDS),
    ),
    Reader(
        "list of the store with an invalid item",
        b'{"items":[%s,{"tlsKey":1}],"at":4}' % UPSTREAM,
        lambda client, at: PlatformStore(client, at).read_upstreams(SECONDS),
    ),
    Reader(
        "watch of operators' writes",
        b'{"events":[%s,%s],"at":4}' % (ORDERED, CONFIGURATION),
        lambda client, at: PlatformOrderStore(client, at).read_changes(1, SECONDS),
    ),
    Reader(
        "evacuation orders of the store",
        b'{"items":[%s],"at":4}' % ORDERED,
        lambda client, at: PlatformOrderStore(client, at).read_orders(SECONDS),
    ),
    Reader("load report of an upstream", b'{"active":12,"queued":10}', read_report),
    Reader(
        "piece of a peer's document",
        msgspec.msgpack.encode(FetchPieceReply(3, 4, 7, b"piece", 1, False, 2)),
        fetch_piece,
        is_proved=False,
    ),
    Reader(
        "operator's view of an instance's metrics",
        b"sent 10\nkept 20\n",
        lambda client, at: OperatorClient(client).get(at, "/metrics"),
        is_proved=False,
    ),
    Reader(
        "operator's view of an instance's JSON document",
        b'{"state":12}',
        lambda client, at: OperatorClient(client).get_json(at, "/v1/state"),
        is_proved=False,
    ),
    Reader(
        "load of an engine",
        msgspec.json.encode(LOAD),
        lambda client, at: HttpEngines(client).load(at, SECONDS),
    ),
    Reader(
        "cache events of an engine",
        msgspec.json.encode(CacheEvents(1, ())),
        lambda client, at: HttpEngines(client).cache_events(at, 0, SECONDS),
    ),
    Reader(
        "answer of an engine to an order",
        msgspec.json.encode(OrderAnswer(True, 12)),
        lambda client, at: HttpEngines(client).order(
            at, Order(fence=1, model="m", role="all"), SECONDS
        ),
    ),
    Reader(
        "last order of an engine",
        msgspec.json.encode(OrderAnswer(True, 12)),
        lambda client, at: HttpEngines(client).last_order(at, SECONDS),
    ),
    Reader(
        "JSON answer of a plain service",
        b'{"times":12}',
        lambda client, at: HttpServices(client).send(at, CALL, SECONDS, False),
    ),
    Reader(
        "text answer of a plain service",
        b"paid 100 of 100",
        lambda client, at: HttpServices(client).send(at, CALL, SECONDS, False),
        is_proved=False,
    ),
    Reader(
        "number answered by a plain service",
        b"100",
        lambda client, at: HttpServices(client).send(at, CALL, SECONDS, False),
        is_proved=False,
    ),
    Reader(
        "load of a plain service",
        b'{"incarnation":1,"state":"ready","running":10}',
        lambda client, at: HttpServices(client).load(at, SECONDS),
    ),
    Reader(
        "configuration of the callers' own interface",
        b'{"version":12}',
        lambda client, at: HttpPlatform(client, at).watch(0, SECONDS),
        headers={EPOCH_HEADER: "1", REVISION_HEADER: "5"},
    ),
    Reader(
        "instances of the callers' own interface",
        b'{"instances":[]}',
        lambda client, at: HttpPlatform(client, at).instances(SECONDS),
    ),
)
HEAD_READERS = (
    Reader("liveness check of an upstream", b"well", is_healthy),
    Reader("identity of an upstream", b"well", identify),
    Reader("reserved memory of an upstream", b'{"free":41200}', reserve),
    Reader("released memory of an upstream", b'{"free":41200}', release),
    Reader(
        "cancelled stream of an engine",
        b'{"ended":true}',
        lambda client, at: HttpEngines(client).cancel(StreamRef(at, "r1", 0), SECONDS),
    ),
    Reader(
        "reserved memory of an engine",
        b'{"held":true}',
        lambda client, at: HttpEngines(client).reserve(at, RESERVATION, SECONDS),
    ),
    Reader(
        "released memory of an engine",
        b'{"held":false}',
        lambda client, at: HttpEngines(client).release(at, "n", SECONDS),
    ),
)
FAILURES = (CallFailedError, PeerUnreachableError, OperatorError)
REFUSALS = "the answer is close-delimited|the answer broke off"
Work = Callable[[HttpClient, ScriptedServer, str], Awaitable[None]]


def play(work: Work) -> None:
    """Run a test with a client and a server."""

    async def whole() -> None:
        client = HttpClient(the_loop()[1], 1.0)
        server = ScriptedServer()
        address = await server.listen()
        try:
            await work(client, server, address)
        finally:
            await client.close()
            await server.close()

    run_async(whole())


class ReadersTest(unittest.TestCase):
    async def assert_fails(self, reader: Reader, client: HttpClient, address: str) -> None:
        with self.assertRaises(FAILURES) as raised:
            found = await reader.read(client, address)
            self.fail(f"taken for whole: {found!r}")
        # The client refuses it before a decoder that may be laxer sees it.
        self.assertRegex(str(raised.exception), REFUSALS)

    def test_body_cut_at_any_byte_is_never_taken_for_whole(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            for reader in BODY_READERS:
                server.headers = reader.headers
                for size in range(len(reader.body)):
                    for framing in Framing:
                        server.script(
                            reader.body[:size], framing=framing, missing=len(reader.body) - size
                        )
                        with self.subTest(reader.name, size=size, framing=framing):
                            await self.assert_fails(reader, client, address)

        play(work)

    def test_sound_body_is_accepted_if_its_framing_or_content_proves_it(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            for reader in BODY_READERS:
                server.headers = reader.headers
                server.script(reader.body, framing=Framing.LENGTH)
                expected = await reader.read(client, address)
                server.script(reader.body, framing=Framing.CHUNKED)
                self.assertEqual(await reader.read(client, address), expected, reader.name)
                server.script(reader.body, framing=Framing.CLOSE_DELIMITED)
                with self.subTest(reader.name):
                    if reader.is_proved:
                        self.assertEqual(await reader.read(client, address), expected)
                    else:
                        await self.assert_fails(reader, client, address)

        play(work)

    def test_reader_of_the_status_accepts_any_end_in_order(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            for reader in HEAD_READERS:
                server.script(reader.body, framing=Framing.LENGTH)
                expected = await reader.read(client, address)
                for size in range(len(reader.body) + 1):
                    server.script(reader.body[:size], framing=Framing.CLOSE_DELIMITED)
                    with self.subTest(reader.name, size=size):
                        self.assertEqual(await reader.read(client, address), expected)

        play(work)

    def test_release_answered_by_another_upstream_is_told_from_one_by_the_same(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            for status, is_same in ((200, True), (404, True), (421, False)):
                server.script(b"{}", framing=Framing.LENGTH)
                server.status = status
                self.assertIs(await release(client, address), is_same)

        play(work)

    def test_later_page_cut_at_any_byte_fails_the_list(self) -> None:
        first = b'{"items":[%s],"at":4,"more":true}' % UPSTREAM
        last = b'{"items":[%s],"at":5,"more":false}' % UPSTREAM.replace(b"servers/a", b"servers/b")

        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            store = PlatformStore(client, address)
            for size in range(len(last)):
                server.script(first, last[:size], framing=Framing.CLOSE_DELIMITED)
                with self.assertRaises(CallFailedError, msg=size):
                    await store.read_upstreams(SECONDS)
            server.script(first, last, framing=Framing.CLOSE_DELIMITED)
            found = await store.read_upstreams(SECONDS)
            self.assertEqual([item.key for item in found.items], ["servers/a", "servers/b"])

        play(work)

    def test_status_without_a_document_is_accepted_whatever_its_body(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            store = PlatformStore(client, address)
            for body in (b"", b"not fo", b'{"error":'):
                server.script(body, framing=Framing.CLOSE_DELIMITED)
                server.status = 404
                self.assertIsNone((await store.read_configuration(SECONDS)).item)
                server.status = 410
                self.assertIsNone((await store.read_change(1, SECONDS)).through_revision)

        play(work)

    def test_configuration_cut_short_is_read_again(self) -> None:
        document = msgspec.json.encode(sample_document(upstreams={}))

        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            server.headers = {EPOCH_HEADER: "1", REVISION_HEADER: "5"}
            store = ConfigurationStore(Metrics("i", "d"), lambda snapshot: None)
            platform = HttpPlatform(client, address)
            controller = ConfigurationController(store, platform, 0.1, 0.1, random.Random(1))
            server.script(document[: len(document) // 2], framing=Framing.CLOSE_DELIMITED)
            await controller.step()
            self.assertEqual((store.seen_revision, store.rejected), (0, None))
            server.script(document, framing=Framing.CLOSE_DELIMITED)
            await controller.step()
            self.assertEqual(store.revision, store.seen_revision)
            self.assertEqual(store.document, document)

        play(work)


class ClientTest(unittest.TestCase):
    def test_close_delimited_bodies_are_refused_by_default(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            url = f"http://{address}/x"
            for body in (b"", b"text", b'{"a":1}'):
                server.script(body, framing=Framing.CLOSE_DELIMITED)
                with self.assertRaises(CallFailedError) as raised:
                    await client.call("GET", url)
                self.assertTrue(raised.exception.sent)
                with self.assertRaises(CallFailedError):
                    await client.call_with_stall_timeout("GET", url, SECONDS, SECONDS)
                with self.assertRaises(CallFailedError):
                    await (await client.open("GET", url)).read()
                with self.assertRaises(CallFailedError):
                    start = await client.open("GET", url)
                    await start.read_with_stall_timeout(SECONDS, SECONDS)
                self.assertEqual((client.budget.held, client.budget.buffers), (0, set()))

        play(work)

    def test_caller_that_asks_for_a_close_delimited_body_gets_it(self) -> None:
        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            url = f"http://{address}/x"
            server.script(b"text", framing=Framing.CLOSE_DELIMITED)
            called = await client.call("GET", url, close_delimited_if=ignore_body)
            self.assertEqual(called.body, b"text")
            called = await client.call_with_stall_timeout(
                "GET", url, SECONDS, SECONDS, close_delimited_if=ignore_body
            )
            self.assertEqual(called.body, b"text")

        play(work)

    def test_body_of_a_broken_connection_is_refused_whatever_its_content(self) -> None:
        async def work() -> None:
            reset = BodyEnd(Framing.CLOSE_DELIMITED, ConnectionEnd.RESET, False)
            still_open = BodyEnd(Framing.CLOSE_DELIMITED, ConnectionEnd.OPEN, False)
            for end in (reset, still_open, BROKEN_OFF):
                collector = Collector(100, BufferBudget(100), lambda body: True)
                collector.on_data(b"{}")
                collector.on_end(end)
                with self.assertRaises(CallFailedError):
                    await collector.done

        run_async(work())


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)
DOCUMENTS = st.lists(JSON_VALUES, max_size=3) | st.dictionaries(st.text(max_size=3), JSON_VALUES)

PART_BYTES = 1 << 16
FORWARDED = ForwardReply(status=200, body=b"paid 100 of 100")
NUMBERS = st.integers(0, 2**64 - 1)


class ContentTest(unittest.TestCase):
    @given(DOCUMENTS, st.sampled_from(("", " ", "\r\n\t")), st.sampled_from((None, 2)))
    def test_no_shorter_part_of_a_document_passes(
        self, value: object, blank: str, indent: int | None
    ) -> None:
        body = (blank + json.dumps(value, indent=indent)).encode()
        self.assertTrue(is_json_document(200, body + blank.encode()))
        for size in range(len(body)):
            self.assertFalse(is_json_document(200, body[:size]), body[:size])

    def test_content_without_an_end_of_its_own_is_no_proof(self) -> None:
        for body in (
            b"",
            b" ",
            b"12",
            b"-1.5",
            b"true",
            b'"text"',
            b"text",
            b'{"a":1}{"b":2}',
            b'{"a":1}\n{"b":2}',
            b"[1]x",
            b"\x93\x01\x02\x03",
            b"[" * 100_000,
        ):
            self.assertFalse(is_json_document(200, body), body[:20])
            self.assertFalse(is_unused_or_json(200, body), body[:20])
            self.assertTrue(is_unused_or_json(404, body), body[:20])

    @given(st.builds(FetchPieceReply, NUMBERS, NUMBERS, NUMBERS, st.binary()))
    def test_no_shorter_part_of_a_peers_reply_can_be_decoded(self, reply: FetchPieceReply) -> None:
        body = msgspec.msgpack.encode(reply)
        for size in range(len(body)):
            with self.assertRaises(ValueError):
                msgspec.msgpack.decode(body[:size], type=FetchPieceReply)

    def test_no_shorter_part_of_a_peers_document_can_be_unpacked(self) -> None:
        item = PublishedItem("op/config", 5, b'{"version":1}')
        packed = pack(encode_configuration(item), None).data
        for size in range(len(packed)):
            with self.assertRaises(ValueError, msg=size):
                unpack(packed[:size], lambda base: None)

    def test_no_shorter_part_of_a_peers_datagram_can_be_decoded(self) -> None:
        quarantine = QuarantineMessage(QUARANTINE_FORMAT, "i", 1, 2, (), ((3, 4),))
        prefills = LongPrefills(LONG_PREFILLS_FORMAT, "i", 1, 2, ())
        limits = LimitsMessage(LIMITS_FORMAT, "i", 1, ())
        messages: tuple[tuple[bytes, Callable[[bytes], object | None]], ...] = (
            (encode_digest(DIGEST), decode_digest),
            (encode_limits(limits), decode_limits),
            (encode_permits(PermitMessage(PERMITS_FORMAT, use=PermitUse(1, True))), decode_permits),
            (encode_slots(SlotMessage(SLOTS_FORMAT, end=SlotEnd(1, 2))), decode_slots),
            (encode_long_prefills(prefills), decode_long_prefills),
            (msgspec.msgpack.encode(quarantine), decode_quarantine),
        )
        for data, decode in messages:
            self.assertIsNotNone(decode(data), decode)
            for size in range(len(data)):
                self.assertIsNone(decode(data[:size]), (decode, size))


class EngineStreamTest(unittest.TestCase):
    async def receive(self, client: HttpClient, address: str) -> AttemptResult:
        attempt = StreamAttempt(
            gate=FrameGate("r1", 0),
            writer=WholeWriter(CallKind.COMPLETION, "r1", "m"),
            clock=lambda: 0.0,
            stall_floor=SECONDS,
            predicted_first=0.0,
            token_gap=1.0,
            on_first=lambda: None,
        )
        start = await HttpEngines(client).resume(StreamRef(address, "r1", 0), 0)
        attempt.stream = start.deliver(attempt)
        return await asyncio.wait_for(attempt.done, SECONDS)

    def test_stream_without_its_last_frame_is_broken_whatever_its_framing(self) -> None:
        frames = (
            StreamFrame("r1", 0, 0, "a"),
            StreamFrame("r1", 0, 1, "b"),
            StreamFrame("r1", 0, 2, "", "stop", 1),
        )
        body = b"".join(b"data: " + msgspec.json.encode(frame) + b"\n\n" for frame in frames)

        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            for framing in Framing:
                for size in range(len(body)):
                    server.script(body[:size], framing=framing)
                    result = await self.receive(client, address)
                    self.assertIs(result.failure, Failure.BROKEN, size)
                server.script(body, framing=framing)
                self.assertIsNone((await self.receive(client, address)).failure)

        play(work)

    def test_stream_passed_on_unread_is_truncated_unless_its_framing_proves_it(self) -> None:
        body = b"data: " + msgspec.json.encode(StreamFrame("bare-1", 0, 0, "a")) + b"\n\n"
        asked = msgspec.json.encode({"model": "m", "prompt": "p", "max_tokens": 1})

        async def work(client: HttpClient, server: ScriptedServer, address: str) -> None:
            reactor = the_loop()[1]
            bare = Bare(reactor, address)
            place = bare.server.listen(reactor, Endpoint("127.0.0.1", 0))
            url = f"http://{place}/v1/completions"
            try:
                for framing, missing in (
                    (Framing.CLOSE_DELIMITED, 0),
                    (Framing.LENGTH, 1),
                    (Framing.CHUNKED, 1),
                ):
                    server.script(body, framing=framing, missing=missing)
                    with self.assertRaises(CallFailedError, msg=framing):
                        await client.call("POST", url, body=asked)
                for framing in (Framing.LENGTH, Framing.CHUNKED):
                    server.script(body, framing=framing)
                    answer = await client.call("POST", url, body=asked)
                    self.assertEqual(answer.body, body)
            finally:
                await bare.server.close()

        play(work)


class _ForwardingPeer(PeerBase):
    """Answers forwarded calls."""

    async def Heartbeat(self, stream: Stream[HeartbeatRequest, HeartbeatReply]) -> None:
        """Not used."""

    async def FetchConfiguration(
        self, stream: Stream[FetchConfigurationRequest, FetchConfigurationReply]
    ) -> None:
        """Not used."""

    async def Explain(self, stream: Stream[ExplainRequest, ExplainReply]) -> None:
        """Not used."""

    async def Forward(self, stream: Stream[ForwardRequest, ForwardReply]) -> None:
        """Answer as a service that has run."""
        await stream.recv_message()
        await stream.send_message(FORWARDED)


@dataclass
class CutLink:
    """Passes connections on to a server; closes each in order after some bytes of its answers."""

    port: int
    limit: int
    passed: int = 0
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening, once the callers have closed their connections."""
        self._server.close()
        await asyncio.gather(*self.tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.current_task()
        assert serving is not None, "connections are served in tasks"
        self.tasks.add(serving)
        self.passed = 0
        from_server, to_server = await asyncio.open_connection("127.0.0.1", self.port)
        sending = asyncio.create_task(self._send(reader, to_server))
        while self.passed < self.limit:
            data = await from_server.read(self.limit - self.passed)
            if not data:
                break
            self.passed += len(data)
            writer.write(data)
        writer.close()
        await sending

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(PART_BYTES):
            writer.write(data)
        writer.close()


class PeerCallTest(unittest.TestCase):
    async def forward(self, address: str) -> ForwardReply:
        peers = GrpcPeerClient(Metrics("i", "d"), lambda: None)
        try:
            return await peers.forward(address, ForwardRequest(token="t"), SECONDS)
        finally:
            peers.close()

    def test_peers_reply_cut_at_any_byte_is_never_taken_for_whole(self) -> None:
        async def work() -> None:
            server = Server([_ForwardingPeer()])
            # A port that is free now; grpclib's server doesn't tell which it took.
            with socket.socket() as found:
                found.bind(("127.0.0.1", 0))
                port = found.getsockname()[1]
            await server.start("127.0.0.1", port)
            link = CutLink(port, PART_BYTES)
            address = await link.listen()
            try:
                self.assertEqual(await self.forward(address), FORWARDED)
                needed = link.passed
                refused = 0
                for link.limit in range(1, needed):
                    try:
                        self.assertEqual(await self.forward(address), FORWARDED, link.limit)
                    except PeerUnreachableError:
                        refused += 1
                # At least the whole message and its trailers have to arrive.
                self.assertGreater(refused, len(FORWARDED.SerializeToString()))
            finally:
                await link.close()
                server.close()
                await server.wait_closed()

        run_async(work())
