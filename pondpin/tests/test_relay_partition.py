"""Instances that are partitioned from all upstreams, while callers and peers reach them."""

import asyncio
from typing import Any
from unittest import mock

import msgspec

from pondpin.codes import Code
from pondpin.http_client import HttpResponse
from pondpin.http_streams import CallFailedError
from pondpin.relay.entry import RelayEntry
from pondpin.relay.log_events import Ended, LogEvent
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.operator_api import upstream_statuses
from pondpin.relay.paths.events import UpstreamsUnreachable
from pondpin.runtime import steady_now
from pondpin.standins.local_platform import LocalPlatform, cold_services
from pondpin.standins.partitions import Cut
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import RelayTest, ask, busy, fail_next, numbers, runs

# Callers' first tries are served at 0.97 of the share at other instances from 1 s after the cut.
SERVED_SHARE = 0.97
SETTLED_SECONDS = 1.0
# A request that no path can carry is refused within this time.
REFUSED_SECONDS = 0.1
# What a caller left must end at the upstream within this time.
CANCEL_SECONDS = 0.5
COLD_SECONDS = 20.0
COLD_RATE = 1.0
REQUESTS = 30
ROUTES = ("again", "once", "stream")


async def try_once(platform: LocalPlatform, route: str, name: str, instance: int) -> int:
    """Send a caller's first try; returns its status, 0 if its connection broke."""
    try:
        answer: HttpResponse = await ask(platform, route, name, instance, body=name.encode())
    except CallFailedError:
        return 0
    return answer.status


async def served(platform: LocalPlatform, route: str, instance: int, name: str) -> int:
    """How many of REQUESTS first tries at an instance are served."""
    statuses = []
    for number in range(REQUESTS):
        statuses.append(await try_once(platform, route, f"{name}{route}{number}", instance))
    return statuses.count(200)


def open_tunnels(entry: RelayEntry) -> int:
    return entry.connector.paths.open_tunnels if entry.connector.paths is not None else 0


class PartitionTest(RelayTest):
    instances = 3

    def test_instance_cut_from_all_upstreams_serves_first_tries(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for cut in (Cut.RESET, Cut.REFUSE, Cut.SILENT):
                for route in ROUTES:
                    await served(platform, route, 0, f"{cut.value}-before")
                platform.cut_from_workers(0, cut)
                await asyncio.gather(
                    *(try_once(platform, route, f"{cut.value}-at-{route}", 0) for route in ROUTES)
                )
                await asyncio.sleep(SETTLED_SECONDS)
                for route in ROUTES:
                    with self.subTest(cut=cut, route=route):
                        count = await served(platform, route, 0, cut.value)
                        self.assertGreaterEqual(count, SERVED_SHARE * REQUESTS)
                platform.cut_from_workers(0, Cut.NONE)
                await asyncio.sleep(SETTLED_SECONDS)

        self.play(work)

    def test_second_try_does_not_use_another_connection_that_was_reset(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            opened = []
            http = platform.entries[0].http
            open_raw = http.open_raw

            async def record(call: Any, fresh: bool, withhold: Any) -> Any:
                opened.append(fresh)
                return await open_raw(call, fresh, withhold)

            fail_next(platform, WorkerFault.RESET)
            with mock.patch.object(http, "open_raw", record):
                await ask(platform, "again")
            self.assertEqual(opened, [False, True])

        self.play(work)

    def test_cut_ejects_chills_and_ends_no_upstream(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            platform.publish(2, services=cold_services(COLD_SECONDS, COLD_RATE))
            await platform.until(
                lambda: all(item.table.cold_starts is not None for item in platform.entries)
            )
            for cut in (Cut.RESET, Cut.REFUSE, Cut.SILENT):
                for worker in platform.workers_by_id.values():
                    worker.call_seconds = worker.event_seconds = 0.1
                running = [
                    asyncio.ensure_future(try_once(platform, route, f"{cut.value}{route}{n}", 0))
                    for route in ROUTES
                    for n in range(4)
                ]
                await asyncio.sleep(0.15)
                platform.cut_from_workers(0, cut)
                for number in range(10):
                    await try_once(platform, "once", f"{cut.value}{number}", 0)
                await asyncio.gather(*running)
                self.assertEqual(entry.gossip.quarantine.ends_by_identity, {}, cut)
                now = steady_now()
                for instance in platform.entries:
                    states = instance.table.by_id.values()
                    self.assertTrue(all(item.looks_healthy(now) for item in states), cut)
                    self.assertFalse(any(item.is_cold for item in states), cut)
                platform.cut_from_workers(0, Cut.NONE)
                await platform.until(lambda: not entry.connector.is_degraded)

        self.play(work)

    def test_unsafe_requests_run_once_and_broken_ones_are_not_called_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for cut in (Cut.RESET, Cut.REFUSE, Cut.SILENT):
                for worker in platform.workers_by_id.values():
                    worker.call_seconds = 0.1
                names = [f"{cut.value}{number}" for number in range(12)]
                asked = [
                    asyncio.ensure_future(
                        ask(platform, "once", name, body=name.encode(), x_deadline_ms="1500")
                    )
                    for name in names
                ]
                await asyncio.sleep(0.05)
                platform.cut_from_workers(0, cut)
                later = [f"{name}-later" for name in names]
                asked += [
                    asyncio.ensure_future(ask(platform, "once", name, body=name.encode()))
                    for name in later
                ]
                answers = await asyncio.gather(*asked)
                for name, answer in zip(names + later, answers, strict=True):
                    self.assertLessEqual(runs(platform, name), 1, name)
                    if answer.headers.get("pondpin-ran") == "not run":
                        self.assertEqual(runs(platform, name), 0, name)
                    else:
                        self.assertIn(answer.status, (200, 502, 504))
                platform.cut_from_workers(0, Cut.NONE)
                await platform.until(lambda: not platform.entries[0].connector.is_degraded)

        self.play(work)

    def test_all_cut_refuse_at_once_and_serve_after_the_heal(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entries = platform.entries
            for cut in (Cut.RESET, Cut.SILENT):
                for number in range(self.instances):
                    platform.cut_from_workers(number, cut)
                for number in range(self.instances):
                    await asyncio.gather(
                        *(
                            try_once(platform, "once", f"{cut.value}{number}.{n}", number)
                            for n in range(6)
                        )
                    )
                await platform.until(lambda: all(item.connector.is_cut for item in entries))
                await asyncio.sleep(SETTLED_SECONDS)
                for route in ROUTES:
                    began = steady_now()
                    answer = await ask(platform, route, f"{cut.value}-{route}-all", 0)
                    self.assertLess(steady_now() - began, REFUSED_SECONDS)
                    self.assertEqual(answer.status, 503)
                    self.assertEqual(answer.headers["pondpin-ran"], "not run")
                    code = msgspec.json.decode(answer.body)["error"]["code"]
                    self.assertEqual(code, Code.UPSTREAMS_UNREACHABLE)
                for number in range(self.instances):
                    platform.cut_from_workers(number, Cut.NONE)
                await platform.until(
                    lambda: not any(item.connector.is_degraded for item in entries)
                )
                for route in ROUTES:
                    self.assertEqual(
                        await served(platform, route, 0, f"{cut.value}-healed"), REQUESTS
                    )

        self.play(work)

    def test_connections_are_direct_again_within_a_second_of_the_heal(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            events: list[LogEvent] = []
            self.enterContext(mock.patch.object(entry.log, "write", events.append))
            platform.cut_from_workers(0, Cut.REFUSE)
            for route in ROUTES:
                await served(platform, route, 0, "cut")
            shown = upstream_statuses(
                entry.table,
                lambda: entry.gossip.limits.issuer,
                lambda: None,
                steady_now(),
                entry.connector.is_unreachable,
            )
            self.assertTrue(any(item.unreachable for item in shown.upstreams))
            paths = {item.path for item in events if isinstance(item, Ended)}
            self.assertLessEqual(paths, {"", "relay-1", "relay-2"})
            self.assertNotEqual(paths, {""})
            platform.cut_from_workers(0, Cut.NONE)
            await platform.until(lambda: not entry.connector.is_degraded, seconds=SETTLED_SECONDS)
            events.clear()
            for route in ROUTES:
                await served(platform, route, 0, "healed")
            self.assertEqual({item.path for item in events if isinstance(item, Ended)}, {""})
            changes = [item.begins for item in events if isinstance(item, UpstreamsUnreachable)]
            self.assertEqual(changes, [])

        self.play(work)

    def test_silent_upstreams_change_no_path(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.faults = [WorkerFault.HANG]
            answers = [
                await try_once(platform, route, f"{route}{n}", 0)
                for route in ROUTES
                for n in range(2)
            ]
            self.assertEqual(len(answers), 6)
            self.assertIsNone(platform.entries[0].connector.paths)

        self.play(work)

    def test_upstream_that_refuses_all_instances_is_at_fault(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            gone = platform.workers_by_id["plain-0"]
            await gone.server.close()
            gone.server.abort_connections()
            for number in range(6):
                self.assertEqual(await try_once(platform, "once", f"n{number}", 0), 200)
            state = entry.table.by_id["plain-0"]
            self.assertFalse(state.looks_healthy(steady_now()))
            self.assertFalse(entry.connector.is_degraded)

        self.play(work)

    def test_cancelled_request_ends_at_the_upstream_through_a_tunnel(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.REFUSE)
            for route in ROUTES:
                await served(platform, route, 0, "cut")
            for worker in platform.workers_by_id.values():
                worker.events, worker.event_seconds = 100, 0.05
            task = asyncio.ensure_future(ask(platform, "stream", "left"))
            await platform.until(lambda: busy(platform))
            task.cancel()
            await platform.until(lambda: not busy(platform), seconds=CANCEL_SECONDS)

        self.play(work)

    def test_stopping_peer_is_left_for_another_one(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.REFUSE)
            await served(platform, "once", 0, "before")
            stopping = asyncio.ensure_future(platform.entries[1].drain_and_stop())
            self.assertEqual(await served(platform, "once", 0, "during"), REQUESTS)
            await stopping
            self.assertGreaterEqual(
                await served(platform, "once", 0, "after"), SERVED_SHARE * REQUESTS
            )

        self.play(work)

    def test_resumed_streams_and_long_prompts_are_served_while_cut(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for cut in (Cut.RESET, Cut.SILENT):
                platform.cut_from_workers(0, cut)
                await try_once(platform, "again", f"{cut.value}-first", 0)
                await asyncio.sleep(SETTLED_SECONDS)
                for number in range(5):
                    name = f"{cut.value}{number}"
                    resumed = await ask(
                        platform, "stream", f"{name}-resumed", body=name.encode(), last_event_id="2"
                    )
                    self.assertEqual((resumed.status, numbers(resumed)), (200, [3, 4, 5]))
                    long = await ask(
                        platform,
                        "long",
                        f"{name}-long",
                        x_token_usage="200000,100",
                        x_deadline_ms="20000",
                    )
                    self.assertEqual((long.status, numbers(long)), (200, [1, 2, 3, 4, 5]))
                platform.cut_from_workers(0, Cut.NONE)
                await platform.until(lambda: not platform.entries[0].connector.is_degraded)

        self.play(work)

    def test_instance_that_starts_while_it_is_cut_serves(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.SILENT)
            await platform.entries[0].stop()
            await platform.restart_instance(0)
            await platform.until(lambda: platform.entries[0].ready)
            await platform.until(lambda: platform.entries[0].gossip.has_live_peers)
            await try_once(platform, "again", "first", 0)
            for route in ROUTES:
                self.assertGreaterEqual(
                    await served(platform, route, 0, "started"), SERVED_SHARE * REQUESTS
                )

        self.play(work)

    def test_instance_that_is_also_cut_from_the_store_serves(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            source = platform.source
            links, is_worker = platform.links[0], platform.links[0].is_cut
            links.is_cut = lambda host, port: (
                is_worker(host, port) or (host, port) == (source.host, source.port)
            )
            platform.cut_from_workers(0, Cut.RESET)
            await try_once(platform, "again", "first", 0)
            await asyncio.sleep(SETTLED_SECONDS)
            for route in ROUTES:
                self.assertGreaterEqual(
                    await served(platform, route, 0, "cut"), SERVED_SHARE * REQUESTS
                )

        self.play(work)

    def test_cuts_in_a_series_leave_no_detours_behind(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for number, cut in enumerate((Cut.RESET, Cut.SILENT, Cut.REFUSE) * 2):
                platform.cut_from_workers(0, cut)
                await asyncio.gather(
                    *(try_once(platform, route, f"{number}{route}", 0) for route in ROUTES)
                )
                platform.cut_from_workers(0, Cut.NONE)
            await platform.until(lambda: not entry.connector.is_degraded, seconds=SETTLED_SECONDS)
            for route in ROUTES:
                self.assertEqual(await served(platform, route, 0, "healed"), REQUESTS)
            for place in platform.place_by_id.values():
                entry.http.close_idle(place.host, place.port)
            await platform.until(lambda: not open_tunnels(entry))

        self.play(work)


class WithoutTunnelsTest(RelayTest):
    instances = 2
    without = (Mechanism.TUNNELS,)

    def test_without_the_mechanism_no_paths_are_loaded(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.cut_from_workers(0, Cut.RESET)
            self.assertNotEqual(await try_once(platform, "once", "a", 0), 200)
            self.assertIsNone(platform.entries[0].connector.paths)

        self.play(work)
