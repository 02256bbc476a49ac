"""Fields of requests and responses with odd values: none breaks a request, or an instance."""

import unittest

from pondpin.platform.headers import MAX_COUNT, PlatformDialect
from pondpin.relay.model import Load
from pondpin.standins.local_platform import LocalPlatform
from pondpin.tests.support import RelayTest, ask, use_scripted_upstream

# Python converts no number of more than 4,300 digits.
DIGITS = (b"9" * 5000, b"9" * 400, b"0" * 5000 + b"1")
ODD_VALUES = (
    *DIGITS,
    b"",
    b"-1",
    b"+5",
    b"1.5",
    b"nan",
    b"-inf",
    b"1e400",
    b"0x10",
    b"1_0",
    b"\xb2",
    b"\xff\xfe",
    b"1,1," + b"9" * 5000,
    b",".join(DIGITS),
    b"127.0.0.1:70000",
    b"127.0.0.1:-1",
    b"::::",
    b"ab:" + b"9" * 5000 + b",cd:1",
    b"Fri, 31 Dec 9999 23:59:59 GMT",
    b"Mon, 01 Jan 0000 00:00:00 GMT",
    b"a" * 15000,
)
RESPONSE_FIELDS = (
    b"x-instance-load",
    b"x-not-executed",
    b"at-server",
    b"x-instance-id",
    b"server-leaving",
    b"server-limit",
    b"server-other",
    b"x-cold-ms",
    b"retry-after",
    b"date",
    b"content-type",
)
REQUEST_FIELDS = (
    b"x-deadline-ms",
    b"x-token-usage",
    b"last-event-id",
    b"x-prompt-prefix",
    b"host",
    b"authorization",
    b"connection",
)
STATUSES = (200, 421, 429, 503)


class DialectTest(unittest.TestCase):
    def test_an_odd_value_is_no_error(self) -> None:
        dialect = PlatformDialect()
        for value in ODD_VALUES:
            for name in RESPONSE_FIELDS:
                for status in STATUSES:
                    dialect.read_head(status, [(name, value)])
            for name in REQUEST_FIELDS:
                dialect.read_request([(name, value)])

    def test_a_count_of_too_many_digits_is_the_largest(self) -> None:
        read = PlatformDialect()
        load = read.read_head(200, [(b"x-instance-load", b"1,2," + b"9" * 5000)]).load
        self.assertEqual(load, Load(running=1, waiting=2, slots=MAX_COUNT))
        metadata = read.read_request([(b"x-token-usage", b"9" * 400 + b"," + b"0" * 5000 + b"7")])
        self.assertEqual((metadata.prompt_tokens, metadata.answer_tokens), (MAX_COUNT, 7))


class RelayedTest(RelayTest):
    def response(self, name: bytes, value: bytes, status: bytes = b"200 OK") -> bytes:
        """A response with a field of an odd value."""
        return (
            b"HTTP/1.1 " + status + b"\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Signature: s\r\n"
            b"Content-Length: 2\r\n" + name + b": " + value + b"\r\n\r\nok"
        )

    def test_a_load_of_many_digits_is_no_internal_error(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform)
            for number, value in enumerate(ODD_VALUES):
                upstream.response = self.response(b"X-Instance-Load", value)
                for route in ("again", "once"):
                    answer = await ask(platform, route, f"{route}{number}")
                    if answer.status == 503:
                        # By its own word the upstream is full.
                        self.assertEqual(answer.headers["pondpin-ran"], "not run")
                    else:
                        self.assertEqual((answer.status, answer.body), (200, b"ok"), value[:20])
            await upstream.close()

        self.play(work)

    def test_a_deadline_that_is_no_number_is_ignored(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for value in ("nan", "-nan", "NaN", "many", "1e400", "9" * 400):
                for route in ("again", "once"):
                    answer = await ask(platform, route, f"{route}{value[:9]}", x_deadline_ms=value)
                    self.assertEqual(answer.status, 200, value[:20])

        self.play(work)

    def test_a_rest_without_end_is_refused_as_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform)
            upstream.response = self.response(b"Retry-After", b"9" * 400, b"503 Busy")
            await ask(platform, "again", "rests")
            # The rest is known now, and no upstream is left.
            for route in ("again", "once"):
                answer = await ask(platform, route, f"later-{route}")
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")
                self.assertGreater(float(answer.headers["retry-after"]), 2e9)
            self.assertEqual(set(upstream.runs_by_attempt), {"rests"})
            for controller in platform.entries[0].controllers:
                self.assertEqual(controller.failures, 0, type(controller).__name__)
            await upstream.close()

        self.play(work)

    def test_a_token_usage_of_many_digits_is_a_prompt_that_no_engine_takes(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for value in DIGITS[:2]:
                answer = await ask(platform, "stream", x_token_usage=value.decode())
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")

        self.play(work)


if __name__ == "__main__":
    unittest.main()
