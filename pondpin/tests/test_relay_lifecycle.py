"""Relaying instances during changes of configurations, upstreams and instances."""

import asyncio
import contextlib
import os
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from pondpin.http_reply import IncomingRequest
from pondpin.http_streams import CallFailedError
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.entry import RelayEntry
from pondpin.relay.model import RequestMetadata, life_of
from pondpin.relay.published.freshness import Proof, PublishedVersion
from pondpin.relay.published.reader import BASE_KEY_MS
from pondpin.relay_settings import RelayLimits
from pondpin.standins.local_platform import (
    HOST,
    KEY,
    PLAIN,
    TENANT,
    LocalPlatform,
    sample_configuration,
    sample_route,
)
from pondpin.standins.published_store import StoreFault
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import (
    RelayTest,
    ask,
    busy,
    engines,
    fail_next,
    numbers,
    runs,
)
from pondpin.tests.test_relay_planner import make_call

SHORT_KEY_MS = 1500.0


def make_admitted_call() -> RelayCall:
    """A stream that was admitted under the first configuration."""
    return replace(
        make_call(5000),
        account=TENANT,
        metadata=RequestMetadata("a1", HOST, KEY, 10.0, 5000, 800, ""),
        incoming=IncomingRequest("POST", "/stream/x", {}, {}, b""),
    )


class ConfigurationTest(RelayTest):
    instances = 3
    limits = RelayLimits(key_ms=SHORT_KEY_MS)

    def versions(self, platform: LocalPlatform) -> list[int]:
        return [
            entry.publication.configuration.version if entry.publication.configuration else 0
            for entry in platform.entries
        ]

    def all_have(self, platform: LocalPlatform, version: int) -> bool:
        return self.versions(platform) == [version] * 3

    def test_a_new_version_reaches_an_instance_that_the_store_refuses(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            faults = (StoreFault.BUSY, StoreFault.MANY, StoreFault.RESET, StoreFault.SPOILED)
            for version, fault in enumerate(faults, 2):
                # On loopback the store sees all instances at one address and can't fail for one of
                # them, so instance 2 doesn't read and gets the version from its peers.
                platform.entries[2].reader.period = 3600.0
                platform.publish(version)
                await platform.until(lambda wanted=version: self.all_have(platform, wanted))
                platform.store.fail(fault)
                await platform.until(lambda: not platform.entries[0].reader.answers)
                platform.store.fail(StoreFault.NONE)
                await platform.until(lambda: platform.entries[0].reader.answers)

        self.play(work)

    def test_a_revoked_key_is_refused_by_every_instance(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.publish(2, tenants=[{"name": "riders", "apiKeys": ["new-key"]}])
            await platform.until(lambda: self.versions(platform) == [2, 2, 2])
            for instance in range(3):
                self.assertEqual((await ask(platform, "once", instance=instance)).status, 401)
            self.assertEqual(runs(platform), 0)

        self.play(work)

    def test_a_request_is_refused_if_its_proof_expires_while_it_is_queued(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            plan = entry.handler.planner.plan

            def plan_slowly(*arguments: Any) -> Plan | None:
                publication = entry.publication
                proved_at = entry.handler.clock() - SHORT_KEY_MS / 1000
                publication.proof = Proof(publication.in_force, proved_at)
                return plan(*arguments)

            with mock.patch.object(entry.handler.planner, "plan", plan_slowly):
                answer = await ask(platform, "once", "aged")
            self.assertEqual(answer.status, 503)
            self.assertEqual(runs(platform, "aged"), 0)

        self.play(work)

    def test_keys_are_refused_until_the_store_recovers(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.store.fail(StoreFault.SILENT)
            await platform.until(lambda: not any(entry.ready for entry in platform.entries))
            answer = await ask(platform, "once")
            self.assertEqual(answer.status, 503)
            self.assertEqual(runs(platform), 0)
            platform.store.fail(StoreFault.NONE)
            await platform.until(lambda: all(entry.ready for entry in platform.entries))
            self.assertEqual((await ask(platform, "once")).status, 200)

        self.play(work)

    def test_an_outage_of_the_store_does_not_stop_serving_if_keys_need_no_proof(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for entry in platform.entries:
                limits = replace(self.limits, keys_need_proof=False)
                entry.reload(replace(entry.settings, limits=limits))
            platform.store.fail(StoreFault.SILENT)
            await platform.until(lambda: all(self.is_stale(entry) for entry in platform.entries))
            self.assertTrue(all(entry.ready for entry in platform.entries))
            for instance in range(3):
                self.assertEqual((await ask(platform, "once", instance=instance)).status, 200)
            self.assertEqual(runs(platform), 3)

        self.play(work)

    def test_a_reload_with_other_limits_scales_reads_at_once(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for configuration_ms, key_ms, needs_proof, scale in (
                (4000.0, 5000.0, True, 5000.0 / BASE_KEY_MS),
                (4000.0, 5000.0, False, 2.0),
                (2000.0, 9000.0, True, 1.0),
                (1000.0, 1000.0, True, 1.0),
            ):
                limits = replace(
                    self.limits,
                    configuration_ms=configuration_ms,
                    key_ms=key_ms,
                    keys_need_proof=needs_proof,
                )
                entry.reload(replace(entry.settings, limits=limits))
                # The scale that the reader uses, beyond the one that the instance computes.
                self.assertAlmostEqual(entry.reader._scale(), scale)

        self.play(work)

    def test_an_instance_with_an_old_configuration_refuses_and_others_serve(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            behind = platform.entries[0]
            announced = PublishedVersion(10**6)
            behind.publication.receive_peer_version(announced, behind.handler.clock() - 60.0)
            behind.publication.receive_peer_version(announced, behind.handler.clock())
            self.assertFalse(behind.ready)
            self.assertEqual((await ask(platform, "again", "a")).status, 503)
            self.assertEqual(runs(platform, "a"), 0)
            self.assertEqual((await ask(platform, "again", "b", instance=1)).status, 200)
            # The peer that announced it is silent, so this instance serves with its own version.
            await platform.until(lambda: behind.ready)
            self.assertEqual((await ask(platform, "again", "c")).status, 200)

        self.play(work)

    def test_a_request_with_a_revoked_key_is_not_retried(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            call, progress = make_admitted_call(), Progress(attempts=1)
            self.assertTrue(entry.handler.may_retry(call, progress))
            platform.publish(2, tenants=[{"name": TENANT, "apiKeys": ["another"]}])
            await platform.until(lambda: entry.publication.revision == platform.store.revision)
            self.assertFalse(entry.handler.may_retry(call, progress))

        self.play(work)

    def test_a_request_is_not_retried_with_an_exhausted_budget(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            call, progress = make_admitted_call(), Progress(attempts=1)
            limits = replace(self.limits, retry_ratio=0.0, retry_allowance=0.0)
            self.assertTrue(entry.handler.may_retry(call, progress))
            entry.reload(replace(entry.settings, limits=limits))
            # A budget takes its limits when it is created, so another service has the new ones.
            other = replace(call, service="another")
            self.assertFalse(entry.handler.may_retry(other, progress))

        self.play(work)

    def is_stale(self, entry: RelayEntry) -> bool:
        age = entry.admission_state().proof_age(entry.handler.clock())
        return age > SHORT_KEY_MS / 1000

    def test_a_leaving_worker_gets_no_requests(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = platform.workers_by_id["plain-0"]
            assert worker.server.port is not None
            address = f"127.0.0.1:{worker.server.port.getHost().port}"
            platform.list_worker("plain-0", PLAIN, address, "north", "draining")
            await platform.until(
                lambda: all(
                    life_of("plain-0", None) in entry.table.leaving_lives
                    for entry in platform.entries
                )
            )
            worker.seen.clear()
            for number in range(12):
                answer = await ask(platform, "once", f"n{number}", instance=number % 3)
                self.assertEqual(answer.status, 200)
            self.assertEqual(worker.seen, [])

        self.play(work)

    def test_an_upstream_leaves_only_if_another_one_answers_at_its_address(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.MISDIRECTED)
            await ask(platform, "once", "own")
            self.assertEqual(platform.entries[0].table.leaving_lives, frozenset())
            fail_next(platform, WorkerFault.NONE, 0)
            for name in ("plain-0", "plain-1"):
                platform.workers_by_id[name].id = f"new-{name}"
            await ask(platform, "once", "other")
            self.assertEqual(len(platform.entries[0].table.leaving_lives), 1)
            self.assertEqual(runs(platform, "other"), 0)

        self.play(work)

    def test_a_changed_route_uses_its_new_service(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            routes = sample_configuration()["routes"]
            routes[1] = sample_route("once", "unsafe", "engines", maxAttempts=1)
            platform.publish(2, routes=routes)
            await platform.until(lambda: self.versions(platform) == [2, 2, 2])
            answer = await ask(platform, "once")
            self.assertTrue(answer.body.startswith(b"engine-"))

        self.play(work)


class GracefulStopTest(RelayTest):
    limits = RelayLimits(grace_seconds=4.0)

    def test_a_graceful_stop_completes_streams_and_refuses_new_requests(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.event_seconds = 0.2
            entry = platform.entries[0]
            task = asyncio.ensure_future(ask(platform, "stream"))
            await platform.until(lambda: busy(platform))
            stopping = asyncio.ensure_future(entry.drain_and_stop())
            await platform.until(lambda: entry.caller_server.stopping)
            self.assertFalse(entry.ready)
            late = await ask(platform, "once", "late")
            self.assertEqual(late.status, 200)
            self.assertEqual(numbers(await task), [1, 2, 3, 4, 5])
            await platform.until(lambda: entry.handler.refuses_new(entry.handler.clock()))
            with self.assertRaises((CallFailedError, AssertionError)):
                refused = await ask(platform, "once", "later")
                self.assertEqual(refused.status, 503)
                raise CallFailedError("refused with 503", sent=False)
            await stopping
            platform.entries.clear()
            self.assertEqual(runs(platform, "later"), 0)

        self.play(work)


class RollingRestartTest(RelayTest):
    """Instances restart in turn, one of them twice, while callers send requests."""

    instances = 3
    limits = RelayLimits(grace_seconds=4.0)

    def test_rolling_restarts_lose_no_request(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answers: dict[str, int] = {}
            done = asyncio.Event()
            caller = asyncio.ensure_future(self.send_requests(platform, answers, done))
            for number in (0, 1, 2, 0):
                entry = platform.entries[number]
                await entry.drain_and_stop()
                await platform.restart_instance(number)
                await platform.until(lambda number=number: platform.entries[number].ready)
            done.set()
            await caller
            self.assertGreater(len(answers), 20)
            self.assertEqual({name for name, status in answers.items() if status != 200}, set())
            for name in answers:
                self.assertEqual((name, runs(platform, name)), (name, 1))

        self.play(work)

    async def send_requests(
        self, platform: LocalPlatform, answers: dict[str, int], done: asyncio.Event
    ) -> None:
        """Send requests that may not be repeated to ready instances, as the load balancer does."""
        count = 0
        while not done.is_set():
            for number, entry in enumerate(platform.entries):
                if entry.ready:
                    count += 1
                    name = f"r{count}"
                    answers[name] = (await ask(platform, "once", name, number)).status


class SocketLeakTest(RelayTest):
    def test_faults_leak_no_sockets(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await ask(platform, "once", "warm")
            await self.close_idle(platform)
            before = open_sockets()
            for number in range(12):
                fault = (WorkerFault.RESET, WorkerFault.CUT, WorkerFault.SPOILED)[number % 3]
                fail_next(platform, fault)
                with contextlib.suppress(CallFailedError):
                    # Both engines fail, so a stream that has begun breaks off.
                    await ask(platform, "stream", f"s{number}")
                fail_next(platform, WorkerFault.NONE)
                await ask(platform, "again", f"a{number}")
            await self.close_idle(platform)
            # Liveness checks of lost upstreams close their connections a moment later.
            await platform.until(lambda: open_sockets() <= before)

        self.play(work)

    async def close_idle(self, platform: LocalPlatform) -> None:
        """Close idle connections on both sides and wait until the reactor has closed them."""
        await platform.http.close()
        await platform.entries[0].http.close()
        await platform.until(lambda: not len(platform.entries[0].caller_server.channels))


def open_sockets() -> int:
    """Count the sockets that this process has open."""
    links = (os.path.join("/proc/self/fd", name) for name in os.listdir("/proc/self/fd"))
    return sum(1 for link in links if os.path.lexists(link) and _is_socket(link))


def _is_socket(link: str) -> bool:
    try:
        return os.readlink(link).startswith("socket:")
    except FileNotFoundError:
        return False


if __name__ == "__main__":
    unittest.main()
