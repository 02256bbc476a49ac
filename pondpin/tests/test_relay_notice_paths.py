"""Every answer that may carry a notice, and every path on which the notice must be respected."""

import asyncio
import os
import unittest
from typing import Any
from unittest import mock

import msgspec

from pondpin.availability import BlockReason
from pondpin.codes import INFO_BY_CODE, Code
from pondpin.http_client import HttpResponse
from pondpin.http_connections import CheckedConnectionPool
from pondpin.metrics import Metrics
from pondpin.notices import Notice
from pondpin.relay.attempts.passive_health import PassiveHealth
from pondpin.relay.attempts.placer import REST_WAIT_SHARE
from pondpin.relay.call import AttemptEnd, BufferedResponse, EndKind
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.choosing.retry_window import RetryWindow
from pondpin.relay.entry import RelayEntry
from pondpin.relay.log import EventLog
from pondpin.relay.model import ListedUpstream, ResponseHead, life_of
from pondpin.relay.ports import PartAssignment
from pondpin.relay.published.publication import RELIST_GRACE_SECONDS
from pondpin.relay.upstreams.notice_handler import NoticeHandler
from pondpin.relay.upstreams.probe import is_probe_due
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standins.local_platform import ENGINES, PLAIN, LocalPlatform
from pondpin.standins.published_store import StoreFault
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.standins.wishes import windows_over
from pondpin.standins.worker import Worker, WorkerFault
from pondpin.tests.support import FakeClock, RelayTest, ask, fail_next
from pondpin.tests.test_relay_notices import ask_all

TARGET_SECONDS = 0.3
# 50 requests/s for 14 s, and the share to be served while five of eight upstreams are free.
REQUEST_COUNT = 700
MIN_SERVED_SHARE = 0.99


def state_of(entry: RelayEntry, name: str) -> UpstreamState:
    return entry.table.by_id[name]


def rest_all(platform: LocalPlatform, service: str, rest: str) -> list[Worker]:
    found = [item for name, item in platform.workers_by_id.items() if name.startswith(service)]
    for worker in found:
        worker.rest = rest
    return found


def arrivals(workers: list[Worker]) -> int:
    return sum(len(worker.wishes.arrivals) for worker in workers)


def rendered_metrics(entry: RelayEntry) -> str:
    return entry.metrics.render("")[0].decode()


def code_of(answer: HttpResponse) -> str:
    return answer.body.decode().partition('"name":"')[2].partition('"')[0]


class AnswersTest(RelayTest):
    """Which answers are accepted, and for which upstream."""

    def bar(self, platform: LocalPlatform, name: str) -> BlockReason:
        entry = platform.entries[0]
        return state_of(entry, name).block_reason(entry.handler.clock())

    def test_refused_misdirected_and_failed_answers_carry_notices(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = platform.workers_by_id["plain-0"]
            for fault in (WorkerFault.SHED, WorkerFault.MISDIRECTED, WorkerFault.ERROR):
                entry = platform.entries[0]
                entry.table.availability_table.by_life.clear()
                entry.table._left.clear()
                for state in entry.table.by_id.values():
                    state.availability = entry.table.availability_table.get_or_create(state.life)
                worker.says_leaving = True
                fail_next(platform, fault, times=9)
                for number in range(4):
                    await ask(platform, "again", f"relay-0.{fault.value}{number}")
                fail_next(platform, WorkerFault.NONE, 0)
                with self.subTest(fault):
                    self.assertIs(self.bar(platform, "plain-0"), BlockReason.LEAVING)
                    self.assertIs(self.bar(platform, "plain-1"), BlockReason.NONE)

        self.play(work)

    def test_liveness_checks_reports_and_leases_carry_notices(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for worker in platform.workers_by_id.values():
                worker.says_leaving = True
            state = state_of(entry, "plain-0")
            state.needs_probe = True
            await platform.until(lambda: state.leaving)
            await entry.lazy.reports.query_status(state_of(entry, "engine-0"))
            self.assertIs(self.bar(platform, "engine-0"), BlockReason.LEAVING)
            engine = state_of(entry, "engine-1")
            listed = engine.listed
            part = PartAssignment(listed.id, listed.host, listed.port, life=listed.life)
            group, _ = await entry.lazy.leases.acquire("r", (part,), 100)
            self.assertIsNotNone(group)
            self.assertIs(self.bar(platform, "engine-1"), BlockReason.LEAVING)

        self.play(work)

    def test_an_unsigned_success_is_ignored_an_answer_to_another_request_is_not(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = platform.workers_by_id["plain-0"]
            platform.workers_by_id["plain-1"].rest = "60"
            worker.says_leaving = True
            worker.faults = [WorkerFault.UNSIGNED] * 2
            await ask(platform, "again", "relay-0.first")
            self.assertIs(self.bar(platform, "plain-0"), BlockReason.NONE)
            worker.faults = [WorkerFault.FOREIGN] * 2
            await ask(platform, "again", "relay-0.second")
            self.assertIs(self.bar(platform, "plain-0"), BlockReason.LEAVING)

        self.play(work)

    def test_another_upstream_at_an_address_announces_its_own_leaving(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for name in ("plain-0", "plain-1"):
                platform.workers_by_id[name].id = f"new-{name}"
                platform.workers_by_id[name].says_leaving = True
            await ask(platform, "again", "relay-0.first")
            standings = entry.table.availability_table
            announced = [
                name
                for name in ("new-plain-0", "new-plain-1")
                if standings.get_or_create(life_of(name, None)).leaving is not None
            ]
            self.assertTrue(announced)

        self.play(work)

    def test_the_caller_gets_the_unchanged_answer(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.says_leaving = True
            for route in ("again", "stream"):
                answer = await ask(platform, route, f"relay-0.{route}")
                self.assertEqual(answer.headers["server-leaving"], "1")

        self.play(work)


class LifeTest(RelayTest):
    """A life that leaves stays so, whatever happens to its entry in the list."""

    instances = 2

    async def announce(self, platform: LocalPlatform, name: str = "plain-0") -> None:
        """Announce the leaving to one instance by an answer, and through it to the others."""
        platform.workers_by_id[name].says_leaving = True
        await ask_all(platform, "again", 4)
        await platform.until(
            lambda: all(state_of(entry, name).leaving for entry in platform.entries)
        )

    async def check_no_arrivals(self, platform: LocalPlatform) -> None:
        worker = platform.workers_by_id["plain-0"]
        worker.wishes.arrivals.clear()
        self.assertEqual(set(await ask_all(platform, "again", 12)), {200})
        self.assertEqual(worker.wishes.arrivals, [])

    def test_peers_learn_of_it_also_those_that_start_later(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.announce(platform)
            platform.store.fail(StoreFault.SILENT)
            later = await platform.add_instance(2)
            await platform.until(
                lambda: "plain-0" in later.table.by_id and state_of(later, "plain-0").leaving
            )
            platform.store.fail(StoreFault.NONE)
            await platform.until(lambda: later.ready)
            await self.check_no_arrivals(platform)

        self.play(work)

    def test_it_survives_a_lapse_a_move_and_a_reload(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.announce(platform)
            key = f"{UPSTREAMS_PREFIX}plain-0"
            kept = platform.store.item_by_key[key].value
            platform.store.delete(key)
            await platform.until(
                lambda: all("plain-0" not in entry.table.by_id for entry in platform.entries),
                RELIST_GRACE_SECONDS + 10,
            )
            platform.store.put(key, msgspec.json.decode(kept))
            await platform.until(
                lambda: all("plain-0" in entry.table.by_id for entry in platform.entries)
            )
            await self.check_no_arrivals(platform)
            other = platform.workers_by_id["plain-1"]
            assert other.server.port is not None
            address = f"127.0.0.1:{other.server.port.getHost().port}"
            platform.list_worker("plain-0", PLAIN, address, "south")
            first = platform.entries[0]
            await platform.until(lambda: str(address) == _address(state_of(first, "plain-0")))
            first.reload(first.settings)
            await self.check_no_arrivals(platform)

        self.play(work)

    def test_a_later_life_gets_requests_the_earlier_one_does_not(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            born = 1_700_000_000_000
            rest_all(platform, "plain", "60")
            await ask_all(platform, "again", 4)
            worker = platform.add_worker("plain-9", PLAIN, 0, born)
            await platform.until(
                lambda: all("plain-9" in entry.table.by_id for entry in platform.entries)
            )
            worker.says_leaving = True
            await ask_all(platform, "again", 12)
            await platform.until(
                lambda: all(state_of(entry, "plain-9").leaving for entry in platform.entries)
            )
            worker.start_again(born + 5000)
            assert worker.server.port is not None
            address = f"127.0.0.1:{worker.server.port.getHost().port}"
            platform.list_worker("plain-9", PLAIN, address, "north")
            await platform.until(
                lambda: not any(state_of(entry, "plain-9").leaving for entry in platform.entries)
            )
            worker.wishes.arrivals.clear()
            await ask_all(platform, "again", 12)
            self.assertTrue(worker.wishes.arrivals)

        self.play(work)

    def test_it_holds_while_the_store_and_peers_are_silent(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.announce(platform)
            platform.store.fail(StoreFault.SILENT)
            first = platform.entries[0]
            with mock.patch.object(first.gossip, "receive"):
                platform.workers_by_id["plain-0"].wishes.arrivals.clear()
                answers = [await ask(platform, "again", f"relay-0.cut{n}") for n in range(8)]
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual(platform.workers_by_id["plain-0"].wishes.arrivals, [])

        self.play(work)


def _address(state: UpstreamState) -> str:
    return f"{state.listed.host}:{state.listed.port}"


class SendingTest(RelayTest):
    """What must hold at the moment of sending, after each wait."""

    engines = 4

    def notice_on_connect(self, entry: RelayEntry, service: str, notice: Notice) -> Any:
        """Give a notice of an upstream while a connection to it is opened."""
        table, clock = entry.table, entry.handler.clock
        original = CheckedConnectionPool.getConnection
        notified: list[str] = []

        def connect(pool: CheckedConnectionPool, key: Any, endpoint: Any) -> Any:
            for state in table.of_service(service):
                matches = key[1:] == (state.listed.host.encode(), state.listed.port)
                if matches and not notified:
                    notified.append(state.id)
                    table.availability_table.apply_notice(state.life, notice, "test", clock())
            return original(pool, key, endpoint)

        return mock.patch.object(CheckedConnectionPool, "getConnection", connect), notified

    def test_a_notice_during_the_connect_is_respected(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for route, service in (("once", PLAIN), ("again", PLAIN), ("stream", ENGINES)):
                for notice in (Notice(is_leaving=True), Notice(rest=5.0)):
                    entry.table.availability_table.by_life.clear()
                    entry.table._left.clear()
                    for state in entry.table.by_id.values():
                        state.availability = entry.table.availability_table.get_or_create(
                            state.life
                        )
                    for worker in platform.workers_by_id.values():
                        worker.wishes.arrivals.clear()
                    patch, notified = self.notice_on_connect(entry, service, notice)
                    spend = mock.patch.object(RetryWindow, "spend")
                    with self.subTest(f"{route} {notice}"), patch, spend as spent:
                        answer = await ask(platform, route, f"relay-0.{route}{notice.rest}")
                        self.assertEqual(answer.status, 200)
                        self.assertEqual(len(notified), 1)
                        worker = platform.workers_by_id[notified[0]]
                        self.assertEqual(worker.wishes.arrivals, [])
                        # It was no retry: no upstream had seen the request.
                        spent.assert_not_called()
                        self.assertIn("pondpin_attempts_withheld_total{", rendered_metrics(entry))

        self.play(work)

    def test_a_notice_of_a_helper_while_leases_are_acquired_is_respected(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            acquire = entry.lazy.leases.acquire
            notified: list[str] = []

            async def acquire_with_notice(request: str, places: Any, tokens: int) -> Any:
                result = await acquire(request, places, tokens)
                if not notified and places:
                    notified.append(places[0].upstream)
                    entry.table.availability_table.apply_notice(
                        places[0].life, Notice(rest=5.0), "test", entry.handler.clock()
                    )
                return result

            with mock.patch.object(entry.lazy.leases, "acquire", acquire_with_notice):
                answer = await ask(platform, "long", "relay-0.long", x_token_usage="460000,500")
            self.assertEqual(answer.status, 200)
            self.assertTrue(notified)
            helpers = [
                seen.headers.get("helpers", "")
                for worker in platform.workers_by_id.values()
                for seen in worker.seen
            ]
            # The notice was respected before a connection was opened.
            self.assertNotIn("pondpin_attempts_withheld_total{", rendered_metrics(entry))
            address = _address(state_of(entry, notified[0]))
            self.assertFalse(any(address in named for named in helpers))
            await platform.until(
                lambda: not any(w.held_leases() for w in platform.workers_by_id.values())
            )

        self.play(work)

    def test_a_stream_resumes_at_an_upstream_that_neither_leaves_nor_rests(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            broken, resting = (platform.workers_by_id[f"engine-{n}"] for n in (0, 2))
            broken.faults = [WorkerFault.CUT] * 99
            entry = platform.entries[0]
            life, now = state_of(entry, resting.id).life, entry.handler.clock()
            entry.table.availability_table.apply_notice(life, Notice(rest=60.0), "test", now)
            for number in range(24):
                answer = await ask(platform, "stream", f"relay-0.s{number}")
                self.assertEqual(answer.status, 200)
            self.assertTrue(broken.wishes.arrivals)
            self.assertEqual(resting.wishes.arrivals, [])

        self.play(work)


class UnavailableTest(RelayTest):
    """All upstreams of a service leave or rest."""

    def test_if_all_leave_requests_are_refused_at_once_and_not_sent(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.says_leaving = True
            for route in ("again", "stream"):
                for number in range(3):
                    await ask(platform, route, f"relay-0.{route}{number}")
            before = arrivals(list(platform.workers_by_id.values()))
            for route in ("once", "again", "stream", "long"):
                answer = await ask(platform, route, f"relay-0.all{route}")
                self.assertEqual((answer.status, code_of(answer)), (503, "UPSTREAMS_LEAVE"))
                self.assertIn('"ran":"not run"', answer.body.decode())
            self.assertEqual(arrivals(list(platform.workers_by_id.values())), before)

        self.play(work)

    def test_if_all_rest_requests_are_refused_until_the_first_returns(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            resting = rest_all(platform, "plain", "7")
            for number in range(3):
                await ask(platform, "again", f"relay-0.{number}")
            before = arrivals(resting)
            waits = set()
            for number in range(9):
                answer = await ask(platform, "again", f"relay-0.all{number}")
                self.assertEqual((answer.status, code_of(answer)), (503, "UPSTREAMS_REST"))
                waits.add(float(answer.headers["retry-after"]))
            self.assertGreater(min(waits), 6.0)
            self.assertLess(max(waits), 9.0)
            self.assertGreater(len(waits), 3)
            self.assertEqual(arrivals(resting), before)

        self.play(work)

    def test_a_request_waits_for_a_rest_that_ends_well_inside_its_target(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            resting = rest_all(platform, "plain", str(0.5 * REST_WAIT_SHARE * TARGET_SECONDS))
            await ask(platform, "again", "relay-0.first")
            for worker in resting:
                worker.rest = ""
            self.assertEqual((await ask(platform, "again", "relay-0.second")).status, 200)
            self.assertEqual(windows_over([worker.wishes for worker in resting]), 0)

        self.play(work)

    def test_a_rest_is_no_failure(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            rest_all(platform, "plain", "2")
            await ask(platform, "again", "relay-0.first")
            now = entry.handler.clock()
            for state in entry.table.of_service(PLAIN):
                self.assertIs(state.block_reason(now), BlockReason.RESTING)
                self.assertEqual((state.health.failures, state.health.ejections), (0, 0))
                self.assertEqual(state.failure_rate.current(now), 0.0)
                state.needs_probe = True
                self.assertFalse(is_probe_due(state, now))
                # It answered a moment ago: no status query is needed.
                self.assertTrue(await entry.lazy.reports.query_status(state))
            self.assertEqual(sum(w.reports for w in platform.workers_by_id.values()), 0)

        self.play(work)


class FailureTest(unittest.TestCase):
    """A 503 of an upstream that ran the request and asks for rest."""

    def test_it_is_no_failure(self) -> None:
        clock = FakeClock()
        for rest, failures in ((3.0, 0), (0.0, 1)):
            table = UpstreamTable("north")
            table.apply_list([ListedUpstream("a", PLAIN, "10.0.0.1", 80, "north", 8, False)], [])
            log = EventLog("x", clock, clock, os.open(os.devnull, os.O_WRONLY))
            metrics = Metrics("x", "north")
            notices = NoticeHandler(table, lambda: None, lambda: None, metrics, log, clock)
            passive_health = PassiveHealth(table, notices, metrics, log, clock)
            plan = Plan(table.by_id["a"], (), None, 1)
            notice = Notice(rest=rest)
            head = ResponseHead(503, "a1", False, None, False, True, None, "", notice, ())
            began = clock()
            passive_health.observe_head(plan, head, clock())
            end = AttemptEnd(EndKind.ANSWERED, response=BufferedResponse(503, (), b""))
            passive_health.observe_end(plan, end, began)
            self.assertEqual(plan.lead.health.failures, failures)


class EightTest(RelayTest):
    """Eight instances; three of eight upstreams of each service leave or rest."""

    instances = 8
    engines = 8

    async def load(self, platform: LocalPlatform, asked: int) -> tuple[list[Worker], list[int]]:
        """Send requests, 16 at once; return the workers that leave or rest, and the statuses."""
        for number in range(2, 8):
            platform.add_worker(f"plain-{number}", PLAIN, number)
        await platform.until(
            lambda: all(len(entry.table.of_service(PLAIN)) == 8 for entry in platform.entries)
        )
        names = [f"{kind}-{n}" for kind in ("engine", "plain") for n in range(3)]
        notifying = [platform.workers_by_id[name] for name in names]
        for worker in notifying[::2]:
            worker.rest = "3"
        for worker in notifying[1::2]:
            worker.says_leaving = True
        statuses: list[int] = []
        for route in ("again", "stream"):
            batches = [
                ask(platform, route, f"relay-{n % 8}.{route}{n}", n % 8) for n in range(asked // 2)
            ]
            for start in range(0, len(batches), 16):
                answers = await asyncio.gather(*batches[start : start + 16])
                statuses += [answer.status for answer in answers]
        return notifying, statuses

    def test_no_sends_are_late_and_at_most_two_are_in_a_rest(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            notifying, statuses = await self.load(platform, REQUEST_COUNT)
            wishes = [worker.wishes for worker in notifying]
            self.assertEqual(sum(item.late(2.0) for item in wishes), 0)
            self.assertEqual(windows_over(wishes), 0)
            served = sum(status == 200 for status in statuses)
            self.assertGreaterEqual(served, MIN_SERVED_SHARE * REQUEST_COUNT)

        self.play(work)

    def test_few_are_refused_at_first(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            _, statuses = await self.load(platform, 320)
            # A request may meet two upstreams whose notice is not known yet: only at first.
            self.assertLessEqual(sum(status != 200 for status in statuses), 3)

        self.play(work)


class CodesTest(unittest.TestCase):
    def test_both_are_refusals_without_a_run(self) -> None:
        for code in (Code.UPSTREAMS_REST, Code.UPSTREAMS_LEAVE):
            self.assertEqual((INFO_BY_CODE[code].status, INFO_BY_CODE[code].retry), (503, True))


if __name__ == "__main__":
    unittest.main()
