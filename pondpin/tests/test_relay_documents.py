"""Distribution of published documents to all instances, in time and within their bandwidth."""

import asyncio
import math
import random
import unittest
import zlib

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pondpin.errors import PeerUnreachableError
from pondpin.http_streams import CallFailedError
from pondpin.platform.documents import PlatformDecoder
from pondpin.platform.store import MAX_READ_SECONDS, PlatformStore
from pondpin.relay.log import EventLog
from pondpin.relay.published.delta import Kept, apply_delta, encode_delta, split_segments
from pondpin.relay.published.document_fetch import BUSY_RETRY_SECONDS, DocumentFetcher
from pondpin.relay.published.document_server import (
    MAX_TRANSFERS,
    TRANSFER_IDLE_SECONDS,
    DocumentServer,
)
from pondpin.relay.published.documents import (
    DocumentKind,
    PublishedItem,
    decode_configuration,
    decode_list,
    encode_configuration,
    encode_list,
)
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.packing import (
    MAX_CACHED_DOCUMENTS,
    PIECE_BYTES,
    PackedDocumentCache,
    pack,
    unpack,
)
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.reader import READ_STALL_SECONDS
from pondpin.standins.local_platform import sample_configuration
from pondpin.standins.simulated_store import SimulatedStore
from pondpin.standins.store_state import CONFIGURATION_KEY
from pondpin.tools.document_fleet import (
    TEN_MEGABIT,
    TURN_BYTES,
    DocumentFleet,
    Link,
    SimulatedHttp,
    random_routes,
)
from pondpin.tools.virtual_time import run_virtual

NOW = 1000.0

# By then the instances know each other and have their first configuration.
SETTLE_SECONDS = 12.0
# The strictest time limit of a deployment, from the confirmation of a change.
APPLY_SECONDS = 2.0
# About the largest configuration that a store accepts, 1 MB.
MAX_ROUTES = 3900


class DistributionTest(unittest.TestCase):
    def test_large_configuration_is_in_force_on_all_instances_in_time(self) -> None:
        async def scenario() -> None:
            fleet = DocumentFleet(3, instances=40, routes=2500, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            failed = fleet.failed_fetches
            fleet.publish(2, more_routes=1400)
            seconds = await fleet.seconds_until_in_force(2)
            await fleet.stop()
            self.assertLess(seconds, APPLY_SECONDS)
            self.assertEqual(fleet.failed_fetches - failed, 0)

        run_virtual(scenario())


class SourceReadTest(unittest.TestCase):
    def test_proofs_are_renewed_without_fetching_the_configuration(self) -> None:
        async def scenario() -> None:
            fleet = DocumentFleet(1, instances=1, routes=1000, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            (member,) = fleet.members
            reads, carried = member.reader.read_count, member.downlink.carried
            await asyncio.sleep(SETTLE_SECONDS)
            await fleet.stop()
            proof = member.publication.proof
            assert proof is not None
            self.assertLess(proof.age(asyncio.get_running_loop().time()), APPLY_SECONDS)
            self.assertGreater(member.reader.read_count - reads, 5)
            value = fleet.store.item_by_key[CONFIGURATION_KEY].value
            self.assertLess(member.downlink.carried - carried, len(value))

        run_virtual(scenario())

    def test_slow_read_with_progress_completes(self) -> None:
        async def scenario() -> None:
            store = SimulatedStore()
            store.put(CONFIGURATION_KEY, {"routes": random_routes(MAX_ROUTES, 1)})
            source = PlatformStore(SimulatedHttp(store, Link(TEN_MEGABIT)), "store:1")
            item = (await source.read_configuration(READ_STALL_SECONDS)).item
            assert item is not None
            self.assertEqual(item.value, store.item_by_key[CONFIGURATION_KEY].value)

        run_virtual(scenario())

    def test_read_fails_when_the_store_sends_too_slowly(self) -> None:
        async def scenario() -> None:
            store = SimulatedStore()
            store.put(CONFIGURATION_KEY, {"routes": random_routes(MAX_ROUTES, 1)})
            loop = asyncio.get_running_loop()
            began = loop.time()
            source = PlatformStore(SimulatedHttp(store, Link(TURN_BYTES / 0.9)), "store:1")
            with self.assertRaises(CallFailedError):
                await source.read_configuration(READ_STALL_SECONDS)
            self.assertLessEqual(loop.time() - began, MAX_READ_SECONDS + READ_STALL_SECONDS)

        run_virtual(scenario())

    def test_read_fails_when_the_store_is_silent(self) -> None:
        async def scenario() -> None:
            http = SimulatedHttp(SimulatedStore(), Link(TEN_MEGABIT))
            http.silent = True
            with self.assertRaises(CallFailedError):
                await PlatformStore(http, "store:1").read_configuration(READ_STALL_SECONDS)

        run_virtual(scenario())


def make_item(revision: int, *segments: bytes) -> PublishedItem:
    return PublishedItem("op/config", revision, b"".join(segments))


ROUTES = tuple(b'{"name":"r%d","service":"s"},' % number for number in range(500))


class DeltaTest(unittest.TestCase):
    @given(
        st.lists(st.sampled_from([b"a}", b"b}", b"{c}", b"d", b"}"]), max_size=30),
        st.lists(st.sampled_from([b"a}", b"b}", b"{c}", b"e}", b"f"]), max_size=30),
    )
    def test_delta_reproduces_the_new_value(self, old: list[bytes], new: list[bytes]) -> None:
        before, after = b"".join(old), b"".join(new)
        self.assertEqual(apply_delta(before, encode_delta(before, after)), after)
        self.assertEqual(b"".join(split_segments(after)), after)

    def test_delta_size_depends_on_the_change_and_not_on_the_value(self) -> None:
        changed = (*ROUTES[:200], b'{"name":"new"},', *ROUTES[200:300], *ROUTES[301:])
        steps = encode_delta(b"".join(ROUTES), b"".join(changed))
        self.assertLessEqual(len(steps), 4)
        self.assertEqual(apply_delta(b"".join(ROUTES), steps), b"".join(changed))

    def test_delta_for_another_value_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            apply_delta(b"a}", (Kept(0, 2),))


class PackingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old = encode_configuration(make_item(5, *ROUTES))
        self.new = encode_configuration(make_item(6, *ROUTES, b'{"name":"new"}'))
        self.base_by_id = {self.old.id: self.old}

    def test_unpacks_the_same_document_whole_or_from_a_base(self) -> None:
        whole = pack(self.new, None)
        packed = pack(self.new, self.old)
        self.assertEqual(unpack(whole.data, lambda _: None), self.new)
        self.assertEqual(unpack(packed.data, self.base_by_id.get), self.new)
        self.assertEqual(decode_configuration(self.new).revision, 6)
        self.assertLess(len(packed.data) * 10, len(whole.data))

    def test_corrupt_documents_and_wrong_bases_are_rejected(self) -> None:
        packed = pack(self.new, self.old).data
        for corrupt in (b"", packed[:-3], b"x" + packed, zlib.compress(b"x")):
            with self.assertRaises(ValueError):
                unpack(corrupt, self.base_by_id.get)
        with self.assertRaises(ValueError):
            unpack(packed, lambda _: None)
        wrong_base = encode_configuration(make_item(5, *ROUTES[1:], ROUTES[0]))
        with self.assertRaises(ValueError):
            unpack(packed, lambda _: wrong_base)
        with self.assertRaises(ValueError):
            decode_configuration(encode_list((), 5))

    def test_change_of_one_upstream_is_a_small_delta(self) -> None:
        items = [PublishedItem(f"servers/{number}", number, b'{"a":1}') for number in range(300)]
        old = encode_list(items, 77)
        items[100] = PublishedItem("servers/100", 900, b'{"a":2}')
        new = encode_list(items, 78)
        packed = pack(new, old)
        self.assertLess(len(packed.data), 150)
        self.assertEqual(decode_list(unpack(packed.data, lambda _: old)), tuple(items))

    def test_cache_packs_once_and_is_bounded(self) -> None:
        shelf = PackedDocumentCache()
        first = shelf.get_or_pack(self.new, self.old)
        self.assertIs(shelf.get_or_pack(self.new, self.old), first)
        self.assertIs(shelf.get(first.id), first)
        for tag in range(MAX_CACHED_DOCUMENTS):
            shelf.get_or_pack(encode_list((), 100 + tag), None)
        self.assertIsNone(shelf.get(first.id))


def make_publication(*revisions: int) -> Publication:
    """Make a publication that has applied these revisions in order."""
    publication = Publication(PlatformDecoder(), lambda _: None, lambda _: None, lambda *_: None)
    for revision in revisions:
        publication.apply_configuration(make_configuration(revision), NOW - 1.0, NOW)
    return publication


def make_configuration(revision: int) -> PublishedItem:
    """Make a configuration that is packed into several pieces."""
    routes = sample_configuration()["routes"] + random_routes(1000 + revision, revision)
    document = sample_configuration(revision) | {"routes": routes}
    return PublishedItem("op/config", revision, msgspec.json.encode(document))


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = NOW
        self.publication = make_publication(1)
        self.server = DocumentServer(self.publication, lambda: self.now)

    def request_piece(
        self, host: str, reply: FetchPieceReply | None = None, received: int = 0
    ) -> FetchPieceReply:
        packed_id = reply.packed_id if reply is not None else 0
        request = FetchPieceRequest(
            kind=DocumentKind.CONFIGURATION, packed_id=packed_id, offset=received, host=host
        )
        return self.server.answer(request, self.now)

    def test_other_hosts_get_busy_replies_while_all_slots_are_used(self) -> None:
        first = [self.request_piece(f"host{number}") for number in range(MAX_TRANSFERS + 1)]
        self.assertEqual([reply.busy for reply in first], [False] * MAX_TRANSFERS + [True])
        self.assertEqual(len(first[0].piece), PIECE_BYTES)
        self.assertEqual(first[-1].piece, b"")

    def test_slot_is_released_after_the_last_piece_or_the_idle_timeout(self) -> None:
        first = [self.request_piece(f"host{number}") for number in range(MAX_TRANSFERS)]
        self.request_piece("host0", first[0], first[0].size - 1)
        self.assertFalse(self.request_piece("late").busy)
        self.assertTrue(self.request_piece("later").busy)
        self.now += TRANSFER_IDLE_SECONDS + 0.01
        self.assertFalse(self.request_piece("later").busy)

    def test_started_transfer_completes_despite_a_newer_version(self) -> None:
        first = self.request_piece("host")
        self.publication.apply_configuration(make_configuration(2), self.now, self.now)
        second = self.request_piece("host", first, PIECE_BYTES)
        self.assertEqual((second.packed_id, second.version), (first.packed_id, 1))
        self.assertEqual(second.age_ms, -1)
        self.assertEqual(self.request_piece("other").version, 2)

    def test_age_of_the_newest_version_is_rounded_up(self) -> None:
        self.now += 0.2504
        self.assertEqual(self.request_piece("host").age_ms, 1251)

    def test_requester_with_the_newest_version_gets_no_document(self) -> None:
        for known in (1, 2):
            request = FetchPieceRequest(kind=DocumentKind.CONFIGURATION, known=known, host="host")
            self.assertEqual(self.server.answer(request, self.now).packed_id, 0)
        self.publication.apply_list((), self.now, self.now)
        tag = self.publication.list_tag
        request = FetchPieceRequest(kind=DocumentKind.UPSTREAMS, known=tag, host="host")
        self.assertEqual(self.server.answer(request, self.now).packed_id, 0)
        request = FetchPieceRequest(kind=DocumentKind.UPSTREAMS, host="host")
        self.assertEqual(self.server.answer(request, self.now).version, tag)
        unknown_kind = FetchPieceRequest(kind=9, host="host")
        self.assertEqual(self.server.answer(unknown_kind, self.now).packed_id, 0)


class ScriptedPeers:
    """Peers that answer from servers until a given number of replies per host."""

    def __init__(self, servers: dict[str, DocumentServer]) -> None:
        self.servers = servers
        self.requested_hosts: list[str] = []
        self.replies_left_by_host: dict[str, int] = {}

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """Answer; a host without replies left is unreachable."""
        host = address.rpartition(":")[0]
        self.requested_hosts.append(host)
        await asyncio.sleep(0.01)
        left = self.replies_left_by_host.get(host, 1000)
        self.replies_left_by_host[host] = left - 1
        if left <= 0:
            raise PeerUnreachableError("TimeoutError")
        return self.servers[host].answer(request, asyncio.get_running_loop().time())


class FetcherTest(unittest.TestCase):
    def run_fetch(
        self,
        own: Publication,
        replies_left_by_host: dict[str, int],
        is_remote_by_host: dict[str, bool],
        busy_hosts: frozenset[str] = frozenset(),
    ) -> ScriptedPeers:
        """Fetch from hosts that have revision 3; all slots of busy hosts are in use."""

        async def scenario() -> ScriptedPeers:
            loop = asyncio.get_running_loop()
            servers = {
                host: DocumentServer(make_publication(2, 3), loop.time)
                for host in is_remote_by_host
            }
            for host in busy_hosts:
                for number in range(MAX_TRANSFERS):
                    request = FetchPieceRequest(kind=DocumentKind.CONFIGURATION, host=f"x{number}")
                    servers[host].answer(request, loop.time())
            peers = ScriptedPeers(servers)
            peers.replies_left_by_host = dict(replies_left_by_host)
            log = EventLog("i", loop.time, loop.time, -1)
            fetcher = DocumentFetcher(
                "me", 1, own, peers, lambda: None, log, loop.time, random.Random(1)
            )
            for host, is_remote in is_remote_by_host.items():
                fetcher.receive_offer(host, PublishedVersion(3, 0, 3), is_remote, loop.time())
            await asyncio.sleep(5.0)
            fetcher.close()
            return peers

        used: ScriptedPeers = run_virtual(scenario())
        return used

    def test_transfer_is_resumed_from_another_peer(self) -> None:
        own = make_publication()
        peers = self.run_fetch(
            own, {"a": 1, "b": 1, "c": 1000}, {"a": False, "b": False, "c": False}
        )
        self.assertEqual(own.revision, 3)
        pieces = len(pack(encode_configuration(make_configuration(3)), None).data) / PIECE_BYTES
        # Each unreachable peer costs one more request; no piece is fetched twice.
        self.assertLessEqual(len(peers.requested_hosts), math.ceil(pieces) + 2)

    def test_another_peer_replaces_a_busy_one(self) -> None:
        own = make_publication(2)
        whole = make_publication()
        for publication in (own, whole):
            self.run_fetch(publication, {}, {"a": False, "b": False}, frozenset(("a",)))
            self.assertEqual(publication.revision, 3)

    def test_busy_peer_is_retried(self) -> None:
        own = make_publication()
        peers = self.run_fetch(own, {}, {"a": False}, frozenset(("a",)))
        self.assertEqual(own.revision, 3)
        limit = TRANSFER_IDLE_SECONDS / BUSY_RETRY_SECONDS + 10
        self.assertLess(len(peers.requested_hosts), limit)

    def test_local_peer_is_preferred_to_a_remote_one(self) -> None:
        self.assertEqual(
            set(self.run_fetch(make_publication(), {}, {"f": True, "n": False}).requested_hosts),
            {"n"},
        )

    def test_peer_without_the_base_sends_the_whole_document(self) -> None:
        own = make_publication(1)
        self.run_fetch(own, {}, {"a": False})
        self.assertEqual(own.revision, 3)

    def test_proof_age_counts_from_the_request(self) -> None:
        own = make_publication()
        self.run_fetch(own, {}, {"a": False})
        assert own.proof is not None
        # The server's proof was 1 s old when the first piece was requested.
        self.assertLessEqual(own.proof.sent_at, NOW - 1.0)


if __name__ == "__main__":
    unittest.main()
