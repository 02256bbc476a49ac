"""How the adapter handles each header and field of the store's answers."""

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

# The headers and fields that the protocol documents, and what the adapter does with them.
HEADERS = {
    "store-era": DECODED,
    # Any other header about the store.
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
    # An item's creation is not used.
    "made": IGNORED,
    # Entries expire with their leases; only the removal is used.
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
    # Taken from the engine's report, which is newer.
    "stage": IGNORED,
    "models": IGNORED,
}


def field_names(kind: type[msgspec.Struct]) -> set[str]:
    return set(kind.__struct_encode_fields__)


def decoded_names(handling_by_name: dict[str, str]) -> set[str]:
    return {name for name, handling in handling_by_name.items() if handling == DECODED}


class StoreFieldsTest(unittest.TestCase):
    def test_headers(self) -> None:
        for name, handling in HEADERS.items():
            head = parse_source_head({name: "7"})
            with self.subTest(name):
                self.assertEqual(head.epoch == 7, handling == DECODED)
                self.assertEqual(bool(head.unknown_headers), handling == LOGGED)
        self.assertTrue(EPOCH_HEADER.startswith(STORE_HEADER_PREFIX))
        self.assertEqual(
            {field.name for field in dataclasses.fields(SourceHead)},
            {"epoch", "invalid_epoch", "unknown_headers"},
        )

    def test_fields_of_items_ranges_watches_and_entries(self) -> None:
        self.assertEqual(field_names(WireItem), decoded_names(ITEM))
        self.assertEqual(field_names(WireRange), decoded_names(RANGE))
        self.assertEqual(field_names(WireEvents), decoded_names(EVENTS))
        self.assertEqual(field_names(WireServer), decoded_names(ENTRY))


if __name__ == "__main__":
    unittest.main()
