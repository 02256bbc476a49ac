"""Odd entries of upstreams: none stops an instance, or keeps it from following the list."""

import json
import unittest

from pondpin.standins.local_platform import PLAIN, LocalPlatform, sample_entry
from pondpin.standins.store_state import UPSTREAMS_PREFIX, StoredItem
from pondpin.tests.support import RelayTest, ask

NESTED = b"[" * 100_000 + b"]" * 100_000
ADDRESS = "127.0.0.1:9"
ODD_NUMBERS = (
    b"1e400",
    b"-1e400",
    b"1e308",
    b"9" * 5000,
    b"-" + b"9" * 5000,
    b"18446744073709551616",
    b"-1",
    b"0.5",
    b"NaN",
    b"Infinity",
    b"null",
    b"true",
    b'"8"',
    b"[]",
    b"{}",
    NESTED,
)
ODD_ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:8e1",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:80:80",
    "256.0.0.1:80",
    "localhost:80",
    "http://127.0.0.1:80",
    "[::1]:80",
    "[::1:80",
    "127.0.0.1 :80",
    "127.0.0.1:80\r\nX-Odd: 1",
    "127.0.0.1:80\x00",
    "\ud800:80",
)
ODD_DOCUMENTS = (
    b"",
    b"\xff\xfe",
    b"\x00",
    b"{",
    b"[]",
    b"null",
    b"1",
    b'"entry"',
    b"{}",
    NESTED,
    b'{"x":' + NESTED + b"}",
)
NO_BASE64 = ("no base64!", "A", "====", "\u00e9", "A" * 1001)


def odd_values() -> list[bytes]:
    """Odd documents of entries."""
    entry = json_entry(ADDRESS)
    values = list(ODD_DOCUMENTS)
    for name in (b"slots", b"sequence", b"coldRemainingMs", b"born"):
        values += [with_field(entry, name, number) for number in ODD_NUMBERS]
    values += [json_entry(address) for address in ODD_ADDRESSES]
    values.append(entry[:-1] + b',"odd":' + NESTED + b"}")
    return values


def json_entry(address: str) -> bytes:
    """An entry with an address, to which no request is sent if it is accepted."""
    return json.dumps(sample_entry(PLAIN, address, state="draining")).encode()


def with_field(entry: bytes, name: bytes, value: bytes) -> bytes:
    """An entry with a further field; the last of a name applies."""
    return entry[:-1] + b',"' + name + b'":' + value + b"}"


class OddEntriesTest(RelayTest):
    def test_no_odd_entry_stops_the_list_or_its_instance(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            store = platform.store
            for number, value in enumerate(odd_values()):
                key = f"{UPSTREAMS_PREFIX}odd-{number}"
                store.put(key, {})
                store.item_by_key[key] = StoredItem(value, store.revision)
            for number, text in enumerate(NO_BASE64):
                key = f"{UPSTREAMS_PREFIX}spoiled-{number}"
                store.put(key, {})
                store.spoiled_keys[key] = text
            # A later change of the list is followed, beside all of them.
            platform.add_worker("plain-2", PLAIN)
            store.delete(f"{UPSTREAMS_PREFIX}plain-0")
            sound = {"plain-1", "plain-2"}
            await platform.until(
                lambda: sound <= set(entry.table.by_id) and "plain-0" not in entry.table.by_id
            )
            for number in range(10):
                for route in ("again", "once"):
                    answer = await ask(platform, route, f"{route}{number}")
                    self.assertEqual(answer.status, 200)
            self.assertTrue(entry.ready)
            for controller in entry.controllers:
                self.assertEqual(controller.failures, 0, type(controller).__name__)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
