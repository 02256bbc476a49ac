"""The epoch that answers of the store name: every answer, odd values, reads in parts."""

import random
import unittest
from collections.abc import Callable

from pondpin.http_client import Answer, HttpClient
from pondpin.http_streams import CallFailedError, StreamStart
from pondpin.platform.store import PlatformStore, read_head
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
    def epoch(self, text: str) -> Head:
        return read_head({HEADER: text})

    def test_an_epoch_is_a_number_of_one_machine_word(self) -> None:
        for text, epoch in (
            ("0", 0),
            ("1", 1),
            (" 7 ", 7),
            ("007", 7),
            (str(2**63 - 1), 2**63 - 1),
        ):
            self.assertEqual(self.epoch(text), Head(epoch))

    def test_an_epoch_that_cannot_be_understood_counts_as_none(self) -> None:
        for text in ("-1", "two", "1.5", "1e3", "7, 7", "7,8", "\u0667", str(2**63), "9" * 400):
            self.assertEqual(self.epoch(text), Head(0, odd_epoch=text))
        self.assertEqual(self.epoch(""), Head(0, odd_epoch="an empty value"))

    def test_a_store_without_epochs_is_the_lowest(self) -> None:
        self.assertEqual(read_head({"content-type": "application/json"}), Head())


async def start_platform() -> LocalPlatform:
    platform = LocalPlatform(the_loop()[1], engines=1, plain=0, instances=0)
    await platform.start()
    return platform


class EveryAnswerTest(unittest.TestCase):
    def heads(self, fault: StoreFault) -> list[Head]:
        heads: list[Head] = []

        async def work() -> None:
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

        run_async(work())
        return heads

    def test_answers_of_every_status_name_the_epoch(self) -> None:
        for fault in (StoreFault.NONE, StoreFault.BUSY, StoreFault.MANY):
            self.assertEqual(self.heads(fault), [Head(5)] * 3)

    def test_the_results_of_all_reads_carry_the_epoch(self) -> None:
        async def work() -> None:
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
                # A watch from a revision that only the lost history had.
                change = await store.read_change(listed.revision + 99, 2.0)
                self.assertEqual(change, ConfigurationChange(None, None, 5))
            finally:
                await platform.stop()

        run_async(work())


class _PagedHttp(HttpClient):
    """Answers each call with the next page and epoch."""

    def __init__(self, *pages: tuple[str, bytes]) -> None:
        self.pages = list(pages)

    async def call_while_moving(
        self,
        method: str,
        url: str,
        stall: float,
        longest: float,
        on_head: Callable[[StreamStart], None] = lambda start: None,
    ) -> Answer:
        epoch, body = self.pages.pop(0)
        headers = {HEADER: epoch}
        on_head(StreamStart(200, headers, None))
        return Answer(200, headers, body)


class PagesTest(unittest.TestCase):
    def test_pages_of_two_epochs_are_no_list(self) -> None:
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
        self.source.at = 62
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
        """The store comes back from a copy."""
        self.source.epoch += 1
        self.source.at = revision
        self.source.configuration = configuration_item(version, revision, self.source.epoch)
        self.source.change = ConfigurationChange(None, revision)

    def test_a_copy_that_is_behind_proves_that_nothing_newer_was_published(self) -> None:
        self.restore(6, 34)
        self.assertEqual(self.read(), Proof(published_version(6, 34, 2), self.clock.now))
        self.assertEqual(self.recorder.versions, [10])
        self.assertEqual(self.publication.in_force, published_version(10, 62, 1))

    def test_a_version_written_after_the_restore_is_taken_below_the_old_revision(self) -> None:
        self.restore(6, 34)
        self.read()
        self.source.at = 35
        self.source.change = ConfigurationChange(configuration_item(11, 35, 2), 35)
        self.read()
        self.assertEqual(self.recorder.versions, [10, 11])

    def test_unchanged_since_an_earlier_epoch_proves_nothing(self) -> None:
        # The history of the copy has the revision that was read last, with other changes.
        self.restore(11, 61)
        self.source.at = 62
        whole = self.source.whole_reads
        self.read()
        self.assertEqual(self.source.whole_reads, whole + 1)
        self.assertEqual(self.recorder.versions, [10, 11])

    def test_the_copy_is_read_whole_once(self) -> None:
        self.restore(6, 34)
        whole = self.source.whole_reads
        for _ in range(4):
            self.read()
        self.assertEqual(self.source.whole_reads, whole + 1)

    def test_a_read_that_spans_two_epochs_is_begun_again(self) -> None:
        self.restore(11, 34)
        lists = self.source.reads
        self.source.next_epochs = [1, 2]
        self.publication.receive_epoch(2, "its answer")
        self.read()
        self.assertEqual(self.recorder.versions, [10, 11])
        self.assertEqual(self.source.reads, lists + 2)

    def test_a_list_of_one_epoch_and_a_value_of_another_prove_nothing(self) -> None:
        proof = self.publication.proof
        self.source.at = 70
        self.source.next_epochs = [2, 3] * MAX_EPOCH_READS
        self.assertEqual(self.read(), proof)
        self.assertFalse(self.reader.answers)

    def test_an_answer_of_an_earlier_epoch_brings_nothing(self) -> None:
        proof = self.publication.proof
        tag = self.publication.list_tag
        self.publication.receive_epoch(2, "a peer")
        self.source.at, self.source.configuration = 99, configuration_item(12, 99, 1)
        self.assertEqual(self.read(), proof)
        self.assertEqual((self.recorder.versions, self.publication.list_tag), ([10], tag))
        self.assertFalse(self.reader.answers)

    def test_a_copy_without_any_configuration_leaves_the_one_in_force(self) -> None:
        self.restore(6, 0)
        self.source.configuration = None
        proof = self.read()
        assert proof is not None
        self.assertEqual(proof.sent_at, self.clock.now)
        self.assertEqual(self.recorder.versions, [10])

    def test_the_same_version_with_other_bytes_in_a_later_epoch_is_taken(self) -> None:
        self.restore(6, 34)
        self.read()
        item = configuration_item(10, 35, 2)
        other = PublishedItem(item.key, 35, item.value.replace(b"riders", b"ridera"), 2)
        self.source.at, self.source.change = 35, ConfigurationChange(other, 35)
        self.read()
        self.assertEqual(self.recorder.versions, [10, 10])
        self.assertEqual(self.publication.in_force.epoch, 2)

    def test_the_same_content_in_a_later_epoch_is_not_taken_again(self) -> None:
        self.restore(10, 30)
        self.read()
        self.assertEqual(self.recorder.versions, [10])
        self.assertEqual(self.publication.in_force, published_version(10, 30, 2))
        self.assertFalse(
            any(isinstance(report, PublishedVersion) for report in self.recorder.reports)
        )


if __name__ == "__main__":
    unittest.main()
