"""Every header and field of the store's answers, and what becomes of it."""

import dataclasses
import unittest

import msgspec

from pondpin.platform.documents import WireServer
from pondpin.platform.store import (
    EPOCH_HEADER,
    STORE_HEADER_PREFIX,
    WireEvents,
    WireItem,
    WireRange,
    parse_source_head,
)
from pondpin.relay.ports import SourceHead

DECODED, IGNORED, LOGGED = "decoded", "ignored", "logged"

# The protocol page's words for the store: where they stand, and what the adapter does with them.
HEADERS = {
    "store-era": DECODED,
    # Whatever else the store says of itself.
    "store-anything": LOGGED,
    "content-type": IGNORED,
    "content-length": IGNORED,
    "date": IGNORED,
}
ITEM = {
    "tlsKey": DECODED,
    "value": DECODED,
    "revision": DECODED,
    "gone": DECODED,
    # The creation of an item decides nothing.
    "made": IGNORED,
    # Entries go with their leases; only that they go is of use.
    "lease": IGNORED,
}
RANGE = {"items": DECODED, "more": DECODED, "at": DECODED}
EVENTS = {"events": DECODED, "at": DECODED}
ENTRY = {
    "service": DECODED,
    "address": DECODED,
    "zone": DECODED,
    "version": DECODED,
    "slots": DECODED,
    "state": DECODED,
    "coldRemainingMs": DECODED,
    "sequence": DECODED,
    "born": DECODED,
    # An engine's report says them, and is younger.
    "stage": IGNORED,
    "models": IGNORED,
}


def names_of(kind: type[msgspec.Struct]) -> set[str]:
    return set(kind.__struct_encode_fields__)


def decoded(words: dict[str, str]) -> set[str]:
    return {name for name, fate in words.items() if fate == DECODED}


class WordsTest(unittest.TestCase):
    def test_headers(self) -> None:
        for name, fate in HEADERS.items():
            head = parse_source_head({name: "7"})
            with self.subTest(name):
                self.assertEqual(head.epoch == 7, fate == DECODED)
                self.assertEqual(bool(head.unknown), fate == LOGGED)
        self.assertTrue(EPOCH_HEADER.startswith(STORE_HEADER_PREFIX))
        self.assertEqual(
            {field.name for field in dataclasses.fields(SourceHead)},
            {"epoch", "odd_epoch", "unknown"},
        )

    def test_fields_of_items_ranges_watches_and_entries(self) -> None:
        self.assertEqual(names_of(WireItem), decoded(ITEM))
        self.assertEqual(names_of(WireRange), decoded(RANGE))
        self.assertEqual(names_of(WireEvents), decoded(EVENTS))
        self.assertEqual(names_of(WireServer), decoded(ENTRY))


if __name__ == "__main__":
    unittest.main()
