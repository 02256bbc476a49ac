"""Random responses, sound ones and some with a byte changed, seeded.

What reaches a caller matches the grammar of RFC 9112, and what was sound arrives unchanged.
"""

import asyncio
import random
import string
import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from pondpin.http_streams import ResponseFaultError
from pondpin.response_grammar import HeadChecker
from pondpin.standins.local_platform import HOST, KEY, LocalPlatform
from pondpin.standins.scripted_upstream import ATTEMPT
from pondpin.tests.support import RelayTest, use_scripted_upstream

SEED = 75
HEADS = 300
TOKEN = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
TEXT = bytes(range(0x21, 0x7F)) + bytes(range(0x80, 0x100))
DIGITS = string.digits.encode()
SPACES = b" \t"
STATUSES = (200, 201, 204, 299, 304, 400, 404, 418, 499, 500, 599)
BODIES = (b"", b"ok", b"\r\n\r\n", bytes(range(256)))
Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class Parsed:
    """A response by its bytes."""

    status: int
    fields: Fields
    body: bytes


def parse(data: bytes) -> Parsed:
    """Parse a response byte by byte, up to its length; ValueError unless it matches the grammar."""
    head, end, body = data.partition(b"\r\n\r\n")
    require(end == b"\r\n\r\n")
    start, *lines = head.split(b"\r\n")
    require(start[:7] == b"HTTP/1." and start[7:8] in set_of(DIGITS) and start[8:9] == b" ")
    code, space, reason = start[9:12], start[12:13], start[13:]
    require(
        len(code) == 3 and all(byte in DIGITS for byte in code) and code[:1] in set_of(b"12345")
    )
    require(space in (b"", b" ") and all(byte in TEXT + SPACES for byte in reason))
    fields = []
    for line in lines:
        name, colon, value = line.partition(b":")
        require(bool(name and colon) and all(byte in TOKEN for byte in name))
        require(all(byte in TEXT + SPACES for byte in value))
        fields.append((name.lower(), value.strip(SPACES)))
    lengths = [value for name, value in fields if name == b"content-length"]
    is_delimited = bool(lengths) and lengths[0].isdigit()
    return Parsed(int(code), fields, body[: int(lengths[0])] if is_delimited else body)


def require(holds: bool) -> None:
    """Raise ValueError unless something holds."""
    if not holds:
        raise ValueError("not of the grammar")


def set_of(data: bytes) -> set[bytes]:
    """The single bytes of some."""
    return {bytes((byte,)) for byte in data}


def pick(rng: random.Random, alphabet: bytes, least: int, most: int) -> bytes:
    """Random bytes of an alphabet."""
    return bytes(rng.choice(alphabet) for _ in range(rng.randint(least, most)))


def make_response(rng: random.Random) -> bytes:
    """A sound response with random fields."""
    body = rng.choice(BODIES)
    status = rng.choice(STATUSES)
    body = b"" if status in (204, 304) else body
    reason = rng.choice((b"", b" ", b" OK", b" " + pick(rng, TEXT + SPACES, 1, 12)))
    fields = [b"X-%s:%s" % (pick(rng, TOKEN, 1, 12), make_value(rng)) for _ in range(4)]
    fields.append(b"X-Attempt-Id: " + ATTEMPT)
    fields.append(b"X-Instance-Signature: s." + ATTEMPT)
    fields.append(b"Content-Length: %d" % len(body))
    rng.shuffle(fields)
    start = b"HTTP/1.%d %d%s" % (rng.choice((0, 1)), status, reason)
    return b"\r\n".join((start, *fields, b"", body))


def make_value(rng: random.Random) -> bytes:
    """A random field-value with whitespace around it."""
    inner = pick(rng, TEXT + SPACES, 0, 12).strip(SPACES)
    return pick(rng, SPACES, 0, 2) + inner + pick(rng, SPACES, 0, 2)


def change_byte(rng: random.Random, response: bytes) -> bytes:
    """Change, remove or insert a byte of the head; the others are as they were."""
    at = rng.randrange(response.index(b"\r\n\r\n") + 4)
    byte = bytes((rng.choice((rng.randrange(256), 0, 9, 10, 13, 32, 58, 127)),))
    kept = response[at + rng.randint(0, 1) :]
    return response[:at] + rng.choice((byte, byte, b"")) + kept


def is_accepted(response: bytes) -> bool:
    """Whether the checker accepts the head of a response."""
    checker = HeadChecker()
    try:
        for line in response.partition(b"\r\n\r\n")[0].split(b"\n"):
            checker.check_line(line if line.endswith(b"\r") else line + b"\r")
    except ResponseFaultError:
        return False
    return True


class CheckerTest(unittest.TestCase):
    @given(st.integers(0, 2**32))
    def test_a_sound_head_is_accepted(self, seed: int) -> None:
        response = make_response(random.Random(seed))
        parse(response)
        self.assertTrue(is_accepted(response), response)

    @given(st.binary(max_size=24))
    def test_a_line_is_a_field_as_the_grammar_says(self, line: bytes) -> None:
        line = line.replace(b"\n", b"").replace(b"\r", b"") or b"x"
        checker = HeadChecker()
        checker.check_line(b"HTTP/1.1 200 OK\r")
        try:
            parse(b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n")
        except ValueError:
            with self.assertRaises(ResponseFaultError):
                checker.check_line(line + b"\r")
        else:
            checker.check_line(line + b"\r")


class RelayedTest(RelayTest):
    async def send(self, platform: LocalPlatform, attempt: str, route: str) -> bytes:
        """Send a request on a connection of its own; all that its caller gets."""
        state = platform.entries[0].table.by_id["scripted"]
        state.health = type(state.health)()
        place = platform.callers[0]
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(
            f"POST /{route}/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n"
            f"x-deadline-ms: 1000\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n"
            f"content-length: {len(attempt)}\r\n\r\n{attempt}".encode()
        )
        received = await reader.read()
        writer.close()
        return received

    def test_what_reaches_a_caller_matches_the_grammar(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform)
            rng = random.Random(SEED)
            for number in range(HEADS):
                sound = make_response(rng)
                is_changed = number % 2 == 1
                response = change_byte(rng, sound) if is_changed else sound
                upstream.response = response
                route = rng.choice(("again", "once"))
                attempt = f"r{number}"
                reply = await self.send(platform, attempt, route)
                with self.subTest(number=number, response=response):
                    received = parse(reply)
                    names = [name for name, _ in received.fields]
                    self.assertLessEqual(names.count(b"content-length"), 1)
                    if not is_changed or b"pondpin-ran" not in names:
                        sent = parse(response.replace(ATTEMPT, attempt.encode()))
                        self.check_unchanged(received, sent)
                    else:
                        self.assertGreaterEqual(received.status, 500)
                        self.assertEqual(upstream.runs_by_attempt[attempt], 1)
            await upstream.close()

        self.play(work)

    def check_unchanged(self, received: Parsed, sent: Parsed) -> None:
        """Check that an upstream's response arrived as it was sent."""
        self.assertEqual(received.status, sent.status)
        self.assertEqual(received.body, sent.body)
        own = (b"x-", b"content-type")
        self.assertEqual(
            sorted(field for field in received.fields if field[0].startswith(own)),
            sorted(field for field in sent.fields if field[0].startswith(own)),
        )


if __name__ == "__main__":
    unittest.main()
