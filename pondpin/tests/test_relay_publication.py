"""Publication of configurations and lists, reads of the source, and the event log's bounds."""

import asyncio
import random
import unittest
from dataclasses import replace

import msgspec

from pondpin.http_streams import CallFailedError
from pondpin.platform.documents import PlatformDecoder
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import SourceChanged
from pondpin.relay.model import ListedUpstream, RelayConfiguration
from pondpin.relay.ports import ConfigurationChange, ConfigurationRead, ListRead
from pondpin.relay.published.announced_versions import ANNOUNCEMENT_TTL_SECONDS
from pondpin.relay.published.documents import (
    MAX_RECENT_DOCUMENTS,
    DocumentKind,
    PublishedItem,
    hash_content,
)
from pondpin.relay.published.freshness import Proof, PublishedVersion
from pondpin.relay.published.publication import (
    OUTAGE_SECONDS,
    RELIST_GRACE_SECONDS,
    ListChange,
    Publication,
)
from pondpin.relay.published.reader import (
    MAX_BACKOFF_SECONDS,
    MAX_RANK,
    RANK_DELAY_SECONDS,
    RENEWAL_AGE_SECONDS,
    START_DELAY_SECONDS,
    ReaderController,
    backoff_seconds,
    is_due,
)
from pondpin.relay.published.reports import Report
from pondpin.standins.local_platform import sample_configuration, sample_entry
from pondpin.tests.support import FakeClock, ListLog, run_async

NOW = 1000.0


def configuration_item(version: int, revision: int, epoch: int = 0) -> PublishedItem:
    value = msgspec.json.encode(sample_configuration(version))
    return PublishedItem("op/config", revision, value, epoch)


def published_version(version: int, revision: int, epoch: int = 0) -> PublishedVersion:
    """The version of a sample configuration."""
    content = hash_content(configuration_item(version, revision).value)
    return PublishedVersion(version, epoch, revision, content)


def server_item(name: str, revision: int, state: str = "ready") -> PublishedItem:
    return entry_item(name, revision, sample_entry("engines", "127.0.0.1:80", state=state))


def entry_item(name: str, revision: int, entry: object) -> PublishedItem:
    return PublishedItem(f"servers/{name}", revision, msgspec.json.encode(entry))


class Recorder:
    """Records a publication's callbacks."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.rejected: list[str] = []
        self.removed: list[str] = []
        self.reports: list[Report] = []
        self.listed: list[str] = []
        self.entries: tuple[ListedUpstream, ...] = ()
        self.born_by_id: dict[str, int] = {}
        self.publication = Publication(
            PlatformDecoder(),
            self.record_configuration,
            self.record_list,
            self.record_rejected,
            self.reports.append,
        )

    def record_configuration(self, configuration: RelayConfiguration) -> None:
        self.versions.append(configuration.version)

    def record_list(self, change: ListChange) -> None:
        self.removed += change.removed_ids
        self.entries = change.listed
        self.listed = [item.id for item in change.listed]
        self.born_by_id = {item.id: item.born for item in change.listed if item.born is not None}

    def record_rejected(self, kind: DocumentKind, key: str, reason: str) -> None:
        self.rejected.append(reason)


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorder = Recorder()
        self.publication = self.recorder.publication

    def apply(
        self, version: int, revision: int, read_at: float | None = None, epoch: int = 0
    ) -> None:
        self.publication.apply_configuration(
            configuration_item(version, revision, epoch), read_at, NOW
        )

    def proof(self, version: int, revision: int, at: float) -> Proof:
        return Proof(published_version(version, revision), at)

    def test_older_version_is_not_applied(self) -> None:
        self.apply(5, 50, NOW)
        self.apply(4, 40)
        self.assertEqual(self.recorder.versions, [5])
        self.assertEqual(self.publication.proof, self.proof(5, 50, NOW))

    def test_same_version_of_an_older_revision_is_not_applied(self) -> None:
        self.apply(5, 50, NOW)
        self.apply(5, 50, NOW + 1)
        self.apply(5, 49)
        self.assertEqual(self.recorder.versions, [5])
        self.assertEqual(self.publication.revision, 50)

    def test_invalid_configuration_keeps_the_last_valid_one(self) -> None:
        self.apply(5, 50, NOW)
        invalid = PublishedItem("op/config", 51, b'{"version": 6, "routes": [{"name": 3}]}')
        for _ in range(2):
            applied = self.publication.apply_configuration(invalid, NOW + 1, NOW)
            self.assertIsNone(applied)
        self.assertEqual(self.recorder.versions, [5])
        self.assertEqual(len(self.recorder.rejected), 1)
        # A read that found another configuration doesn't prove the one in force.
        self.assertEqual(self.publication.proof, self.proof(5, 50, NOW))

    def test_invalid_configuration_does_not_hide_valid_one_of_lower_revision(self) -> None:
        self.apply(5, 50, NOW)
        invalid = PublishedItem("op/config", 90, b"{}")
        self.publication.apply_configuration(invalid, NOW + 1, NOW)
        self.apply(6, 60, NOW + 2)
        self.assertEqual(self.recorder.versions, [5, 6])

    def test_rejected_peer_version_is_not_awaited(self) -> None:
        self.apply(5, 50, NOW)
        invalid = PublishedItem("op/config", 90, b"{}")
        self.publication.apply_configuration(invalid, None, NOW, from_peer=True)
        announced = PublishedVersion(6, 0, 90)
        self.assertTrue(self.publication.receive_peer_version(announced, NOW))
        self.publication.reject(announced)
        self.assertFalse(self.publication.accepts(announced))
        self.assertFalse(self.publication.receive_peer_version(announced, NOW))
        self.assertEqual(self.publication.behind_seconds(NOW + 1.0), 0.0)

    def test_lower_version_under_a_higher_revision_is_ignored(self) -> None:
        self.apply(5, 50)
        self.apply(4, 60)
        self.apply(4, 60)
        self.assertEqual(self.recorder.versions, [5])
        self.assertEqual(self.recorder.reports, [published_version(4, 60)])

    def test_behind_seconds_count_from_the_first_announcement(self) -> None:
        publication = self.publication
        self.apply(5, 50)
        self.assertFalse(publication.receive_peer_version(published_version(5, 50), NOW))
        self.assertTrue(publication.receive_peer_version(published_version(6, 60), NOW))
        self.assertFalse(publication.receive_peer_version(published_version(6, 60), NOW + 1.0))
        publication.receive_peer_version(published_version(7, 70), NOW + 2.0)
        self.assertEqual(publication.behind_seconds(NOW + 2.0), 2.0)
        # Revision 60 is no longer announced, so it may not be available any more.
        expired_at = NOW + 1.0 + ANNOUNCEMENT_TTL_SECONDS
        self.assertEqual(publication.behind_seconds(expired_at), expired_at - NOW - 2.0)
        self.apply(6, 60)
        self.assertEqual(publication.newer_seen_at, NOW)
        self.assertEqual(publication.behind_seconds(NOW + 3.0), 1.0)
        self.apply(7, 70)
        self.assertEqual(publication.behind_seconds(NOW + 3.0), 0.0)

    def test_recent_configurations_are_kept_for_deltas(self) -> None:
        for number in range(1, MAX_RECENT_DOCUMENTS + 3):
            self.apply(number, number * 10)
        get = self.publication.recent_configurations.get
        kept = [
            number for number in range(9) if get(published_version(number, 1).content) is not None
        ]
        self.assertEqual(len(kept), MAX_RECENT_DOCUMENTS)
        self.assertEqual(kept[-1] * 10, self.publication.revision)

    def test_proof_of_a_newer_version_does_not_confirm_the_one_in_force(self) -> None:
        self.apply(5, 50, NOW)
        self.publication.receive_proof(self.proof(6, 51, NOW + 5))
        self.assertEqual(self.publication.proof, self.proof(5, 50, NOW))
        self.publication.receive_proof(self.proof(5, 50, NOW + 1))
        self.assertEqual(self.publication.proof, self.proof(5, 50, NOW + 1))
        # A proof that arrives late doesn't replace a younger one.
        self.publication.receive_proof(self.proof(5, 50, NOW))
        self.assertEqual(self.publication.proof, self.proof(5, 50, NOW + 1))

    def test_proof_of_an_older_version_confirms_the_one_in_force(self) -> None:
        self.apply(5, 50, NOW)
        self.publication.receive_proof(self.proof(4, 40, NOW + 5))
        self.assertEqual(self.publication.proof, self.proof(4, 40, NOW + 5))
        self.assertEqual(self.recorder.versions, [5])


class ListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorder = Recorder()
        self.publication = self.recorder.publication
        self.publication.apply_configuration(configuration_item(1, 1), None, NOW)
        self.both = [server_item("a", 1), server_item("b", 2)]
        self.publication.apply_list(self.both, NOW, NOW)

    def test_missing_entry_is_removed_at_once_without_an_outage(self) -> None:
        self.publication.apply_list(self.both[:1], NOW + 0.7, NOW + 0.7)
        self.assertEqual(self.recorder.removed, ["b"])

    def test_missing_entry_has_a_grace_period_after_an_outage(self) -> None:
        returned_at = NOW + OUTAGE_SECONDS + 1
        self.publication.apply_list(self.both[:1], returned_at, returned_at)
        self.publication.apply_pending(returned_at + RELIST_GRACE_SECONDS - 0.1)
        self.assertEqual(self.recorder.removed, [])
        self.assertEqual(self.recorder.listed, ["a", "b"])
        self.publication.apply_list(
            [self.both[0], server_item("b", 9)], returned_at + 2, returned_at + 2
        )
        self.publication.apply_pending(returned_at + 10)
        self.assertEqual(self.recorder.removed, [])

    def test_entry_missing_after_the_grace_period_is_removed(self) -> None:
        returned_at = NOW + OUTAGE_SECONDS + 1
        self.publication.apply_list(self.both[:1], returned_at, returned_at)
        self.publication.apply_pending(returned_at + RELIST_GRACE_SECONDS)
        self.assertEqual(self.recorder.removed, ["b"])

    def test_older_list_is_not_applied(self) -> None:
        self.publication.apply_list(self.both[:1], NOW - 1, NOW + 1)
        self.assertEqual(self.recorder.removed, [])


class FakeSource:
    """A published source that can be made to fail."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.failing = False
        self.delay = 0.0
        self.list_reads = 0
        self.configuration_reads = 0
        self.revision = 11
        self.configuration: PublishedItem | None = configuration_item(1, 10)
        self.change = ConfigurationChange(None, None)
        self.epoch = 0
        # The epochs of the next answers; those after them have `epoch`.
        self.next_epochs: list[int] = []

    def next_epoch(self) -> int:
        return self.next_epochs.pop(0) if self.next_epochs else self.epoch

    async def read_configuration(self, stall: float) -> ConfigurationRead:
        self.configuration_reads += 1
        self.clock.advance(self.delay)
        return ConfigurationRead(self.configuration, self.next_epoch())

    async def read_change(self, since: int, stall: float) -> ConfigurationChange:
        self.change_since = since
        self.clock.advance(self.delay)
        return replace(self.change, epoch=self.next_epoch())

    async def read_upstreams(self, stall: float) -> ListRead:
        self.list_reads += 1
        if self.failing:
            raise CallFailedError("busy", sent=True)
        return ListRead((server_item("a", 11),), self.revision, self.next_epoch())


class ReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.source = FakeSource(self.clock)
        self.recorder = Recorder()
        self.log = ListLog()
        self.rank = 0
        self.reader = ReaderController(
            self.source,
            self.recorder.publication,
            lambda now: self.rank,
            lambda: None,
            self.log,
            self.clock,
            random.Random(1),
        )

    def step(self) -> None:
        run_async(self.reader.step())

    def test_higher_ranks_read_later(self) -> None:
        self.assertTrue(is_due(RENEWAL_AGE_SECONDS, 0))
        self.assertFalse(is_due(RENEWAL_AGE_SECONDS, 1))
        self.assertTrue(is_due(float("inf"), 99))
        # Even the last rank reads within a configuration's bound of 2 s.
        latest = RENEWAL_AGE_SECONDS + MAX_RANK * RANK_DELAY_SECONDS
        self.assertFalse(is_due(latest - 0.01, 99))
        self.assertTrue(is_due(latest, 99))
        self.assertLess(latest, 1.9)

    def test_longer_bounds_delay_reads(self) -> None:
        self.assertFalse(is_due(1.5 * RENEWAL_AGE_SECONDS - 0.01, 0, 1.5))
        self.assertTrue(is_due(1.5 * RENEWAL_AGE_SECONDS, 0, 1.5))
        latest = 1.5 * (RENEWAL_AGE_SECONDS + MAX_RANK * RANK_DELAY_SECONDS)
        self.assertTrue(is_due(latest, 99, 1.5))
        # The rest of a key's bound of 5 s remains for the proof to reach all instances.
        self.assertLess(latest, 5.0 * 0.6)

    def test_starting_instance_waits_for_its_peers_before_reading(self) -> None:
        self.reader = ReaderController(
            self.source,
            self.recorder.publication,
            lambda now: self.rank,
            lambda: None,
            self.log,
            self.clock,
            random.Random(1),
            delay_start=True,
        )
        self.step()
        self.assertEqual(self.source.list_reads, 0)
        self.clock.advance(2 * START_DELAY_SECONDS)
        self.step()
        self.assertEqual(self.source.list_reads, 1)

    def test_proof_counts_from_the_sending_of_the_read(self) -> None:
        self.source.delay = 0.9
        sent_at = self.clock.now
        self.step()
        self.assertEqual(self.recorder.publication.proof, Proof(published_version(1, 10), sent_at))

    def renew_proof(self) -> Proof | None:
        self.clock.advance(RENEWAL_AGE_SECONDS)
        self.step()
        return self.recorder.publication.proof

    def test_unchanged_source_proves_the_configuration(self) -> None:
        self.step()
        self.source.change = ConfigurationChange(None, 11)
        self.renew_proof()
        sent_at = self.clock.now + RENEWAL_AGE_SECONDS
        self.source.change = ConfigurationChange(None, None)
        self.assertEqual(self.renew_proof(), Proof(published_version(1, 10), sent_at))
        self.assertEqual(self.source.configuration_reads, 1)

    def test_unrelated_changes_prove_the_configuration_as_of_the_list(self) -> None:
        self.step()
        self.source.revision, self.source.change = 40, ConfigurationChange(None, 41)
        self.source.delay = 0.3
        sent_at = self.clock.now + RENEWAL_AGE_SECONDS
        self.assertEqual(self.renew_proof(), Proof(published_version(1, 10), sent_at))
        self.assertEqual((self.source.configuration_reads, self.source.change_since), (1, 11))
        self.renew_proof()
        self.assertEqual(self.source.change_since, 11)
        self.source.revision = 50
        self.source.change = ConfigurationChange(None, 50)
        self.renew_proof()
        self.assertEqual(self.source.change_since, 41)

    def test_changed_configuration_is_applied_from_the_change(self) -> None:
        self.step()
        self.source.revision = 50
        self.source.change = ConfigurationChange(configuration_item(2, 45), 50)
        sent_at = self.clock.now + RENEWAL_AGE_SECONDS
        self.assertEqual(self.renew_proof(), Proof(published_version(2, 45), sent_at))
        self.assertEqual(self.recorder.versions, [1, 2])
        self.assertEqual(self.source.configuration_reads, 1)

    def test_lagging_watch_or_lost_history_proves_nothing(self) -> None:
        for change in (ConfigurationChange(None, 49), ConfigurationChange(None, None)):
            with self.subTest(change=change):
                self.setUp()
                self.step()
                self.source.revision, self.source.change = 50, change
                self.source.configuration = configuration_item(2, 45)
                sent_at = self.clock.now + RENEWAL_AGE_SECONDS
                self.assertEqual(self.renew_proof(), Proof(published_version(2, 45), sent_at))
                self.assertEqual(self.source.configuration_reads, 2)

    def test_unchanged_configuration_is_not_fetched_again(self) -> None:
        self.source.revision = 500
        self.step()
        self.source.change = ConfigurationChange(None, None)
        for _ in range(3):
            self.renew_proof()
        self.assertEqual(self.source.configuration_reads, 1)

    def test_invalid_configuration_does_not_prove_the_one_in_force(self) -> None:
        self.step()
        proof = self.recorder.publication.proof
        invalid = PublishedItem("op/config", 45, b"{}")
        self.source.revision, self.source.change = 50, ConfigurationChange(invalid, 50)
        for _ in range(3):
            self.assertEqual(self.renew_proof(), proof)

    def test_failures_back_off_and_are_logged_once(self) -> None:
        self.source.failing = True
        for _ in range(200):
            self.step()
            self.clock.advance(0.05)
        self.assertLess(self.source.list_reads, 14)
        changes = [event for event in self.log.events if isinstance(event, SourceChanged)]
        self.assertEqual(len(changes), 1)
        self.assertFalse(self.reader.answers)
        self.source.failing = False
        self.clock.advance(MAX_BACKOFF_SECONDS)
        self.step()
        self.assertTrue(self.reader.answers)
        self.assertTrue(any(getattr(event, "answers", False) for event in self.log.events))

    def test_backoff_has_jitter_and_an_upper_bound(self) -> None:
        self.assertLess(backoff_seconds(0, 0.0), backoff_seconds(0, 1.0))
        self.assertLessEqual(backoff_seconds(50, 1.0), MAX_BACKOFF_SECONDS)


class LogTest(unittest.TestCase):
    def test_lines_are_bounded_and_routine_ones_dropped_first(self) -> None:
        import os

        from pondpin.relay.log_events import CallerDisconnected, PublishedRejected

        clock = FakeClock()
        reading, writing = os.pipe()
        log = EventLog("i", clock, clock, writing)
        log.open()
        for _ in range(2000):
            log.write(CallerDisconnected(request="r", route="x", after_ms=1, events=0))
        for _ in range(100):
            log.write(PublishedRejected(key="k", reason="r"))
        clock.advance(1.0)
        log.write(PublishedRejected(key="k", reason="last"))
        log.flush()
        lines = os.read(reading, 1 << 20).splitlines()
        tags = [msgspec.json.decode(line)["event"] for line in lines]
        self.assertEqual(tags.count("published_refused"), 101)
        self.assertEqual(tags.count("caller_gone"), 300)
        self.assertEqual(tags.count("lines_dropped"), 1)
        self.assertEqual(log.dropped, 1700)
        os.close(reading)
        os.close(writing)

    def test_full_pipe_does_not_block(self) -> None:
        import os

        from pondpin.relay.log_events import PublishedRejected

        clock = FakeClock()
        reading, writing = os.pipe()
        log = EventLog("i", clock, clock, writing)
        log.open()
        for _ in range(400):
            clock.advance(1.0)
            for _ in range(20):
                log.write(PublishedRejected(key="k", reason="x" * 1000))
            log.flush()
        self.assertGreater(log.dropped, 0)
        os.close(reading)
        log.write(PublishedRejected(key="k", reason="nobody reads"))
        log.flush()
        os.close(writing)


if __name__ == "__main__":
    asyncio.run(asyncio.sleep(0))
    unittest.main()
