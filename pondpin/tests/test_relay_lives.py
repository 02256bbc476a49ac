"""Upstreams that restart under the same id, and invalid list entries of other writers."""

import asyncio
import random
import unittest
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pondpin.platform.documents import PlatformDecoder
from pondpin.platform.store import PlatformStore
from pondpin.relay.model import EngineReport, ListedUpstream, life_of
from pondpin.relay.ports import HeadCallback, LeaseResponse, PartAssignment
from pondpin.relay.published.documents import DocumentKind, PublishedItem
from pondpin.relay.upstreams.leases import RENEW_SECONDS, LeaseManager
from pondpin.relay.upstreams.reports import ReportClient
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.relay.upstreams.work import Work
from pondpin.standins.local_platform import (
    ENGINES,
    PLAIN,
    LocalPlatform,
    sample_entry,
)
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import FakeClock, ListLog, RelayTest, ask, run_async, wait_until
from pondpin.tests.test_relay_publication import Recorder, configuration_item, entry_item

NOW = 1000.0
FIRST = 1_700_000_000_000
LATER = FIRST + 5000
ADDRESS = "10.0.0.1:80"


def engine_entry(**changes: Any) -> dict[str, Any]:
    return sample_entry(ENGINES, ADDRESS, **changes)


def listed(born: int | None, leaving: bool = False) -> ListedUpstream:
    return ListedUpstream("a", ENGINES, "10.0.0.1", 80, "north", 8, leaving, born)


def prefill_work(since: float) -> Work:
    return Work(1.0, since, 5000, 0.3, 0.2, 1.3, True, True)


class EntryTest(unittest.TestCase):
    """Decoding of one list entry."""

    def decode(self, entry: dict[str, Any], key: str = "servers/a") -> ListedUpstream:
        return PlatformDecoder().upstream(key, msgspec.json.encode(entry))

    def test_start_time_and_unknown_fields_are_optional(self) -> None:
        self.assertIsNone(self.decode(engine_entry()).born)
        self.assertEqual(self.decode(engine_entry(born=FIRST)).born, FIRST)
        self.assertEqual(self.decode(engine_entry(unheard="of")).slots, 8)

    def test_invalid_entries_are_rejected(self) -> None:
        invalid: tuple[dict[str, Any], ...] = (
            {"state": "retired"},
            {"state": None},
            {"born": 1.5},
            {"born": "1"},
            {"born": True},
            {"born": None},
            {"born": -1},
            {"born": 0},
            {"born": FIRST // 1000},
            {"born": FIRST * 1000},
            {"slots": 0},
            {"slots": -3},
            {"slots": 10**9},
            {"slots": 2.5},
            {"slots": "8"},
            {"zone": 3},
            {"version": 1},
            {"sequence": -1},
            {"sequence": "4"},
            {"coldRemainingMs": "soon"},
            {"service": ["engines"]},
            {"address": "worker.example:80"},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
        )
        for changes in invalid:
            with self.subTest(changes), self.assertRaises(ValueError):
                self.decode(engine_entry(**changes))
        for key in ("servers/", "servers/x/a", "servers//a", "a"):
            with self.subTest(key), self.assertRaises(ValueError):
                self.decode(engine_entry(), key=key)

    def test_documented_fields_are_required(self) -> None:
        names = ("service", "address", "zone", "version", "slots", "state", "coldRemainingMs")
        for name in (*names, "sequence"):
            entry = engine_entry()
            del entry[name]
            with self.subTest(name), self.assertRaises(ValueError):
                self.decode(entry)

    def test_undecodable_values_are_rejected(self) -> None:
        deep = b'{"a":' + b"[" * 200_000
        for value in (b"", b"\xff\xfe", b"null", b"[]", b"{", b"\x00" * 9, deep):
            with self.assertRaises(ValueError):
                PlatformDecoder().upstream("servers/a", value)

    def test_deeply_nested_configuration_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            PlatformDecoder().configuration(b'{"a":' + b"[" * 200_000)


class InvalidEntriesTest(unittest.TestCase):
    """Invalid entries in the list beside valid ones."""

    def setUp(self) -> None:
        self.recorder = Recorder()
        self.publication = self.recorder.publication
        self.publication.apply_configuration(configuration_item(1, 1), None, NOW)
        self.good = entry_item("good", 2, engine_entry())
        self.now = NOW

    def offer(self, *items: PublishedItem) -> list[str]:
        self.now += 0.7
        self.publication.apply_list([self.good, *items], self.now, self.now)
        return self.recorder.listed

    def test_invalid_entry_removes_the_valid_one_at_its_key_and_is_logged_once(self) -> None:
        self.assertEqual(self.offer(entry_item("a", 3, engine_entry())), ["good", "a"])
        invalid = entry_item("a", 4, engine_entry(state="retired"))
        self.assertEqual(self.offer(invalid), ["good"])
        self.assertEqual(self.recorder.removed, ["a"])
        self.assertEqual(self.offer(invalid, entry_item("b", 5, engine_entry())), ["good", "b"])
        self.assertEqual(len(self.recorder.rejected), 1)
        self.assertEqual(self.offer(entry_item("a", 6, engine_entry())), ["good", "a"])

    def test_invalid_entry_is_removed_at_once_even_after_an_outage(self) -> None:
        self.offer(entry_item("a", 3, engine_entry()))
        self.now += 30
        invalid = PublishedItem("servers/a", 4, b"\xff")
        self.assertEqual(self.offer(invalid), ["good"])
        self.assertEqual(self.recorder.removed, ["a"])

    def test_unknown_service_has_no_upstreams(self) -> None:
        other = entry_item("a", 3, engine_entry(service="unheard"))
        self.assertEqual(self.offer(other), ["good"])
        self.assertEqual(self.offer(other, entry_item("b", 4, engine_entry())), ["good", "b"])
        self.assertEqual(len(self.recorder.rejected), 1)
        document = msgspec.json.decode(configuration_item(2, 9).value)
        document["services"].append({"name": "unheard", "healthPath": "/healthz", "maxConns": 9})
        named = PublishedItem("op/config", 9, msgspec.json.encode(document))
        self.publication.apply_configuration(named, None, NOW)
        self.assertEqual(self.recorder.listed, ["good", "a", "b"])

    def test_change_to_an_unknown_service_removes_the_entry(self) -> None:
        self.offer(entry_item("a", 3, engine_entry()))
        self.assertEqual(self.offer(entry_item("a", 4, engine_entry(service="unheard"))), ["good"])
        self.assertEqual(self.recorder.removed, ["a"])
        self.assertEqual(len(self.recorder.rejected), 1)
        self.assertEqual(self.offer(entry_item("a", 5, engine_entry())), ["good", "a"])

    def test_nested_key_does_not_affect_the_upstream_of_its_last_part(self) -> None:
        self.offer(entry_item("a", 3, engine_entry()))
        invalid = entry_item("x/a", 4, engine_entry(state="draining"))
        self.assertEqual(self.offer(entry_item("a", 3, engine_entry()), invalid), ["good", "a"])
        self.assertEqual(self.offer(entry_item("a", 3, engine_entry())), ["good", "a"])
        self.assertEqual(self.recorder.removed, [])

    def test_list_may_arrive_before_the_configuration(self) -> None:
        recorder = Recorder()
        recorder.publication.apply_list([self.good], NOW, NOW)
        self.assertEqual(recorder.rejected, [])
        recorder.publication.apply_configuration(configuration_item(1, 1), None, NOW)
        self.assertEqual(recorder.listed, ["good"])

    @given(
        st.dictionaries(
            st.sampled_from([*sorted(engine_entry()), "born", "other"]),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers(-(2**70), 2**70)
                | st.floats(allow_nan=False)
                | st.text(max_size=8)
                | st.sampled_from(["ready", "draining", "engines", FIRST, ADDRESS]),
                lambda inner: st.lists(inner, max_size=2),
                max_leaves=3,
            ),
        ),
        st.sets(st.sampled_from(sorted(engine_entry()))),
        st.binary(max_size=12),
        st.booleans(),
    )
    def test_arbitrary_entries_of_other_writers(
        self, changes: dict[str, Any], missing: set[str], tail: bytes, has_tail: bool
    ) -> None:
        recorder = Recorder()
        publication = recorder.publication
        publication.apply_configuration(configuration_item(1, 1), None, NOW)
        publication.apply_list([self.good, entry_item("a", 3, engine_entry())], NOW, NOW)
        entry = {name: item for name, item in engine_entry().items() if name not in missing}
        value = msgspec.json.encode(entry | changes) + (tail if has_tail else b"")
        publication.apply_list([self.good, PublishedItem("servers/a", 4, value)], NOW + 1, NOW + 1)
        self.assertIn("good", recorder.listed)
        if "a" in recorder.listed:
            self.assertEqual(recorder.rejected, [])
            self.assert_valid(value)
        else:
            self.assertEqual((len(recorder.rejected), recorder.removed), (1, ["a"]))

    def assert_valid(self, value: bytes) -> None:
        entry = msgspec.json.decode(value)
        self.assertIn(entry["state"], ("ready", "draining"))
        self.assertEqual(entry["service"], ENGINES)
        self.assertTrue(1 <= entry["slots"] <= 10_000)
        self.assertIsInstance(entry.get("born", 1), int)
        self.assertLessEqual({"address", "zone", "version", "sequence"}, entry.keys())


class LivesInTheListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorder = Recorder()
        self.publication = self.recorder.publication
        self.publication.apply_configuration(configuration_item(1, 1), None, NOW)
        self.now = NOW

    def offer(self, revision: int, born: int | None, **changes: Any) -> int | None:
        """Offer an entry; return the start of the life in force afterwards."""
        self.now += 0.7
        fields = {} if born is None else {"born": born}
        item = entry_item("a", revision, engine_entry(**fields, **changes))
        self.publication.apply_list([item], self.now, self.now)
        return self.recorder.born_by_id.get("a")

    def test_greater_start_is_the_later_life_in_any_order(self) -> None:
        self.assertEqual(self.offer(2, LATER), LATER)
        self.assertEqual(self.offer(3, FIRST, state="draining"), LATER)
        self.assertEqual(self.recorder.removed, [])
        self.assertEqual(len(self.recorder.rejected), 1)
        self.assertEqual(self.offer(4, LATER + 1), LATER + 1)

    def test_earlier_life_does_not_return_after_a_removal(self) -> None:
        self.offer(2, LATER)
        self.publication.apply_list([], self.now + 1, self.now + 1)
        self.assertEqual(self.recorder.removed, ["a"])
        self.now += 1
        self.assertIsNone(self.offer(3, FIRST))
        self.assertEqual(self.offer(4, LATER), LATER)

    def test_entry_that_loses_its_start_is_rejected(self) -> None:
        self.offer(2, FIRST)
        self.assertIsNone(self.offer(3, None))
        self.assertEqual(self.recorder.removed, ["a"])

    def test_entry_that_gains_a_start_is_accepted(self) -> None:
        self.assertIsNone(self.offer(2, None))
        self.assertEqual(self.recorder.listed, ["a"])
        self.assertEqual(self.offer(3, FIRST), FIRST)


class LivesInTheTableTest(unittest.TestCase):
    """State of one life doesn't affect another."""

    def setUp(self) -> None:
        self.table = UpstreamTable("north")
        self.table.apply_list([listed(FIRST)], [])
        self.first = self.table.by_id["a"]

    def start_again(self) -> None:
        changes = self.table.apply_list([listed(LATER)], [])
        self.assertEqual([item.later.born for item in changes.restarted], [LATER])

    def test_state_is_reset_with_a_new_life(self) -> None:
        self.table.record_failure(self.first, NOW, certain=True)
        self.first.work_by_key[1] = prefill_work(NOW)
        self.first.report = EngineReport(8, 8)
        self.start_again()
        state = self.table.by_id["a"]
        self.assertTrue(state.is_usable(NOW))
        self.assertEqual((state.in_flight(NOW), state.report), (0, None))
        self.assertTrue(self.first.ended)
        # Requests still open on the earlier life don't affect the later one.
        self.table.record_failure(self.first, NOW, certain=True)
        self.first.record_prefill_end(1, NOW)
        self.assertTrue(state.is_usable(NOW))

    def test_leaving_applies_to_one_life(self) -> None:
        self.assertTrue(self.table.mark_leaving(life_of("a", FIRST)))
        self.start_again()
        self.assertEqual(
            [item.id for item in self.table.candidates(ENGINES, NOW, frozenset())], ["a"]
        )
        # A late message of a peer on the earlier life.
        self.table.mark_leaving(life_of("a", FIRST))
        self.assertFalse(self.table.by_id["a"].leaving)
        # A message on a later life that is not listed yet.
        self.table.mark_leaving(life_of("a", LATER + 1))
        self.table.apply_list([listed(LATER + 1)], [])
        self.assertTrue(self.table.by_id["a"].leaving)

    def test_an_earlier_life_does_not_come_back(self) -> None:
        self.start_again()
        changes = self.table.apply_list([listed(FIRST, leaving=True)], [])
        self.assertEqual((changes.leaving, changes.restarted), ((), ()))
        self.assertEqual(self.table.by_id["a"].listed.born, LATER)
        self.assertFalse(self.table.by_id["a"].leaving)

    def test_messages_of_peers_apply_to_the_life_they_name(self) -> None:
        self.first.work_by_key[1] = prefill_work(NOW)
        work_digest = self.first.digest(NOW)
        assert work_digest is not None
        self.start_again()
        self.table.update_peer_work("peer", [work_digest], NOW, NOW + 5)
        self.table.suspect(life_of("a", FIRST), NOW + 5)
        state = self.table.by_id["a"]
        self.assertEqual(state.in_flight(NOW), 0)
        self.assertTrue(state.is_usable(NOW))
        self.table.suspect(life_of("a", LATER), NOW + 5)
        self.assertFalse(state.is_usable(NOW))

    def test_later_life_of_a_tried_one_is_a_candidate(self) -> None:
        tried = frozenset((self.first.life,))
        self.assertEqual(self.table.candidates(ENGINES, NOW, tried), [])
        self.start_again()
        self.assertEqual(len(self.table.candidates(ENGINES, NOW, tried)), 1)


class FakeEngines:
    """Records the port of each call."""

    def __init__(self) -> None:
        self.calls: list[int] = []

    async def reserve(
        self,
        host: str,
        port: int,
        lease: str,
        tokens: int,
        hold: float,
        timeout: float,
        hear: HeadCallback,
    ) -> LeaseResponse:
        self.calls.append(port)
        return LeaseResponse.HELD

    async def release(
        self,
        host: str,
        port: int,
        upstream: str,
        lease: str,
        timeout: float,
        hear: HeadCallback,
    ) -> bool:
        self.calls.append(port)
        return True


class LeasesAndReportsTest(unittest.TestCase):
    def test_later_life_gets_no_calls_for_leases_of_an_earlier_one(self) -> None:
        engines = FakeEngines()
        ended: set[int] = set()

        async def work() -> None:
            leases = LeaseManager(engines, "x", ListLog(), lambda life: life in ended)
            places = (
                PartAssignment("a", "10.0.0.1", 80, life=1),
                PartAssignment("b", "10.0.0.1", 81, life=2),
            )
            group, _ = await leases.acquire("r", places, 1000)
            assert group is not None
            ended.add(1)
            engines.calls.clear()
            task = asyncio.ensure_future(leases.keep_alive(group, 1.0, lambda: True))
            await asyncio.sleep(1.5 * RENEW_SECONDS)
            task.cancel()
            leases.release(group)
            await leases.wait_released()

        run_async(work())
        self.assertEqual(engines.calls, [81, 81])

    def test_report_of_another_life_is_rejected(self) -> None:
        class Port:
            born: int | None = LATER

            async def read_report(
                self, host: str, port: int, timeout: float, hear: HeadCallback
            ) -> EngineReport:
                return EngineReport(3, 0, self.born)

        port = Port()
        clock = FakeClock()
        table = UpstreamTable("north")
        table.apply_list([listed(FIRST)], [])
        reports = ReportClient(port, ListLog(), clock)
        state = table.by_id["a"]

        async def work() -> None:
            self.assertFalse(await reports.query_status(state))
            self.assertIsNone(state.report)
            for born in (FIRST, None):
                port.born = born
                clock.advance(1.0)
                self.assertTrue(await reports.query_status(state))

        run_async(work())


class RestartTest(RelayTest):
    """Restart of a worker as callers see it."""

    engines = 1

    def play(self, work: Any) -> None:
        async def with_starts(platform: LocalPlatform) -> None:
            for number, worker in enumerate(platform.workers_by_id.values()):
                worker.born = FIRST + number
                self.relist(platform, worker.id)
            table = platform.entries[0].table
            await wait_until(lambda: all(item.listed.born for item in table.by_id.values()))
            await work(platform)

        super().play(with_starts)

    def relist(self, platform: LocalPlatform, name: str, **changes: Any) -> None:
        worker = platform.workers_by_id[name]
        assert worker.server.port is not None
        service = ENGINES if name.startswith("engine") else PLAIN
        address = f"127.0.0.1:{worker.server.port.getHost().port}"
        entry = sample_entry(service, address, born=worker.born, **changes)
        platform.store.put(f"{UPSTREAMS_PREFIX}{name}", entry)

    def test_later_life_serves_after_an_ejected_and_draining_one(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            table = platform.entries[0].table
            worker = platform.workers_by_id["engine-0"]
            self.assertEqual((await ask(platform, "stream", "a1", x_token_usage="9,9")).status, 200)
            self.relist(platform, worker.id, state="draining")
            await wait_until(lambda: table.by_id[worker.id].leaving)
            table.record_failure(table.by_id[worker.id], NOW, certain=True)
            worker.start_again(LATER)
            self.relist(platform, worker.id)
            await wait_until(lambda: table.by_id[worker.id].listed.born == LATER)
            self.assertEqual((await ask(platform, "stream", "a2", x_token_usage="9,9")).status, 200)

        self.play(work)

    def test_request_of_the_earlier_life_runs_once(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            table = platform.entries[0].table
            workers = [platform.workers_by_id[name] for name in ("plain-0", "plain-1")]
            for worker in workers:
                worker.faults = [WorkerFault.HANG]
            pending = asyncio.ensure_future(ask(platform, "once", "a1"))
            await wait_until(lambda: any(worker.working for worker in workers))
            worker = next(item for item in workers if item.working)
            worker.start_again(LATER)
            self.relist(platform, worker.id)
            await wait_until(lambda: table.by_id[worker.id].listed.born == LATER)
            answer = await pending
            self.assertNotIn(answer.status, (408, 421, 429, 503, 200))
            self.assertEqual(sum(item.runs_by_attempt["a1"] for item in workers), 1)

        self.play(work)

    def test_invalid_entries_do_not_affect_valid_ones(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            rng = random.Random(1)
            for number in range(20):
                changes = rng.choice(({"state": "retired"}, {"slots": 0}, {"service": "unheard"}))
                invalid = sample_entry(ENGINES, "127.0.0.1:9", **changes)
                platform.store.put(f"{UPSTREAMS_PREFIX}odd-{number}", invalid)
            tag = entry.publication.list_tag
            await wait_until(lambda: entry.publication.list_tag != tag)
            self.assertEqual(len(entry.table.by_id), 3)
            for number in range(5):
                answer = await ask(platform, "stream", f"a{number}", x_token_usage="9,9")
                self.assertEqual(answer.status, 200)

        self.play(work)


class InvalidPageTest(RelayTest):
    def test_undecodable_item_hides_no_other(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.store.put(f"{UPSTREAMS_PREFIX}odd &=?name", {"no": "entry"})
            platform.store.spoiled_keys = {f"{UPSTREAMS_PREFIX}odd &=?name": "no base64!"}
            platform.store.page_items = 1
            source = PlatformStore(platform.http, str(platform.source))
            read = await source.read_upstreams(2.0)
            values = {item.key.rpartition("/")[2]: bool(item.value) for item in read.items}
            names = {"engine-0", "engine-1", "plain-0", "plain-1"}
            self.assertEqual(values, dict.fromkeys(names, True) | {"odd &=?name": False})
            platform.store.spoiled_keys = {f"{UPSTREAMS_PREFIX}odd &=?name": 3}
            platform.store.page_items = 100
            read = await source.read_upstreams(2.0)
            self.assertEqual({item.key.rpartition("/")[2] for item in read.items}, names)

        self.play(work)


class RejectedEntriesMetricTest(RelayTest):
    def test_rejected_entries_are_counted(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for _ in range(5):
                entry.publication_handler.log_rejected(DocumentKind.UPSTREAMS, "servers/a", "odd")
            text, _ = entry.metrics.render("")
            line = next(
                item
                for item in text.decode().splitlines()
                if item.startswith("pondpin_upstream_entries_refused_total{")
            )
            self.assertTrue(line.endswith(" 5"), line)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
