"""Epochs in the store's answers: all statuses, invalid values and reads in several parts."""

import random
import unittest
from collections.abc import Callable

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import BodyCheck, CallFailedError, StreamedResponse
from pondpin.platform.store import PlatformStore, parse_source_head
from pondpin.relay.ports import ConfigurationChange, ConfigurationRead, EpochChangedError
from pondpin.relay.ports import SourceHead as Head
from pondpin.relay.published.documents import PublishedItem
from pondpin.relay.published.freshness import Proof, PublishedVersion
from pondpin.relay.published.reader import MAX_EPOCH_READS, RENEWAL_AGE_SECONDS, ReaderController
from pondpin.standins.local_platform import LocalPlatform
from pondpin.standins.published_store import StoreFault
from pondpin.tests.support import FakeClock, ListLog, run_async, the_loop
from pondpin.tests.test_relay_publication import (
    FakeSource,
    Recorder,
    configuration_item,
    published_version,
)

HEADER = "store-era"


class HeaderTest(unittest.TestCase):
    def parse(self, text: str) -> Head:
        return parse_source_head({HEADER: text})

    def test_epoch_is_a_non_negative_signed_64_bit_number(self) -> None:
        for text, epoch in (
            ("0", 0),
            ("1", 1),
            (" 7 ", 7),
            ("007", 7),
            (str(2**63 - 1), 2**63 - 1),
        ):
            self.assertEqual(self.parse(text), Head(epoch))

    def test_invalid_epoch_counts_as_none(self) -> None:
        for text in ("-1", "two", "1.5", "1e3", "7, 7", "7,8", "\u0667", str(2**63), "9" * 400):
            self.assertEqual(self.parse(text), Head(0, invalid_epoch=text))
        self.assertEqual(self.parse(""), Head(0, invalid_epoch="an empty value"))

    def test_store_without_epochs_has_the_lowest_epoch(self) -> None:
        self.assertEqual(parse_source_head({"content-type": "application/json"}), Head())


async def start_platform() -> LocalPlatform:
    platform = LocalPlatform(the_loop()[1], engines=1, plain=0, instances=0)
    await platform.start()
    return platform


class AnswerEpochTest(unittest.TestCase):
    def heads(self, fault: StoreFault) -> list[Head]:
        heads: list[Head] = []

        async def scenario() -> None:
            platform = await start_platform()
            platform.store.epoch = 5
            platform.store.fail(fault)
            store = PlatformStore(platform.http, str(platform.source), heads.append)
            try:
                for read in (
                    store.read_configuration(2.0),
                    store.read_change(0, 2.0),
                    store.read_upstreams(2.0),
                ):
                    try:
                        await read
                    except CallFailedError:
                        self.assertIsNot(fault, StoreFault.NONE)
            finally:
                await platform.stop()

        run_async(scenario())
        return heads

    def test_answers_of_every_status_name_the_epoch(self) -> None:
        for fault in (StoreFault.NONE, StoreFault.BUSY, StoreFault.MANY):
            self.assertEqual(self.heads(fault), [Head(5)] * 3)

    def test_the_results_of_all_reads_carry_the_epoch(self) -> None:
        async def scenario() -> None:
            platform = await start_platform()
            store = PlatformStore(platform.http, str(platform.source))
            platform.store.epoch = 5
            try:
                read = await store.read_configuration(2.0)
                listed = await store.read_upstreams(2.0)
                change = await store.read_change(listed.revision, 2.0)
                items = (read.item, *listed.items)
                self.assertEqual({item.epoch for item in items if item is not None}, {5})
                self.assertEqual((read.epoch, listed.epoch, change.epoch), (5, 5, 5))
                platform.store.delete("op/config")
                self.assertEqual(await store.read_configuration(2.0), ConfigurationRead(None, 5))
                platform.store.forget_history()
                change = await store.read_change(0, 2.0)
                self.assertEqual(change, ConfigurationChange(None, None, 5))
                # A watch from a revision that only the lost history has.
                change = await store.read_change(listed.revision + 99, 2.0)
                self.assertEqual(change, ConfigurationChange(None, None, 5))
            finally:
                await platform.stop()

        run_async(scenario())


class _PagedHttp(HttpClient):
    """Answers each call with the next page and epoch."""

    def __init__(self, *pages: tuple[str, bytes]) -> None:
        self.pages = list(pages)

    async def call_with_stall_timeout(
        self,
        method: str,
        url: str,
        stall: float,
        longest: float,
        on_head: Callable[[StreamedResponse], None] = lambda start: None,
        close_delimited_if: BodyCheck | None = None,
    ) -> HttpResponse:
        epoch, body = self.pages.pop(0)
        headers = {HEADER: epoch}
        on_head(StreamedResponse(200, headers, None))
        return HttpResponse(200, headers, body)


class PagesTest(unittest.TestCase):
    def test_list_with_pages_of_two_epochs_is_rejected(self) -> None:
        first = b'{"items":[{"tlsKey":"servers/a","value":"","revision":3}],"at":9,"more":true}'
        last = b'{"items":[],"at":4}'
        heads: list[Head] = []
        http = _PagedHttp(("1", first), ("2", last))
        with self.assertRaises(EpochChangedError):
            run_async(read_list(PlatformStore(http, "store:1", heads.append)))
        self.assertEqual(heads, [Head(1), Head(2)])


async def read_list(store: PlatformStore) -> None:
    await store.read_upstreams(1.0)


class ReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.source = FakeSource(self.clock)
        self.source.epoch = 1
        self.source.configuration = configuration_item(10, 62, 1)
        self.source.revision = 62
        self.recorder = Recorder()
        self.publication = self.recorder.publication
        self.log = ListLog()
        self.reader = ReaderController(
            self.source,
            self.publication,
            lambda now: 0,
            lambda: None,
            self.log,
            self.clock,
            random.Random(1),
        )
        self.read()

    def read(self) -> Proof | None:
        self.clock.advance(RENEWAL_AGE_SECONDS)
        run_async(self.reader.step())
        return self.publication.proof

    def restore(self, version: int, revision: int) -> None:
        """Restore the store from a copy."""
        self.source.epoch += 1
        self.source.revision = revision
        self.source.configuration = configuration_item(version, revision, self.source.epoch)
        self.source.change = ConfigurationChange(None, revision)

    def test_older_copy_proves_that_nothing_newer_is_published(self) -> None:
        self.restore(6, 34)
        self.assertEqual(self.read(), Proof(published_version(6, 34, 2), self.clock.now))
        self.assertEqual(self.recorder.versions, [10])
        self.assertEqual(self.publication.in_force, published_version(10, 62, 1))

    def test_version_written_after_a_restore_is_applied_under_a_lower_revision(self) -> None:
        self.restore(6, 34)
        self.read()
        self.source.revision = 35
        self.source.change = ConfigurationChange(configuration_item(11, 35, 2), 35)
        self.read()
        self.assertEqual(self.recorder.versions, [10, 11])

    def test_unchanged_since_an_earlier_epoch_proves_nothing(self) -> None:
        # The copy's history reaches the revision that was read last, with other changes.
        self.restore(11, 61)
        self.source.revision = 62
        reads = self.source.configuration_reads
        self.read()
        self.assertEqual(self.source.configuration_reads, reads + 1)
        self.assertEqual(self.recorder.versions, [10, 11])

    def test_configuration_of_a_copy_is_fetched_once(self) -> None:
        self.restore(6, 34)
        reads = self.source.configuration_reads
        for _ in range(4):
            self.read()
        self.assertEqual(self.source.configuration_reads, reads + 1)

    def test_read_that_spans_two_epochs_is_retried(self) -> None:
        self.restore(11, 34)
        reads_before = self.source.list_reads
        self.source.next_epochs = [1, 2]
        self.publication.receive_epoch(2, "its answer")
        self.read()
        self.assertEqual(self.recorder.versions, [10, 11])
        self.assertEqual(self.source.list_reads, reads_before + 2)

    def test_a_list_of_one_epoch_and_a_value_of_another_prove_nothing(self) -> None:
        proof = self.publication.proof
        self.source.revision = 70
        self.source.next_epochs = [2, 3] * MAX_EPOCH_READS
        self.assertEqual(self.read(), proof)
        self.assertFalse(self.reader.answers)

    def test_answer_of_an_earlier_epoch_is_rejected(self) -> None:
        proof = self.publication.proof
        tag = self.publication.list_tag
        self.publication.receive_epoch(2, "a peer")
        self.source.revision, self.source.configuration = 99, configuration_item(12, 99, 1)
        self.assertEqual(self.read(), proof)
        self.assertEqual((self.recorder.versions, self.publication.list_tag), ([10], tag))
        self.assertFalse(self.reader.answers)

    def test_copy_without_a_configuration_keeps_the_one_in_force(self) -> None:
        self.restore(6, 0)
        self.source.configuration = None
        proof = self.read()
        assert proof is not None
        self.assertEqual(proof.sent_at, self.clock.now)
        self.assertEqual(self.recorder.versions, [10])

    def test_same_version_with_other_content_in_a_later_epoch_is_applied(self) -> None:
        self.restore(6, 34)
        self.read()
        item = configuration_item(10, 35, 2)
        other = PublishedItem(item.key, 35, item.value.replace(b"riders", b"ridera"), 2)
        self.source.revision, self.source.change = 35, ConfigurationChange(other, 35)
        self.read()
        self.assertEqual(self.recorder.versions, [10, 10])
        self.assertEqual(self.publication.in_force.epoch, 2)

    def test_same_content_in_a_later_epoch_is_not_applied_again(self) -> None:
        self.restore(10, 30)
        self.read()
        self.assertEqual(self.recorder.versions, [10])
        self.assertEqual(self.publication.in_force, published_version(10, 30, 2))
        self.assertFalse(
            any(isinstance(report, PublishedVersion) for report in self.recorder.reports)
        )


if __name__ == "__main__":
    unittest.main()
