"""Opens tunnels to upstreams for peers that can't reach them.

No open proxy: only for live instances of this fleet, by a proof that serves once, only to listed
upstreams, one hop, bounded in number, time and unsent bytes.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import Factory, Protocol

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.http_client import CONNECT_ERRORS, Connector
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.log import EventLog
from pondpin.relay.paths.events import TunnelRefused
from pondpin.relay.paths.tunnel_framing import UpstreamEnding, encode_data, encode_end
from pondpin.relay.paths.tunnel_messages import (
    HEAD_END,
    MAX_HEAD_BYTES,
    TunnelRequest,
    decode_request,
    encode_answer,
    has_proof,
)

if TYPE_CHECKING:
    from pondpin.relay.peers.digests import PeerRecord
    from pondpin.relay.upstreams.state import UpstreamState

# A tunnel takes two descriptors of the 3,900 that an instance may open.
MAX_TUNNELS = 512
HEAD_SECONDS = 1.0
# A sound upstream accepts within some ms; after this the own links are checked.
CHECK_AFTER_SECONDS = 0.05
# Longer than any upstream is silent within a request; idle connections end after 4 s.
IDLE_SECONDS = 60.0
# Requests of a sender may overtake one another on their way by this many numbers.
NUMBER_WINDOW = 1024
# Senders whose numbers are remembered; each start of an instance is a new one.
MAX_SENDERS = 1024


@dataclass
class NumberWindow:
    """The numbers of a sender that were used."""

    highest: int = 0
    used: set[int] = field(default_factory=set)

    def use(self, number: int) -> bool:
        """Whether a number is new; it can't be used again."""
        if number <= self.highest - NUMBER_WINDOW or number in self.used:
            return False
        self.used.add(number)
        if number > self.highest:
            self.highest = number
            self.used = {item for item in self.used if item > number - NUMBER_WINDOW}
        return True


@dataclass
class TunnelServer:
    """Decides on requests for tunnels; direct: connects to upstreams without another hop.

    find_peer: the live peer of a name. find_upstream: the listed upstream at an endpoint.
    is_unreachable: whether this instance has lost its links to an upstream. reaches_others: whether
    it connects to others now. is_stopping: whether it takes no more tunnels.
    """

    key: bytes
    boot: int
    direct: Connector
    find_peer: Callable[[str], "PeerRecord | None"]
    find_upstream: Callable[[Endpoint], "UpstreamState | None"]
    is_unreachable: Callable[[Endpoint], bool]
    reaches_others: Callable[[Endpoint], Deferred[bool]]
    is_stopping: Callable[[], bool]
    metrics: Metrics
    log: EventLog
    clock: Clock
    ends: "set[PeerEnd]" = field(default_factory=set)
    open_count: int = 0
    _windows: "OrderedDict[int, NumberWindow]" = field(default_factory=OrderedDict)

    def refusal(self, request: TunnelRequest) -> Code:
        """Why a request is refused; Code.OK if it isn't."""
        if not self._is_from_peer(request):
            return Code.TUNNEL_DENIED
        state = self.find_upstream(request.target)
        if state is None:
            return Code.TUNNEL_TARGET
        conditions = (
            (state.availability.evacuated, Code.DATA_CENTERS_EVACUATED),
            (self.is_stopping(), Code.DRAINING),
            (self.open_count >= MAX_TUNNELS, Code.TUNNEL_BUSY),
            (self.is_unreachable(request.target), Code.UPSTREAMS_UNREACHABLE),
        )
        return next((code for holds, code in conditions if holds), Code.OK)

    def _is_from_peer(self, request: TunnelRequest) -> bool:
        """Whether the process that a live peer runs made a request, for the first time."""
        peer = self.find_peer(request.instance)
        if peer is None or peer.boot != request.boot:
            return False
        return has_proof(self.key, request, self.boot) and self._use(request)

    def _use(self, request: TunnelRequest) -> bool:
        window = self._windows.setdefault(request.boot, NumberWindow())
        self._windows.move_to_end(request.boot)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return window.use(request.number)

    def record_refused(self, host: str, target: str, code: Code, detail: str) -> None:
        """Log and count a refusal."""
        self.metrics.tunnels_served.inc({"result": code.name})
        self.log.write(TunnelRefused(peer=host, target=target, code=code.name, detail=detail))

    def close(self) -> None:
        """Reset all connections of peers."""
        for end in list(self.ends):
            end.transport.abortConnection()

    def record_open(self, change: int) -> None:
        """Count tunnels that opened or closed."""
        self.open_count += change
        self.metrics.tunnels_open.set({"end": "server"}, self.open_count)
        if change > 0:
            self.metrics.tunnels_served.inc({"result": Code.OK.name})


class PeerEnd(Protocol):
    """The connection of a peer: the head, then the bytes of the tunnel."""

    transport: Any

    def __init__(self, server: TunnelServer) -> None:
        self._server = server
        self._received = b""
        self._connecting: Any = None
        self._upstream: UpstreamEnd | None = None
        self._timer: Any = None
        self._check: Deferred[bool] | None = None
        self._is_framed = False

    def connectionMade(self) -> None:
        """Wait for the head."""
        self._server.ends.add(self)
        # Parts of messages are passed on as they come.
        self.transport.setTcpNoDelay(True)
        self._set_timeout(HEAD_SECONDS)

    def dataReceived(self, data: bytes) -> None:
        """Collect the head, or pass bytes on."""
        if self._upstream is not None:
            self.record_data()
            self._upstream.transport.write(data)
            return
        self._received += data
        head, separator, rest = self._received.partition(HEAD_END)
        if len(head) > MAX_HEAD_BYTES:
            self._refuse("", Code.HEADERS_INVALID, "the head is too long")
        elif rest or (separator and self._connecting is not None):
            # A sender waits for the answer before it sends anything else.
            self._refuse("", Code.HEADERS_INVALID, "data before the answer")
        elif separator:
            self._decide(head)

    def _decide(self, head: bytes) -> None:
        try:
            request = decode_request(head)
        except ValueError as error:
            self._refuse("", Code.HEADERS_INVALID, str(error))
            return
        code = self._server.refusal(request)
        if code is not Code.OK:
            self._refuse(str(request.target), code, request.instance)
            return
        self._is_framed = request.is_framed
        factory: Any = Factory.forProtocol(lambda: UpstreamEnd(self))
        factory.noisy = False
        target = request.target
        self._connecting = self._server.direct.connect(target.host, target.port, factory)
        self._connecting.addCallbacks(self._open, self._on_failure, errbackArgs=(target,))
        self.transport.reactor.callLater(CHECK_AFTER_SECONDS, self._check_links, target)

    def _check_links(self, target: Endpoint) -> None:
        """Check the own links unless the upstream has accepted."""
        if self._check is None and self._upstream is None and self.connected:
            self._check = self._server.reaches_others(target)

    def _open(self, upstream: "UpstreamEnd") -> None:
        self._upstream = upstream
        self._server.record_open(1)
        self._set_timeout(IDLE_SECONDS)
        self.transport.write(encode_answer(Code.OK, self._is_framed))
        self.transport.registerProducer(upstream.transport, True)
        upstream.transport.registerProducer(self.transport, True)

    def _on_failure(self, failure: Any, target: Endpoint) -> None:
        if not self.connected or not failure.check(*CONNECT_ERRORS):
            return
        refused = failure.check(ConnectionRefusedError)
        code = Code.UPSTREAM_REFUSED if refused else Code.UPSTREAM_STALLED
        self._check_links(target)
        assert self._check is not None, "no connection to the upstream"
        self._check.addCallback(self._answer_failure, target, code)

    def _answer_failure(self, reaches_others: bool, target: Endpoint, code: Code) -> None:
        """Blame the upstream only if the own links work."""
        if self.connected:
            code = code if reaches_others else Code.UPSTREAMS_UNREACHABLE
            self._refuse(str(target), code, f"reaches others: {reaches_others}")

    def _refuse(self, target: str, code: Code, detail: str) -> None:
        self._set_timeout(None)
        self._server.record_refused(self.transport.getPeer().host, target, code, detail)
        self.transport.write(encode_answer(code))
        self.transport.loseConnection()

    def _set_timeout(self, seconds: float | None) -> None:
        """Reset the connection if the head does not come, or the tunnel is idle, for so long."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if seconds is not None:
            reactor = self.transport.reactor
            self._timer = reactor.callLater(seconds, self.transport.abortConnection)

    def record_data(self) -> None:
        """Restart the timeout of the tunnel."""
        if self._timer is not None and self._timer.active():
            self._timer.reset(IDLE_SECONDS)

    def send_data(self, data: bytes) -> None:
        """Pass on what the upstream sent."""
        self.record_data()
        if self._is_framed:
            self.transport.writeSequence(encode_data(data))
        else:
            self.transport.write(data)

    def upstream_lost(self, reason: Any) -> None:
        """End the tunnel as the upstream ended its connection: in order, or by a reset."""
        is_closed = reason.check(ConnectionDone) is not None
        self.transport.unregisterProducer()
        if self._is_framed:
            ending = UpstreamEnding.CLOSED if is_closed else UpstreamEnding.RESET
            self.transport.write(encode_end(ending))
            self.transport.loseConnection()
        elif is_closed:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Close the connection to the upstream, which ends its work for the peer."""
        self._server.ends.discard(self)
        self._set_timeout(None)
        if self._upstream is not None:
            upstream, self._upstream = self._upstream, None
            self._server.record_open(-1)
            upstream.close(is_reset=not reason.check(ConnectionDone))
        elif self._connecting is not None:
            self._connecting.cancel()


class UpstreamEnd(Protocol):
    """The connection to the upstream."""

    transport: Any

    def __init__(self, peer: PeerEnd) -> None:
        self._peer: PeerEnd | None = peer

    def connectionMade(self) -> None:
        """See PeerEnd."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        if self._peer is not None:
            self._peer.send_data(data)

    def close(self, is_reset: bool) -> None:
        """Close after the peer did."""
        self._peer = None
        self.transport.unregisterProducer()
        if is_reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Tell the peer."""
        peer, self._peer = self._peer, None
        if peer is not None:
            peer.upstream_lost(reason)


class TunnelFactory(Factory):
    """Creates the protocols of peers' connections."""

    noisy = False

    def __init__(self, server: TunnelServer) -> None:
        self.server = server

    def buildProtocol(self, addr: Any) -> PeerEnd:
        """See IProtocolFactory."""
        return PeerEnd(self.server)
