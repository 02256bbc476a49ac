"""How published documents travel: to all instances in time, at a cost that fits their links."""

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

# Instances know each other and their first configuration by then.
SETTLE_SECONDS = 12.0
# The shortest bound of a deployment, from the moment that a change was confirmed.
APPLY_SECONDS = 2.0
# About the largest configuration that a store takes, a megabyte.
MOST_ROUTES = 3900


class SpreadTest(unittest.TestCase):
    def test_a_large_configuration_is_in_force_everywhere_in_time(self) -> None:
        async def work() -> None:
            fleet = DocumentFleet(3, instances=40, routes=2500, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            failed = fleet.failed_fetches
            fleet.publish(2, more_routes=1400)
            seconds = await fleet.seconds_until_in_force(2)
            await fleet.stop()
            self.assertLess(seconds, APPLY_SECONDS)
            self.assertEqual(fleet.failed_fetches - failed, 0)

        run_virtual(work())


class ReadingTest(unittest.TestCase):
    def test_a_proof_does_not_cost_a_configuration(self) -> None:
        async def work() -> None:
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

        run_virtual(work())

    def test_a_read_that_goes_on_is_not_given_up(self) -> None:
        async def work() -> None:
            store = SimulatedStore()
            store.put(CONFIGURATION_KEY, {"routes": random_routes(MOST_ROUTES, 1)})
            source = PlatformStore(SimulatedHttp(store, Link(TEN_MEGABIT)), "store:1")
            item = (await source.read_configuration(READ_STALL_SECONDS)).item
            assert item is not None
            self.assertEqual(item.value, store.item_by_key[CONFIGURATION_KEY].value)

        run_virtual(work())

    def test_a_store_that_sends_next_to_nothing_is_given_up(self) -> None:
        async def work() -> None:
            store = SimulatedStore()
            store.put(CONFIGURATION_KEY, {"routes": random_routes(MOST_ROUTES, 1)})
            loop = asyncio.get_running_loop()
            began = loop.time()
            source = PlatformStore(SimulatedHttp(store, Link(TURN_BYTES / 0.9)), "store:1")
            with self.assertRaises(CallFailedError):
                await source.read_configuration(READ_STALL_SECONDS)
            self.assertLessEqual(loop.time() - began, MAX_READ_SECONDS + READ_STALL_SECONDS)

        run_virtual(work())

    def test_a_silent_store_is_given_up(self) -> None:
        async def work() -> None:
            http = SimulatedHttp(SimulatedStore(), Link(TEN_MEGABIT))
            http.silent = True
            with self.assertRaises(CallFailedError):
                await PlatformStore(http, "store:1").read_configuration(READ_STALL_SECONDS)

        run_virtual(work())


def item(revision: int, *pieces: bytes) -> PublishedItem:
    return PublishedItem("op/config", revision, b"".join(pieces))


ROUTES = tuple(b'{"name":"r%d","service":"s"},' % number for number in range(500))


class DifferenceTest(unittest.TestCase):
    @given(
        st.lists(st.sampled_from([b"a}", b"b}", b"{c}", b"d", b"}"]), max_size=30),
        st.lists(st.sampled_from([b"a}", b"b}", b"{c}", b"e}", b"f"]), max_size=30),
    )
    def test_the_new_value_is_made_exactly(self, old: list[bytes], new: list[bytes]) -> None:
        before, after = b"".join(old), b"".join(new)
        self.assertEqual(apply_delta(before, encode_delta(before, after)), after)
        self.assertEqual(b"".join(split_segments(after)), after)

    def test_steps_grow_with_the_change_and_not_with_the_value(self) -> None:
        changed = (*ROUTES[:200], b'{"name":"new"},', *ROUTES[200:300], *ROUTES[301:])
        steps = encode_delta(b"".join(ROUTES), b"".join(changed))
        self.assertLessEqual(len(steps), 4)
        self.assertEqual(apply_delta(b"".join(ROUTES), steps), b"".join(changed))

    def test_steps_for_another_value_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            apply_delta(b"a}", (Kept(0, 2),))


class PackingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old = encode_configuration(item(5, *ROUTES))
        self.new = encode_configuration(item(6, *ROUTES, b'{"name":"new"}'))
        self.found = {self.old.id: self.old}

    def test_a_document_is_unpacked_alike_whole_or_from_a_base(self) -> None:
        whole = pack(self.new, None)
        packed = pack(self.new, self.old)
        self.assertEqual(unpack(whole.data, lambda _: None), self.new)
        self.assertEqual(unpack(packed.data, self.found.get), self.new)
        self.assertEqual(decode_configuration(self.new).revision, 6)
        self.assertLess(len(packed.data) * 10, len(whole.data))

    def test_spoiled_documents_and_wrong_bases_are_refused(self) -> None:
        packed = pack(self.new, self.old).data
        for spoiled in (b"", packed[:-3], b"x" + packed, zlib.compress(b"x")):
            with self.assertRaises(ValueError):
                unpack(spoiled, self.found.get)
        with self.assertRaises(ValueError):
            unpack(packed, lambda _: None)
        moved = encode_configuration(item(5, *ROUTES[1:], ROUTES[0]))
        with self.assertRaises(ValueError):
            unpack(packed, lambda _: moved)
        with self.assertRaises(ValueError):
            decode_configuration(encode_list((), 5))

    def test_a_change_of_one_upstream_is_a_small_difference(self) -> None:
        items = [PublishedItem(f"servers/{number}", number, b'{"a":1}') for number in range(300)]
        old = encode_list(items, 77)
        items[100] = PublishedItem("servers/100", 900, b'{"a":2}')
        new = encode_list(items, 78)
        packed = pack(new, old)
        self.assertLess(len(packed.data), 150)
        self.assertEqual(decode_list(unpack(packed.data, lambda _: old)), tuple(items))

    def test_the_shelf_packs_once_and_keeps_a_few(self) -> None:
        shelf = PackedDocumentCache()
        first = shelf.get_or_pack(self.new, self.old)
        self.assertIs(shelf.get_or_pack(self.new, self.old), first)
        self.assertIs(shelf.get(first.id), first)
        for tag in range(MAX_CACHED_DOCUMENTS):
            shelf.get_or_pack(encode_list((), 100 + tag), None)
        self.assertIsNone(shelf.get(first.id))


def published(*revisions: int) -> Publication:
    """A publication that had these revisions in force, one after the other."""
    publication = Publication(PlatformDecoder(), lambda _: None, lambda _: None, lambda *_: None)
    for revision in revisions:
        publication.apply_configuration(configuration(revision), NOW - 1.0, NOW)
    return publication


def configuration(revision: int) -> PublishedItem:
    """A configuration whose packed form needs some pieces."""
    routes = sample_configuration()["routes"] + random_routes(1000 + revision, revision)
    document = sample_configuration(revision) | {"routes": routes}
    return PublishedItem("op/config", revision, msgspec.json.encode(document))


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = NOW
        self.publication = published(1)
        self.server = DocumentServer(self.publication, lambda: self.now)

    def ask(self, host: str, reply: FetchPieceReply | None = None, got: int = 0) -> FetchPieceReply:
        document = reply.packed_id if reply is not None else 0
        request = FetchPieceRequest(
            kind=DocumentKind.CONFIGURATION, packed_id=document, offset=got, host=host
        )
        return self.server.answer(request, self.now)

    def test_a_few_are_served_and_the_others_told_at_once(self) -> None:
        first = [self.ask(f"host{number}") for number in range(MAX_TRANSFERS + 1)]
        self.assertEqual([reply.busy for reply in first], [False] * MAX_TRANSFERS + [True])
        self.assertEqual(len(first[0].piece), PIECE_BYTES)
        self.assertEqual(first[-1].piece, b"")

    def test_a_place_is_free_again_after_the_last_piece_or_silence(self) -> None:
        first = [self.ask(f"host{number}") for number in range(MAX_TRANSFERS)]
        self.ask("host0", first[0], first[0].size - 1)
        self.assertFalse(self.ask("late").busy)
        self.assertTrue(self.ask("later").busy)
        self.now += TRANSFER_IDLE_SECONDS + 0.01
        self.assertFalse(self.ask("later").busy)

    def test_a_transfer_that_began_ends_though_there_is_a_newer_one(self) -> None:
        first = self.ask("host")
        self.publication.apply_configuration(configuration(2), self.now, self.now)
        second = self.ask("host", first, PIECE_BYTES)
        self.assertEqual((second.packed_id, second.version), (first.packed_id, 1))
        self.assertEqual(second.age_ms, -1)
        self.assertEqual(self.ask("other").version, 2)

    def test_an_age_is_told_for_the_newest_and_never_too_small(self) -> None:
        self.now += 0.2504
        self.assertEqual(self.ask("host").age_ms, 1251)

    def test_who_has_the_newest_gets_nothing(self) -> None:
        for have in (1, 2):
            request = FetchPieceRequest(kind=DocumentKind.CONFIGURATION, known=have, host="host")
            self.assertEqual(self.server.answer(request, self.now).packed_id, 0)
        self.publication.apply_list((), self.now, self.now)
        tag = self.publication.list_tag
        request = FetchPieceRequest(kind=DocumentKind.UPSTREAMS, known=tag, host="host")
        self.assertEqual(self.server.answer(request, self.now).packed_id, 0)
        request = FetchPieceRequest(kind=DocumentKind.UPSTREAMS, host="host")
        self.assertEqual(self.server.answer(request, self.now).version, tag)
        strange = FetchPieceRequest(kind=9, host="host")
        self.assertEqual(self.server.answer(strange, self.now).packed_id, 0)


class ScriptedPeers:
    """Peers that answer from servers, after what a script says of each host."""

    def __init__(self, servers: dict[str, DocumentServer]) -> None:
        self.servers = servers
        self.asked: list[str] = []
        self.deaf: dict[str, int] = {}

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """Answer; a host is deaf once it has answered so many times."""
        host = address.rpartition(":")[0]
        self.asked.append(host)
        await asyncio.sleep(0.01)
        left = self.deaf.get(host, 1000)
        self.deaf[host] = left - 1
        if left <= 0:
            raise PeerUnreachableError("TimeoutError")
        return self.servers[host].answer(request, asyncio.get_running_loop().time())


class FetcherTest(unittest.TestCase):
    def play(
        self,
        own: Publication,
        deaf: dict[str, int],
        offers: dict[str, bool],
        busy: frozenset[str] = frozenset(),
    ) -> ScriptedPeers:
        """Fetch from hosts that have revision 3; offers: by host, whether it is far."""

        async def work() -> ScriptedPeers:
            loop = asyncio.get_running_loop()
            servers = {host: DocumentServer(published(2, 3), loop.time) for host in offers}
            for host in busy:
                for number in range(MAX_TRANSFERS):
                    request = FetchPieceRequest(kind=DocumentKind.CONFIGURATION, host=f"x{number}")
                    servers[host].answer(request, loop.time())
            peers = ScriptedPeers(servers)
            peers.deaf = dict(deaf)
            log = EventLog("i", loop.time, loop.time, -1)
            fetcher = DocumentFetcher(
                "me", 1, own, peers, lambda: None, log, loop.time, random.Random(1)
            )
            for host, is_far in offers.items():
                fetcher.receive_offer(host, PublishedVersion(3, 0, 3), is_far, loop.time())
            await asyncio.sleep(5.0)
            fetcher.close()
            return peers

        found: ScriptedPeers = run_virtual(work())
        return found

    def test_a_transfer_goes_on_at_another_peer(self) -> None:
        own = published()
        peers = self.play(own, {"a": 1, "b": 1, "c": 1000}, {"a": False, "b": False, "c": False})
        self.assertEqual(own.revision, 3)
        pieces = len(pack(encode_configuration(configuration(3)), None).data) / PIECE_BYTES
        # Each deaf peer costs one question more; no piece is fetched twice.
        self.assertLessEqual(len(peers.asked), math.ceil(pieces) + 2)

    def test_a_busy_peer_is_left_for_another(self) -> None:
        own = published(2)
        whole = published()
        for publication in (own, whole):
            self.play(publication, {}, {"a": False, "b": False}, frozenset(("a",)))
            self.assertEqual(publication.revision, 3)

    def test_a_busy_peer_is_asked_again(self) -> None:
        own = published()
        peers = self.play(own, {}, {"a": False}, frozenset(("a",)))
        self.assertEqual(own.revision, 3)
        most = TRANSFER_IDLE_SECONDS / BUSY_RETRY_SECONDS + 10
        self.assertLess(len(peers.asked), most)

    def test_a_near_peer_goes_before_a_far_one(self) -> None:
        self.assertEqual(set(self.play(published(), {}, {"f": True, "n": False}).asked), {"n"})

    def test_a_peer_whose_base_is_gone_sends_the_whole(self) -> None:
        own = published(1)
        self.play(own, {}, {"a": False})
        self.assertEqual(own.revision, 3)

    def test_proofs_count_from_the_asking(self) -> None:
        own = published()
        self.play(own, {}, {"a": False})
        assert own.proof is not None
        # The server's proof was a second old when the first piece was asked for.
        self.assertLessEqual(own.proof.sent_at, NOW - 1.0)


if __name__ == "__main__":
    unittest.main()
