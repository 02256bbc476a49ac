"""What an entry instance serves for its peers."""

import weakref
from collections.abc import Awaitable, Callable

import msgspec
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from pondpin.controllers.configuration import ConfigurationStore
from pondpin.controllers.peers import PeerRegistry
from pondpin.decisions import DecisionLog
from pondpin.wire.peer_grpc import PeerBase
from pondpin.wire.peer_pb2 import (
    ExplainReply,
    ExplainRequest,
    FetchConfigurationReply,
    FetchConfigurationRequest,
    ForwardReply,
    ForwardRequest,
    HeartbeatReply,
    HeartbeatRequest,
)

EXPLAIN_LIMIT = 100


class PeerListener(Server):
    """A server whose open connections can be broken, as the death of the process does."""

    def __init__(self, served: PeerBase) -> None:
        super().__init__([served])
        self._open: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._open.add(protocol)
        return protocol

    def cut(self) -> None:
        """Break all connections."""
        self.close()
        for protocol in list(self._open):
            transport = getattr(getattr(protocol, "connection", None), "_transport", None)
            if transport is not None:
                transport.abort()


class PeerServer(PeerBase):
    """Answers heartbeats, and runs forwarded calls that carry this incarnation's tokens."""

    def __init__(
        self,
        book: PeerRegistry,
        store: ConfigurationStore,
        decisions: DecisionLog,
        run_forwarded: Callable[[ForwardRequest], Awaitable[ForwardReply]],
    ) -> None:
        self._book = book
        self._store = store
        self._decisions = decisions
        self._run_forwarded = run_forwarded

    async def Heartbeat(self, stream: Stream[HeartbeatRequest, HeartbeatReply]) -> None:
        """Hear a peer, and tell of oneself."""
        request = await stream.recv_message()
        assert request is not None, "a unary call has a message"
        self._book.apply_heartbeat(request)
        await stream.send_message(HeartbeatReply(peer=self._book.build_heartbeat()))

    async def FetchConfiguration(
        self, stream: Stream[FetchConfigurationRequest, FetchConfigurationReply]
    ) -> None:
        """Send the configuration in force, if it is above the asked revision."""
        request = await stream.recv_message()
        assert request is not None, "a unary call has a message"
        reply = FetchConfigurationReply(revision=self._store.revision)
        if self._store.revision > request.above_revision:
            reply.document = self._store.document
        await stream.send_message(reply)

    async def Forward(self, stream: Stream[ForwardRequest, ForwardReply]) -> None:
        """Run a call that carries a token of this instance."""
        request = await stream.recv_message()
        assert request is not None, "a unary call has a message"
        await stream.send_message(await self._run_forwarded(request))

    async def Explain(self, stream: Stream[ExplainRequest, ExplainReply]) -> None:
        """Send decision records."""
        request = await stream.recv_message()
        assert request is not None, "a unary call has a message"
        limit = min(EXPLAIN_LIMIT, request.limit or EXPLAIN_LIMIT)
        found = self._decisions.find(
            request.request, request.account, request.upstream, request.last_refused, limit
        )
        records = [msgspec.json.encode(decision) for decision in found]
        await stream.send_message(ExplainReply(records=records))
