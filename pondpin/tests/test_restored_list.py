"""The list of upstreams after a restore: entries that the copy lacks or lists again."""

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
        self.apply(1, self.first, self.second)

    def apply(self, epoch: int, *items: PublishedItem) -> None:
        self.publication.receive_epoch(epoch, "its answer")
        self.publication.apply_list(items, self.now, self.now, epoch)
        self.now += READ_SECONDS

    @property
    def ignored(self) -> list[IgnoredEntries]:
        return [item for item in self.recorder.reports if isinstance(item, IgnoredEntries)]

    def test_entry_missing_in_the_copy_is_kept_for_the_grace_period(self) -> None:
        self.apply(2, entry("a", 10, 5, 2))
        self.apply(2, entry("a", 10, 5, 2))
        self.assertEqual(self.recorder.removed, [])
        self.apply(2, entry("a", 10, 5, 2), entry("b", 13, 8, 2))
        self.now += RELIST_GRACE_SECONDS
        self.apply(2, entry("a", 10, 5, 2), entry("b", 13, 8, 2))
        self.assertEqual((self.recorder.removed, self.recorder.listed), ([], ["a", "b"]))

    def test_entry_missing_in_the_copy_and_not_written_again_is_removed(self) -> None:
        self.apply(2, entry("a", 10, 5, 2))
        self.now += RELIST_GRACE_SECONDS
        self.apply(2, entry("a", 10, 5, 2))
        self.assertEqual(self.recorder.removed, ["b"])

    def test_second_restore_restarts_the_grace_period(self) -> None:
        self.apply(2, entry("a", 10, 5, 2))
        self.now += RELIST_GRACE_SECONDS - 2 * READ_SECONDS
        self.apply(3, entry("a", 9, 4, 3))
        self.now += RELIST_GRACE_SECONDS - 2 * READ_SECONDS
        self.apply(3, entry("a", 9, 4, 3))
        self.assertEqual(self.recorder.removed, [])

    def test_reused_revision_of_another_entry_is_read(self) -> None:
        self.apply(2, entry("a", 10, 5, 2), entry("b", 11, 9, 2, state="draining"))
        self.assertEqual(next(item for item in self.recorder.entries if item.leaving).id, "b")

    def test_equal_revisions_of_two_epochs_are_different_lists(self) -> None:
        tag = self.publication.list_tag
        self.apply(2, entry("a", 10, 5, 2), entry("b", 11, 5, 2))
        self.assertNotEqual(self.publication.list_tag, tag)

    def test_late_list_of_an_earlier_epoch_is_not_applied(self) -> None:
        self.apply(2, entry("a", 10, 5, 2), entry("b", 11, 5, 2))
        self.apply(1, self.first)
        self.now += RELIST_GRACE_SECONDS
        self.publication.apply_pending(self.now)
        self.assertEqual(self.recorder.removed, [])
        self.assertEqual(self.publication.list_epoch, 2)

    def test_list_of_an_earlier_epoch_than_a_peer_names_is_not_applied(self) -> None:
        self.publication.receive_epoch(2, "a peer")
        self.apply(1, self.first)
        self.assertEqual((self.recorder.removed, self.publication.list_epoch), ([], 1))

    def test_older_entry_of_a_copy_does_not_replace_the_one_in_use(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                fields = {} if born is None else {"born": born}
                name = f"c-{born}"
                leaving = entry(name, 20, 9, 1, state="draining", **fields)
                self.apply(self.publication.epoch, leaving)
                copy_epoch = self.publication.epoch + 1
                self.apply(copy_epoch, entry(name, 7, 3, copy_epoch, **fields))
                used = [item for item in self.recorder.entries if item.id == name]
                self.assertEqual([item.leaving for item in used], [True])

    def test_removed_worker_in_a_copy_is_not_used(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                fields = {} if born is None else {"born": born}
                name = f"c-{born}"
                epoch = self.publication.epoch
                self.apply(epoch, entry(name, 20, 9, epoch, **fields))
                self.apply(epoch)
                self.assertIn(name, self.recorder.removed)
                copy_epoch = epoch + 1
                self.apply(copy_epoch, entry(name, 20, 9, copy_epoch, **fields))
                self.assertNotIn(name, self.recorder.listed)
                self.assertEqual(self.ignored[-1], IgnoredEntries(copy_epoch, 0, 1))
                # It writes again, so it was only silent.
                self.apply(copy_epoch, entry(name, 21, 10, copy_epoch, **fields))
                self.assertIn(name, self.recorder.listed)
                self.now += RELIST_GRACE_SECONDS
                self.apply(copy_epoch)

    def test_removed_life_does_not_hide_a_later_one_of_its_key(self) -> None:
        self.apply(1, entry("c", 20, 9, 1, born=BORN))
        self.apply(1)
        self.apply(2, entry("c", 15, 1, 2, born=BORN + 1))
        self.assertIn("c", self.recorder.listed)

    def test_earlier_life_in_a_copy_does_not_replace_the_later_one(self) -> None:
        self.apply(1, entry("c", 20, 1, 1, born=BORN + 1))
        self.apply(2, entry("c", 15, 9, 2, born=BORN))
        used = [item for item in self.recorder.entries if item.id == "c"]
        self.assertEqual([item.born for item in used], [BORN + 1])

    def test_removed_entry_is_listed_again_within_one_epoch(self) -> None:
        self.apply(1, self.first)
        self.assertEqual(self.recorder.removed, ["b"])
        self.apply(1, self.first, self.second)
        self.assertEqual(self.recorder.listed, ["a", "b"])


class LeavingTest(unittest.TestCase):
    def test_leaving_life_stays_leaving_when_its_entry_is_listed_again(self) -> None:
        for born in (None, BORN):
            with self.subTest(born=born):
                table = UpstreamTable("north")
                fields = {} if born is None else {"born": born}
                recorder = Recorder()
                publication = recorder.publication
                publication.apply_configuration(configuration_item(1, 1), None, NOW)
                publication.apply_list([entry("a", 5, 1, 1, **fields)], NOW, NOW, 1)
                table.apply_list(recorder.entries, ())
                table.mark_leaving(life_of("a", born), "a peer")
                for epoch in (2, 3):
                    copy = [entry("a", 4, 1, epoch, **fields)]
                    publication.apply_list(copy, NOW + epoch, NOW + epoch, epoch)
                    table.apply_list((), ("a",))
                    table.apply_list(recorder.entries, ())
                    self.assertEqual(table.candidates(ENGINES, NOW + epoch, frozenset()), [])


if __name__ == "__main__":
    unittest.main()
