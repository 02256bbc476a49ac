"""Serves the published documents to peers."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from pondpin.clocks import Clock
from pondpin.relay.publication import Publication, pack_bundle
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


class DocumentServer(PeerBase):
    """Answers FetchConfiguration; what relays do not speak is refused as unimplemented."""

    def __init__(self, publication: Publication, clock: Clock) -> None:
        self._publication = publication
        self._clock = clock

    async def FetchConfiguration(
        self, stream: Stream[FetchConfigurationRequest, FetchConfigurationReply]
    ) -> None:
        """Send the list, and the configuration to those that have an older one."""
        request = await stream.recv_message()
        above = request.above_revision if request is not None else 0
        bundle = self._publication.bundle(self._clock(), above)
        reply = FetchConfigurationReply(
            revision=self._publication.revision, document=pack_bundle(bundle)
        )
        await stream.send_message(reply)

    async def Heartbeat(self, stream: Stream[HeartbeatRequest, HeartbeatReply]) -> None:
        """Relays hear of each other by digests."""
        raise GRPCError(Status.UNIMPLEMENTED)

    async def Forward(self, stream: Stream[ForwardRequest, ForwardReply]) -> None:
        """Relays forward no calls."""
        raise GRPCError(Status.UNIMPLEMENTED)

    async def Explain(self, stream: Stream[ExplainRequest, ExplainReply]) -> None:
        """Relays explain by their logs."""
        raise GRPCError(Status.UNIMPLEMENTED)
