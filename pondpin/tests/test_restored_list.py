"""The list of upstreams after a restore: entries that the copy lacks, or brings back."""

import unittest
from typing import Any

from pondpin.relay.model import life_of
from pondpin.relay.published.documents import PublishedItem
from pondpin.relay.published.publication import RELIST_GRACE_SECONDS
from pondpin.relay.published.reports import IgnoredEntries
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standins.local_platform import ENGINES, sample_entry
from pondpin.tests.test_relay_publication import Recorder, configuration_item, entry_item

NOW = 1000.0
READ_SECONDS = 0.6
BORN = 1_700_000_000_000


def entry(name: str, revision: int, sequence: int, epoch: int, **changes: Any) -> PublishedItem:
    value = sample_entry(ENGINES, f"10.0.0.1:{80 + len(name)}", sequence=sequence, **changes)
    item = entry_item(name, revision, value)
    return PublishedItem(item.key, revision, item.value, epoch)


class RestoredListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recorder = Recorder()
        self.publication = self.recorder.publication
        self.publication.apply_configuration(configuration_item(1, 1), None, NOW)
        self.now = NOW
        self.first = entry("a", 10, 5, 1)
        self.second = entry("b", 11, 5, 1)
        self.offer(1, self.first, self.second)

    def offer(self, epoch: int, *items: PublishedItem) -> None:
        self.publication.receive_epoch(epoch, "its answer")
        self.publication.apply_list(items, self.now, self.now, epoch)
        self.now += READ_SECONDS

    @property
    def left_out(self) -> list[IgnoredEntries]:
        return [item for item in self.recorder.reports if isinstance(item, IgnoredEntries)]

    def test_entry_that_the_copy_lacks_stays_until_its_worker_can_write_again(self) -> None:
        self.offer(2, entry("a", 10, 5, 2))
        self.offer(2, entry("a", 10, 5, 2))
        self.assertEqual(self.recorder.removed, [])
        self.offer(2, entry("a", 10, 5, 2), entry("b", 13, 8, 2))
        self.now += RELIST_GRACE_SECONDS
        self.offer(2, entry("a", 10, 5, 2), entry("b", 13, 8, 2))
        self.assertEqual((self.recorder.removed, self.recorder.listed), ([], ["a", "b"]))

    def test_entry_that_the_copy_lacks_and_nobody_writes_is_gone(self) -> None:
        self.offer(2, entry("a", 10, 5, 2))
        self.now += RELIST_GRACE_SECONDS
        self.offer(2, entry("a", 10, 5, 2))
        self.assertEqual(self.recorder.removed, ["b"])

    def test_second_restore_opens_the_window_again(self) -> None:
        self.offer(2, entry("a", 10, 5, 2))
        self.now += RELIST_GRACE_SECONDS - 2 * READ_SECONDS
        self.offer(3, entry("a", 9, 4, 3))
        self.now += RELIST_GRACE_SECONDS - 2 * READ_SECONDS
        self.offer(3, entry("a", 9, 4, 3))
        self.assertEqual(self.recorder.removed, [])

    def test_revision_given_out_again_to_another_entry_is_read(self) -> None:
        self.offer(2, entry("a", 10, 5, 2), entry("b", 11, 9, 2, state="draining"))
        self.assertEqual(next(item for item in self.recorder.entries if item.leaving).id, "b")

    def test_equal_revisions_of_two_epochs_are_two_lists(self) -> None:
        tag = self.publication.list_tag
        self.offer(2, entry("a", 10, 5, 2), entry("b", 11, 5, 2))
        self.assertNotEqual(self.publication.list_tag, tag)

    def test_list_of_an_earlier_epoch_that_comes_late_is_not_taken(self) -> None:
        self.offer(2, entry("a", 10, 5, 2), entry("b", 11, 5, 2))
        self.offer(1, self.first)
        self.now += RELIST_GRACE_SECONDS
        self.publication.apply_pending(self.now)
        self.assertEqual(self.recorder.removed, [])
        self.assertEqual(self.publication.list_epoch, 2)

    def test_list_of_an_epoch_that_a_peer_says_is_over_is_not_taken(self) -> None:
        self.publication.receive_epoch(2, "a peer")
        self.offer(1, self.first)
        self.assertEqual((self.recorder.removed, self.publication.list_epoch), ([], 1))

    def test_older_entry_of_a_copy_does_not_replace_the_one_in_use(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                said = {} if born is None else {"born": born}
                name = f"c-{born}"
                leaving = entry(name, 20, 9, 1, state="draining", **said)
                self.offer(self.publication.epoch, leaving)
                copy = self.publication.epoch + 1
                self.offer(copy, entry(name, 7, 3, copy, **said))
                used = [item for item in self.recorder.entries if item.id == name]
                self.assertEqual([item.leaving for item in used], [True])

    def test_gone_worker_that_a_copy_brings_back_is_not_used(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                said = {} if born is None else {"born": born}
                name = f"c-{born}"
                epoch = self.publication.epoch
                self.offer(epoch, entry(name, 20, 9, epoch, **said))
                self.offer(epoch)
                self.assertIn(name, self.recorder.removed)
                copy = epoch + 1
                self.offer(copy, entry(name, 20, 9, copy, **said))
                self.assertNotIn(name, self.recorder.listed)
                self.assertEqual(self.left_out[-1], IgnoredEntries(copy, 0, 1))
                # It writes again: it was only silent.
                self.offer(copy, entry(name, 21, 10, copy, **said))
                self.assertIn(name, self.recorder.listed)
                self.now += RELIST_GRACE_SECONDS
                self.offer(copy)

    def test_gone_life_does_not_hide_a_later_one_under_its_key(self) -> None:
        self.offer(1, entry("c", 20, 9, 1, born=BORN))
        self.offer(1)
        self.offer(2, entry("c", 15, 1, 2, born=BORN + 1))
        self.assertIn("c", self.recorder.listed)

    def test_earlier_life_in_a_copy_does_not_replace_the_later_one(self) -> None:
        self.offer(1, entry("c", 20, 1, 1, born=BORN + 1))
        self.offer(2, entry("c", 15, 9, 2, born=BORN))
        used = [item for item in self.recorder.entries if item.id == "c"]
        self.assertEqual([item.born for item in used], [BORN + 1])

    def test_lapsed_worker_comes_back_within_one_epoch(self) -> None:
        self.offer(1, self.first)
        self.assertEqual(self.recorder.removed, ["b"])
        self.offer(1, self.first, self.second)
        self.assertEqual(self.recorder.listed, ["a", "b"])


class LeavingTest(unittest.TestCase):
    def test_leaving_binds_a_life_whoever_brings_its_entry_back(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                table = UpstreamTable("north")
                said = {} if born is None else {"born": born}
                recorder = Recorder()
                publication = recorder.publication
                publication.apply_configuration(configuration_item(1, 1), None, NOW)
                publication.apply_list([entry("a", 5, 1, 1, **said)], NOW, NOW, 1)
                table.apply_list(recorder.entries, ())
                table.mark_leaving(life_of("a", born), "a peer")
                for epoch in (2, 3):
                    copy = [entry("a", 4, 1, epoch, **said)]
                    publication.apply_list(copy, NOW + epoch, NOW + epoch, epoch)
                    table.apply_list((), ("a",))
                    table.apply_list(recorder.entries, ())
                    self.assertEqual(table.candidates(ENGINES, NOW + epoch, frozenset()), [])


if __name__ == "__main__":
    unittest.main()
