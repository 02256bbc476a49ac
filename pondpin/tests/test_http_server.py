"""Limits of the HTTP server, on a fake transport and clock."""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import (
    FIRST_REQUEST_SECONDS,
    BodyBudget,
    ServerLimits,
    WebFactory,
    WebServer,
)
from pondpin.tests.support import run_async

LIMITS = ServerLimits(body_bytes=100, bodies_held_bytes=150, send_seconds=5.0, idle_seconds=60.0)


class Channel:
    """A connection to a server that echoes each request's body."""

    def __init__(self, limits: ServerLimits = LIMITS) -> None:
        self.clock = Clock()
        self.server = WebServer(self.clock, limits)
        self.server.route("/", self._echo)
        address = IPv4Address("TCP", "127.0.0.1", 1)
        self.transport: Any = StringTransport(peerAddress=address, hostAddress=address)
        self.protocol: Any = WebFactory(self.server).buildProtocol(address)
        self.protocol.makeConnection(self.transport)

    async def _echo(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.send(200, {}, incoming.body)

    def send(self, data: bytes) -> bytes:
        """Send bytes; returns all data received so far."""

        async def work() -> None:
            self.protocol.dataReceived(data)
            for task in list(self.server.tasks):
                await task

        run_async(work())
        received: bytes = self.transport.value()
        return received


class IdleTest(unittest.TestCase):
    def test_a_new_connection_is_idle_only_after_a_while(self) -> None:
        channel = Channel()
        channel.clock.advance(FIRST_REQUEST_SECONDS - 0.1)
        channel.server.close_idle()
        self.assertFalse(channel.transport.disconnecting)
        channel.clock.advance(0.2)
        channel.server.close_idle()
        self.assertTrue(channel.transport.disconnecting)

    def test_a_connection_is_idle_once_its_request_is_answered(self) -> None:
        channel = Channel()
        channel.send(b"GET / HTTP/1.1\r\n\r\n")
        channel.server.close_idle()
        self.assertTrue(channel.transport.disconnecting)

    def test_a_connection_on_which_a_request_begins_is_not_idle(self) -> None:
        channel = Channel()
        channel.send(b"GET / HTTP/1.1\r\n\r\nGET")
        channel.server.close_idle()
        self.assertFalse(channel.transport.disconnecting)


class LimitsTest(unittest.TestCase):
    def test_a_slow_sender_gets_an_error_and_is_disconnected(self) -> None:
        channel = Channel()
        channel.send(b"POST / HTTP/1.1\r\ncontent-length: 50\r\n\r\nhalf")
        channel.clock.advance(4.9)
        self.assertEqual(channel.transport.value(), b"")
        channel.clock.advance(0.2)
        self.assertIn(b"SLOW_SENDER", channel.transport.value())
        channel.clock.advance(1.1)
        self.assertTrue(channel.transport.disconnecting)
        self.assertEqual(channel.server.budget.held, 0)

    def test_a_slow_sender_of_headers_too(self) -> None:
        channel = Channel()
        channel.send(b"POST / HTTP/1.1\r\nhost: x\r\n")
        channel.clock.advance(5.1)
        self.assertIn(b"408", channel.transport.value())

    def test_a_declared_body_over_the_limit(self) -> None:
        channel = Channel()
        response = channel.send(b"POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n")
        self.assertIn(b"BODY_TOO_LARGE", response)
        self.assertIn(b"pondpin-ran: not run", response)

    def test_a_chunked_body_over_the_limit(self) -> None:
        channel = Channel()
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        response = channel.send(head + b"40\r\n" + b"x" * 64 + b"\r\n40\r\n" + b"x" * 64 + b"\r\n")
        self.assertIn(b"BODY_TOO_LARGE", response)
        self.assertEqual(channel.server.budget.held, 0)

    def test_all_bodies_share_a_limit(self) -> None:
        channel = Channel()
        self.assertTrue(channel.server.budget.reserve(100))
        response = channel.send(b"POST / HTTP/1.1\r\ncontent-length: 60\r\n\r\n" + b"x" * 60)
        self.assertIn(b"BODIES_HELD", response)
        self.assertEqual(channel.server.budget.held, 100)

    def test_a_refused_retry_has_an_unknown_outcome(self) -> None:
        channel = Channel()
        response = channel.send(
            b"POST / HTTP/1.1\r\npondpin-token: t\r\ncontent-length: 101\r\n\r\n"
        )
        self.assertIn(b"pondpin-ran: outcome unknown", response)

    def test_two_lengths_are_refused(self) -> None:
        channel = Channel()
        response = channel.send(
            b"POST / HTTP/1.1\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\nabcd"
        )
        self.assertIn(b"400", response)

    def test_length_with_chunked_encoding_is_refused(self) -> None:
        channel = Channel()
        response = channel.send(
            b"POST / HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        self.assertIn(b"400", response)

    def test_headers_over_the_limit(self) -> None:
        channel = Channel(ServerLimits(header_bytes=200))
        response = channel.send(b"GET / HTTP/1.1\r\nx: " + b"y" * 300 + b"\r\n\r\n")
        self.assertIn(b"400", response)

    @given(st.lists(st.binary(max_size=60), max_size=6))
    def test_arbitrary_bytes_release_the_budget(self, chunks: list[bytes]) -> None:
        channel = Channel()
        for chunk in chunks:
            if channel.transport.disconnecting:
                break
            channel.send(chunk)
        channel.clock.advance(10)
        self.assertEqual(channel.server.budget.held, 0)

    @given(st.lists(st.integers(1, 30), max_size=12))
    def test_a_request_may_arrive_in_any_segments(self, sizes: list[int]) -> None:
        channel = Channel()
        data = b"POST /a?b=c HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
        for size in sizes:
            if data[:size]:
                channel.send(data[:size])
            data = data[size:]
        response = channel.send(data) if data else channel.transport.value()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertTrue(response.endswith(b"hello"), response)


class BudgetTest(unittest.TestCase):
    def test_no_more_is_released_than_reserved(self) -> None:
        budget = BodyBudget(10)
        self.assertTrue(budget.reserve(10))
        self.assertFalse(budget.reserve(1))
        budget.release(10)
        with self.assertRaises(AssertionError):
            budget.release(1)
