"""Ages and timers after the machine was suspended for seconds.

Guards against CLOCK_MONOTONIC in `steady_now` and the event loop: it stops while the machine is
suspended, so a revoked key, a peer, a lease or an idle connection seemed as young as before. Each
test fails with that clock. Here CLOCK_BOOTTIME gets ahead of it by some seconds, and the first
decision afterwards, before any timer has fired, must be right.
"""

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from pondpin.health import Health, record_failure
from pondpin.http_client import HttpClient
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.network import Endpoint
from pondpin.quarantine import AssessmentContext, LifeEnd, Quarantine, Verdict, quarantine_seconds
from pondpin.relay.attempts.attempt import AttemptRunner
from pondpin.relay.call import Progress
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.choosing.retry_window import RetryBounds, RetryWindow
from pondpin.relay.log import EventLog
from pondpin.relay.model import EngineReport, ListedUpstream
from pondpin.relay.peers.digests import PeerRecord, PeerTable
from pondpin.relay.ports import HeadCallback, LeaseResponse, PartAssignment
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.upstreams.leases import UNUSED_SECONDS, LeaseGroup, LeaseManager
from pondpin.relay.upstreams.reports import ReportClient
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.runtime import steady_now
from pondpin.standins.local_platform import LocalPlatform
from pondpin.tests.support import RelayTest, ask, run_async, the_loop
from pondpin.tests.test_relay_planner import make_call

SUSPEND_SECONDS = 10.0
NO_DESCRIPTOR = -1


class TwoClocks:
    """CLOCK_BOOTTIME advances while CLOCK_MONOTONIC stands still."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0
        self._read = time.clock_gettime

    def __call__(self, clock: int) -> float:
        now = self._read(clock)
        return now + self.suspended_seconds if clock == time.CLOCK_BOOTTIME else now


class SuspendedCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clocks = TwoClocks()
        self.enterContext(mock.patch.object(time, "clock_gettime", self.clocks))

    def suspend(self, seconds: float = SUSPEND_SECONDS) -> None:
        self.clocks.suspended_seconds += seconds


class AgesTest(SuspendedCase):
    """Ages that are checked on a decision."""

    def test_a_peer_seen_before_is_not_alive(self) -> None:
        table = PeerTable(1)
        peer = PeerRecord("a", 2, "10.0.0.1", 1, 1, steady_now(), "north", True)
        table.by_host[peer.host] = peer
        table._add_alive(peer, None)
        self.assertEqual(len(table.alive(steady_now())), 1)
        self.suspend()
        self.assertEqual(table.alive(steady_now()), [])

    def test_an_ejection_is_over(self) -> None:
        health = record_failure(Health(), steady_now(), certain=True)
        self.assertTrue(health.is_ejected(steady_now()))
        self.suspend()
        self.assertFalse(health.is_ejected(steady_now()))

    def test_earlier_retries_have_left_the_window(self) -> None:
        window = RetryWindow(RetryBounds(ratio=0.0, allowance=8.0, window=SUSPEND_SECONDS))
        while window.spend(steady_now(), 1):
            pass
        self.suspend(SUSPEND_SECONDS + 0.1)
        self.assertTrue(window.has_budget(steady_now(), 1))

    def test_a_quarantine_has_lapsed(self) -> None:
        quarantine = Quarantine()
        for life in range(3):
            quarantine.record_end(1, LifeEnd(life, steady_now()))
        surroundings = AssessmentContext(upstream_count=18)
        verdict = quarantine.assess(1, steady_now(), surroundings).verdict
        self.assertIs(verdict, Verdict.QUARANTINED)
        self.suspend(quarantine_seconds(3))
        verdict = quarantine.assess(1, steady_now(), surroundings).verdict
        self.assertIs(verdict, Verdict.SUSPECTED)

    def test_the_upstream_gets_the_remaining_time(self) -> None:
        listed = ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False)
        call = make_call(2000)
        http: Any = None
        forwarded = []

        class Dialect:
            def forward_headers(self, headers: Any, sent: Any) -> list[Any]:
                forwarded.append(sent.seconds_left)
                return []

        dialect: Any = Dialect()
        runner = AttemptRunner(http, dialect, steady_now)
        plan = Plan(UpstreamState(listed), (), None, 1)
        deadline = steady_now() + 15.0
        timed_call = mock.Mock(wraps=call, deadline=deadline)
        for _ in range(2):
            runner._exact_call(timed_call, plan, (), Progress(), steady_now())
            self.suspend()
        self.assertAlmostEqual(forwarded[0] - forwarded[1], SUSPEND_SECONDS, delta=1.0)


class AsyncAgesTest(SuspendedCase):
    """Ages that tasks and connections depend on."""

    def play(self, work: Callable[[], Awaitable[None]]) -> None:
        async def whole() -> None:
            await work()

        run_async(whole())

    def test_timers_are_due_at_once(self) -> None:
        async def work() -> None:
            reactor = the_loop()[1]
            fired = asyncio.Event()
            reactor.callLater(SUSPEND_SECONDS - 1.0, fired.set)
            began = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(SUSPEND_SECONDS - 1.0):
                    self.suspend()
                    await asyncio.Event().wait()
            await fired.wait()
            self.assertLess(time.monotonic() - began, SUSPEND_SECONDS / 2)

        self.play(work)

    def test_an_earlier_report_is_no_sign_of_life(self) -> None:
        class Port:
            asked = 0

            async def read_report(
                self, host: str, port: int, timeout: float, on_head: HeadCallback
            ) -> EngineReport:
                self.asked += 1
                return EngineReport(0, 0)

        async def work() -> None:
            port = Port()
            reports = ReportClient(
                port, EventLog("a", steady_now, time.time, NO_DESCRIPTOR), steady_now
            )
            listed = ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False)
            state = UpstreamState(listed)
            await reports.query_status(state)
            await reports.query_status(state)
            self.assertEqual(port.asked, 1)
            self.suspend()
            await reports.query_status(state)
            self.assertEqual(port.asked, 2)

        self.play(work)

    def test_unused_leases_are_not_renewed(self) -> None:
        class Port:
            renewed = 0

            async def reserve(self, *arguments: Any) -> LeaseResponse:
                self.renewed += 1
                return LeaseResponse.HELD

            async def release(self, *arguments: Any) -> bool:
                return True

        async def work() -> None:
            port = Port()
            log = EventLog("a", steady_now, time.time, NO_DESCRIPTOR)
            leases = LeaseManager(port, "a", log)
            group = LeaseGroup("r", (PartAssignment("e0", "10.0.0.1", 80, "l"),), 1000)
            renewal = asyncio.ensure_future(leases.keep_alive(group, 0.1, lambda: False))
            await asyncio.sleep(0)
            self.suspend(UNUSED_SECONDS + 1.0)
            await renewal
            self.assertEqual(port.renewed, 0)

        self.play(work)

    def test_an_idle_connection_is_not_reused(self) -> None:
        async def work() -> None:
            reactor = the_loop()[1]
            server = WebServer(reactor)

            async def answer(incoming: IncomingRequest, reply: Reply) -> None:
                reply.send(200, {}, b"")

            server.route("", answer)
            endpoint = server.listen(reactor, Endpoint("127.0.0.1", 0))
            client = HttpClient(reactor, 1.0, idle_seconds=SUSPEND_SECONDS / 2)
            used = []
            real_put = client._pool._putConnection

            def put(key: Any, connection: Any) -> None:
                used.append(connection)
                real_put(key, connection)

            with mock.patch.object(client._pool, "_putConnection", put):
                await client.call("GET", f"http://{endpoint}/")
                await client.call("GET", f"http://{endpoint}/")
                self.suspend()
                await client.call("GET", f"http://{endpoint}/")
            self.assertIs(used[0], used[1])
            self.assertIsNot(used[1], used[2])
            await client.close()
            await server.close()
            server.abort_connections()

        self.play(work)


class InstanceTest(RelayTest):
    """The first decision of an instance after its machine resumed."""

    def setUp(self) -> None:
        self.clocks = TwoClocks()
        self.enterContext(mock.patch.object(time, "clock_gettime", self.clocks))

    def test_keys_are_refused_after_their_proof_expired_meanwhile(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            self.assertTrue(entry.admission_state().accepts_keys(steady_now()))
            self.clocks.suspended_seconds += SUSPEND_SECONDS
            self.assertFalse(entry.admission_state().accepts_keys(steady_now()))
            self.assertFalse(entry.ready)
            # It reads the source again and serves.
            await platform.until(lambda: entry.ready)
            self.assertEqual((await ask(platform, "again")).status, 200)

        self.play(work)

    def test_the_suspension_counts_as_time_behind(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            publication = platform.entries[0].publication
            publication.receive_peer_version(PublishedVersion(10**6), steady_now())
            self.clocks.suspended_seconds += 2.0
            self.assertGreaterEqual(publication.behind_seconds(steady_now()), 2.0)
            state = platform.entries[0].admission_state()
            self.assertGreaterEqual(state.behind_seconds, state.max_behind_seconds)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
