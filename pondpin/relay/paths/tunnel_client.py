"""Opens a connection to an upstream through a peer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from pondpin.body_ends import PathLostError
from pondpin.codes import Code
from pondpin.http_client import ConnectorEndpoint, DirectConnector
from pondpin.network import Endpoint
from pondpin.relay.paths.tunnel_framing import FramingDecoder, FramingError, UpstreamEnding
from pondpin.relay.paths.tunnel_messages import (
    HEAD_END,
    MAX_HEAD_BYTES,
    TunnelRequest,
    decode_answer,
    encode_request,
    has_framing,
)

# A live peer accepts within some ms; another one is tried after this.
PEER_CONNECT_SECONDS = 0.1
# The peer tries to connect to the upstream for 0.3 s, and checks its own links meanwhile.
ANSWER_SECONDS = 0.5


class TunnelFailedError(ConnectError):
    """The peer did not answer, or not as a peer does."""

    def __init__(self, reason: str) -> None:
        super().__init__(string=reason)  # type: ignore[no-untyped-call]


class _TunnelReceiver(Protocol):
    """Receives for a connection to an upstream through a peer, which writes to the peer itself.

    Only the framing tells how the upstream ended its connection. The end of the peer's, and every
    end without framing, is a PathLostError.
    """

    transport: Any

    def __init__(self, connection: Any, is_framed: bool) -> None:
        self._connection = connection
        self._on_lost: Callable[[], None] | None = None
        self._decoder = FramingDecoder(connection.dataReceived, self._end) if is_framed else None

    def dataReceived(self, data: bytes) -> None:
        """Pass on what the upstream sent."""
        if self._decoder is None:
            self._connection.dataReceived(data)
            return
        try:
            self._decoder.decode(data)
        except FramingError:
            self.transport.abortConnection()

    def _end(self, ending: UpstreamEnding) -> None:
        """End the connection at once: the peer's own end may come late."""
        is_closed = ending is UpstreamEnding.CLOSED
        self.transport.abortConnection()
        self._lose(ConnectionDone() if is_closed else ConnectionLost("reset by the upstream"))

    def connectionLost(self, reason: Any = None) -> None:
        """End the connection unless the upstream did."""
        self._lose(PathLostError("the peer ended the tunnel"))

    def _lose(self, error: Exception) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._on_lost is not None:
            self._on_lost()
        connection.connectionLost(Failure(error))

    def call_when_lost(self, function: Callable[[], None]) -> None:
        """Call a function at the connection's end, or now if it is over."""
        if self._connection is None:
            function()
        else:
            self._on_lost = function


@dataclass(frozen=True, slots=True)
class OpenedTunnel:
    """The result of a request: a connection, or the code of the peer's refusal."""

    code: Code
    connection: Any = None
    receiver: _TunnelReceiver | None = None


class _Handshake(Protocol):
    """Sends the head and reads the answer; then the factory's protocol has the connection."""

    transport: Any

    def __init__(self, head: bytes, factory: Any, opened: "Deferred[OpenedTunnel]") -> None:
        self._head = head
        self._factory = factory
        self._opened: Deferred[OpenedTunnel] | None = opened
        self._received = b""

    def connectionMade(self) -> None:
        """Send the head."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._head)

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; bytes after it belong to the upstream."""
        self._received += data
        head, separator, rest = self._received.partition(HEAD_END)
        if separator:
            self._finish(head, rest)
        elif len(self._received) > MAX_HEAD_BYTES:
            self._fail("the answer is too long")

    def _finish(self, head: bytes, rest: bytes) -> None:
        opened, self._opened = self._opened, None
        if opened is None:
            return
        transport = self.transport
        try:
            code = decode_answer(head)
        except ValueError as error:
            transport.abortConnection()
            opened.errback(TunnelFailedError(str(error)))
            return
        if code is not Code.OK:
            transport.loseConnection()
            opened.callback(OpenedTunnel(code))
            return
        connection = self._factory.buildProtocol(transport.getPeer())
        receiver = _TunnelReceiver(connection, has_framing(head))
        receiver.transport = transport
        transport.protocol = receiver
        connection.makeConnection(transport)
        opened.callback(OpenedTunnel(code, connection, receiver))
        if rest:
            receiver.dataReceived(rest)

    def _fail(self, reason: str) -> None:
        opened, self._opened = self._opened, None
        if opened is not None:
            self.transport.abortConnection()
            opened.errback(TunnelFailedError(reason))

    def connectionLost(self, reason: Any = None) -> None:
        """The peer closed before it had answered."""
        self._fail("closed without an answer")


class TunnelClient:
    """Opens tunnels through peers."""

    def __init__(self, reactor: Any) -> None:
        self._peers = DirectConnector(reactor, PEER_CONNECT_SECONDS)

    async def open(self, peer: Endpoint, request: TunnelRequest, factory: Any) -> OpenedTunnel:
        """Open a tunnel; raises ConnectError if the peer gives no answer in time."""
        opened: Deferred[OpenedTunnel] = Deferred()
        handshakes = Factory.forProtocol(
            lambda: _Handshake(encode_request(request), factory, opened)
        )
        handshakes.noisy = False
        endpoint = ConnectorEndpoint(self._peers, peer.host, peer.port)
        handshake = await endpoint.connect(handshakes).asFuture(asyncio.get_running_loop())
        waiting = opened.asFuture(asyncio.get_running_loop())
        try:
            return await asyncio.wait_for(asyncio.shield(waiting), ANSWER_SECONDS)
        except TimeoutError:
            waiting.add_done_callback(_ignore)
            handshake.transport.abortConnection()
            raise TunnelFailedError("no answer in time") from None
        except asyncio.CancelledError:
            waiting.add_done_callback(_ignore)
            handshake.transport.abortConnection()
            raise


def _ignore(waiting: "asyncio.Future[OpenedTunnel]") -> None:
    # Its connection was aborted: the error is expected.
    if not waiting.cancelled():
        waiting.exception()
