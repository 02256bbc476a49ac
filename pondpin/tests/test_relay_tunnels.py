"""Tunnels through peers: who may open one, to what, and how paths are chosen."""

import asyncio
import random
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectError

from pondpin.codes import Code
from pondpin.network import Endpoint
from pondpin.relay.log_events import LogEvent
from pondpin.relay.paths.events import TunnelRefused
from pondpin.relay.paths.peer_choice import AVOID_SECONDS, PeerChoice
from pondpin.relay.paths.reachability import (
    CONFIRMED_SECONDS,
    MIN_FAILING_FOR_CUT,
    Reachability,
)
from pondpin.relay.paths.tunnel_client import TunnelClient
from pondpin.relay.paths.tunnel_messages import (
    MAX_HEAD_BYTES,
    TunnelRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
    has_proof,
    make_proof,
)
from pondpin.relay.paths.tunnel_server import MAX_TUNNELS, NUMBER_WINDOW, NumberWindow
from pondpin.relay.paths.upstream_paths import quiet_factory
from pondpin.relay.peers.digests import PeerRecord
from pondpin.request_identity import derive_key
from pondpin.runtime import steady_now
from pondpin.standins.local_platform import (
    DATAGRAM_PORT,
    IDENTITY_KEY,
    LocalPlatform,
    instance_host,
)
from pondpin.standins.partitions import Cut
from pondpin.tests.support import RelayTest, ask, the_loop

KEY = derive_key(IDENTITY_KEY)
REQUEST = TunnelRequest(Endpoint("10.0.0.1", 80), "relay-0", 5, 1, "")
ENDPOINTS = tuple(Endpoint("10.0.0.1", port) for port in range(1, 7))
NOW = 1000.0


def signed(request: TunnelRequest, receiver_boot: int, key: bytes = KEY) -> TunnelRequest:
    return replace(request, proof=make_proof(key, request, receiver_boot))


def peer(name: str, data_center: str = "north", is_cut: bool = False) -> PeerRecord:
    return PeerRecord(name, 1, name, 1, 1, NOW, data_center, True, is_cut=is_cut)


class MessagesTest(unittest.TestCase):
    def test_requests_and_answers_are_read_as_written(self) -> None:
        request = signed(REQUEST, 7)
        self.assertEqual(decode_request(encode_request(request)[:-4]), request)
        self.assertLess(len(encode_request(request)), MAX_HEAD_BYTES)
        for code in (Code.OK, Code.TUNNEL_DENIED, Code.UPSTREAM_REFUSED, Code.DRAINING):
            self.assertIs(decode_answer(encode_answer(code)[:-4]), code)

    def test_invalid_heads_are_refused(self) -> None:
        head = encode_request(signed(REQUEST, 7))[:-4]
        for invalid in (
            b"",
            b"GET / HTTP/1.1",
            head.replace(b"CONNECT", b"GET"),
            head.replace(b"10.0.0.1:80 HTTP", b"worker.example:80 HTTP"),
            head.replace(b"pondpin-number: 1", b"pondpin-number: one"),
            head.replace(b"pondpin-proof", b"other"),
            "CONNECT 10.0.0.1:80 HTTP/1.1\r\nä: 1".encode(),
        ):
            with self.assertRaises(ValueError):
                decode_request(invalid)
        contradictory = b"HTTP/1.1 503 X\r\npondpin-code: 0"
        for invalid in (b"", b"HTTP/1.1 200 OK", contradictory, b"HTTP/1.1 x"):
            with self.assertRaises(ValueError):
                decode_answer(invalid)

    def test_a_proof_holds_for_one_request_at_one_process(self) -> None:
        request = signed(REQUEST, 7)
        self.assertTrue(has_proof(KEY, request, 7))
        self.assertFalse(has_proof(KEY, request, 8))
        self.assertFalse(has_proof(derive_key("other"), request, 7))
        changes: tuple[dict[str, Any], ...] = (
            {"target": Endpoint("10.0.0.1", 81)},
            {"instance": "relay-1"},
            {"boot": 6},
            {"number": 2},
            {"proof": "ä"},
        )
        for change in changes:
            self.assertFalse(has_proof(KEY, replace(request, **change), 7))

    @given(st.lists(st.integers(1, 3 * NUMBER_WINDOW), max_size=60))
    def test_a_number_is_used_once(self, numbers: list[int]) -> None:
        window = NumberWindow()
        accepted = [number for number in numbers if window.use(number)]
        self.assertEqual(len(accepted), len(set(accepted)))
        self.assertLessEqual(len(window.used), NUMBER_WINDOW)


class ServerTest(RelayTest):
    """Requests for tunnels to a running instance, in the name of another one."""

    instances = 2

    async def request(self, platform: LocalPlatform, **changes: Any) -> Code:
        sender, receiver = platform.entries
        self.number = getattr(self, "number", 1000) + 1
        target = platform.place_by_id["plain-0"]
        key = changes.pop("key", KEY)
        plain = TunnelRequest(target, "relay-0", sender.boot, self.number, "")
        request = signed(replace(plain, **changes), receiver.boot, key)
        return await self.send(request)

    async def send(self, request: TunnelRequest) -> Code:
        client = TunnelClient(the_loop()[1])
        place = Endpoint(instance_host(1), DATAGRAM_PORT)
        opened = await client.open(place, request, quiet_factory())
        if opened.connection is not None:
            opened.connection.transport.abortConnection()
        return opened.code

    def test_only_instances_of_the_fleet_reach_only_listed_upstreams(self) -> None:
        events: list[LogEvent] = []

        async def work(platform: LocalPlatform) -> None:
            receiver = platform.entries[1]
            await platform.until(lambda: receiver.gossip.has_live_peers)
            self.enterContext(mock.patch.object(receiver.log, "write", events.append))
            self.assertIs(await self.request(platform), Code.OK)
            for changes in (
                {"key": derive_key("")},
                {"instance": "relay-9"},
                {"boot": 1},
                {"number": self.number},
            ):
                self.assertIs(await self.request(platform, **changes), Code.TUNNEL_DENIED)
            for target in (platform.source, platform.callers[0], Endpoint("127.0.0.1", 9)):
                self.assertIs(await self.request(platform, target=target), Code.TUNNEL_TARGET)
            self.assertEqual(receiver.lazy.tunnels.server.open_count, 0)

        self.play(work)
        refused = [item.code for item in events if isinstance(item, TunnelRefused)]
        self.assertEqual(refused, ["TUNNEL_DENIED"] * 4 + ["TUNNEL_TARGET"] * 3)

    def test_used_requests_are_refused(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            sender, receiver = platform.entries
            await platform.until(lambda: receiver.gossip.has_live_peers)
            target = platform.place_by_id["plain-0"]
            request = signed(TunnelRequest(target, "relay-0", sender.boot, 77, ""), receiver.boot)
            self.assertIs(await self.send(request), Code.OK)
            self.assertIs(await self.send(request), Code.TUNNEL_DENIED)

        self.play(work)

    def test_full_stopping_cut_and_evacuated_say_so(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            receiver = platform.entries[1]
            await platform.until(lambda: receiver.gossip.has_live_peers)
            server = receiver.lazy.tunnels.server
            server.open_count = MAX_TUNNELS
            self.assertIs(await self.request(platform), Code.TUNNEL_BUSY)
            server.open_count = 0
            receiver.gossip.is_stopping = True
            self.assertIs(await self.request(platform), Code.DRAINING)
            receiver.gossip.is_stopping = False
            state = receiver.table.by_id["plain-0"]
            state.availability.set_evacuated(True, steady_now())
            self.assertIs(await self.request(platform), Code.DATA_CENTERS_EVACUATED)
            state.availability.set_evacuated(False, steady_now())
            platform.cut_from_workers(1, Cut.RESET)
            self.assertIs(await self.request(platform), Code.UPSTREAMS_UNREACHABLE)
            platform.cut_from_workers(1, Cut.NONE)
            gone = platform.workers_by_id["plain-0"]
            await gone.server.close()
            self.assertIs(await self.request(platform), Code.UPSTREAM_REFUSED)

        self.play(work)

    def test_heads_that_are_invalid_too_long_or_late_are_refused(self) -> None:
        async def exchange(platform: LocalPlatform, data: bytes) -> bytes:
            reader, writer = await asyncio.open_connection(instance_host(1), DATAGRAM_PORT)
            writer.write(data)
            answer = await reader.read()
            writer.close()
            return answer

        async def work(platform: LocalPlatform) -> None:
            invalid = encode_answer(Code.HEADERS_INVALID)
            self.assertEqual(await exchange(platform, b"GET / HTTP/1.1\r\n\r\n"), invalid)
            self.assertEqual(await exchange(platform, b"x" * (MAX_HEAD_BYTES + 1)), invalid)
            head = encode_request(signed(REQUEST, 1))
            self.assertEqual(await exchange(platform, head + b"early"), invalid)
            with self.assertRaises(ConnectionError):
                await exchange(platform, b"CONNECT")

        self.play(work)

    def test_a_peer_without_an_answer_is_an_error(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            client = TunnelClient(the_loop()[1])
            for place in (platform.callers[0], Endpoint(instance_host(9), DATAGRAM_PORT)):
                with self.assertRaises(ConnectError):
                    await client.open(place, signed(REQUEST, 1), quiet_factory())

        self.play(work)

    def test_tunnels_close_with_their_connections(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.REFUSE)
            for number in range(20):
                await ask(platform, "once", f"n{number}")
            first, second = platform.entries
            server = second.lazy.tunnels.server
            await platform.until(lambda: not server.open_count)
            assert first.connector.paths is not None
            self.assertEqual(first.connector.paths.open_tunnels, 0)
            self.assertEqual(server.ends, set())

        self.play(work)


class PeerChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = PeerChoice("north", random.Random(3))

    def choose(self, *peers: PeerRecord, **options: Any) -> str:
        found = self.choice.choose(peers, options.pop("excluded", frozenset()), NOW, **options)
        return found.instance if found is not None else ""

    def test_the_own_data_center_comes_first_then_the_upstreams(self) -> None:
        peers = (peer("a"), peer("b", "south"), peer("c", "east"))
        self.assertEqual(self.choose(*peers, preferred="south"), "a")
        self.assertEqual(self.choose(*peers[1:], preferred="south"), "b")
        self.assertIn(self.choose(*peers, other_than="north"), ("b", "c"))
        self.assertEqual(self.choose(peers[0], other_than="north"), "a")

    def test_cut_excluded_and_avoided_peers_are_left_out(self) -> None:
        self.assertEqual(self.choose(peer("a", is_cut=True)), "")
        self.assertEqual(self.choose(peer("a"), excluded=frozenset({"a"})), "")
        self.choice.avoid("a", NOW)
        self.assertEqual(self.choose(peer("a")), "")
        found = self.choice.choose([peer("a")], frozenset(), NOW + AVOID_SECONDS)
        self.assertEqual(found, peer("a"))

    def test_tunnels_spread_over_peers(self) -> None:
        peers = [peer(f"p{number}") for number in range(8)]
        for _ in range(400):
            self.choice.opened(self.choose(*peers))
        counts = self.choice.open_by_instance.values()
        self.assertEqual(self.choice.open_count, 400)
        self.assertLess(max(counts), 1.2 * 400 / len(peers))
        for name, count in list(self.choice.open_by_instance.items()):
            for _ in range(count):
                self.choice.closed(name)
        self.assertEqual(self.choice.open_by_instance, {})


class ReachabilityTest(unittest.TestCase):
    """The belief about links, under random failures, successes and words of peers."""

    def test_one_failing_upstream_is_no_evidence_on_the_links(self) -> None:
        links = Reachability()
        for second in range(20):
            links.record_failure(ENDPOINTS[0], NOW + second)
        self.assertFalse(links.is_degraded)
        self.assertFalse(links.is_cut(len(ENDPOINTS)))

    def test_a_confirmed_fault_is_forgotten_in_time(self) -> None:
        links = Reachability()
        links.record_failure(ENDPOINTS[0], NOW)
        links.record_confirmed(ENDPOINTS[0], NOW)
        self.assertTrue(links.is_confirmed(ENDPOINTS[0], NOW + CONFIRMED_SECONDS / 2))
        self.assertFalse(links.is_confirmed(ENDPOINTS[0], NOW + CONFIRMED_SECONDS))
        self.assertFalse(links.failed_at)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("failure", "success", "detour", "confirmed", "unlisted")),
                st.sampled_from(ENDPOINTS),
            ),
            max_size=80,
        )
    )
    def test_beliefs_follow_the_evidence(self, steps: list[tuple[str, Endpoint]]) -> None:
        links = Reachability()
        in_row: set[Endpoint] = set()
        for number, (step, upstream) in enumerate(steps):
            now = NOW + number
            if step == "failure":
                links.record_failure(upstream, now)
                in_row.add(upstream)
            elif step == "success":
                links.record_success(upstream)
                in_row.clear()
                self.assertNotIn(upstream, links.failed_at)
            elif step == "detour":
                links.record_detour(upstream)
            elif step == "confirmed":
                links.record_confirmed(upstream, now)
                in_row.discard(upstream)
                self.assertNotIn(upstream, links.failed_at)
            else:
                links.keep(set(ENDPOINTS) - {upstream})
                in_row.discard(upstream)
            self.assertLessEqual(links.detours, set(links.failed_at))
            self.assertEqual(links.is_cut(len(ENDPOINTS)), len(in_row) >= MIN_FAILING_FOR_CUT)
            if not links.failed_at:
                self.assertFalse(links.is_degraded)
