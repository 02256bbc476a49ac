"""Messages and client for fetching documents from peers, piece by piece.

Messages are MessagePack over HTTP/1.1, which an instance uses anyway for relaying: loading the
libraries of a second protocol took a quarter of the start-up time.
"""

from typing import Protocol

import msgspec

from pondpin.errors import PeerUnreachableError
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.metrics import Metrics

CONTENT_TYPE = "application/msgpack"
HTTP_OK = 200


class FetchPieceRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the next piece of a document.

    kind is a DocumentKind. known is the requester's revision of the configuration or tag of the
    list, 0 for none. packed_id is the packed document whose transfer it has begun, 0 for none, and
    offset the number of bytes received of it. host is the requester's address.

    version, epoch and content are those of its configuration in force. version is None from
    releases without epochs; content 0 requests a whole document.
    """

    kind: int
    known: int = 0
    packed_id: int = 0
    offset: int = 0
    host: str = ""
    version: int | None = None
    epoch: int = 0
    content: int = 0


class FetchPieceReply(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a packed document; packed_id is 0 if none is sent.

    version is the document's revision or tag, size its total bytes. age_ms is the time since the
    version was last proved to be the newest, -1 if unknown. busy means that too many others are
    being served; otherwise a reply without a piece means that the requester has the newest
    document. epoch is the source's when the list was read.
    """

    version: int = 0
    packed_id: int = 0
    size: int = 0
    piece: bytes = b""
    age_ms: int = 0
    busy: bool = False
    epoch: int = 0


_REQUEST = msgspec.msgpack.Decoder(FetchPieceRequest)
_REPLY = msgspec.msgpack.Decoder(FetchPieceReply)


def encode_message(message: FetchPieceRequest | FetchPieceReply) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_request(body: bytes) -> FetchPieceRequest:
    """Decode a request; raises ValueError for an invalid body."""
    return _REQUEST.decode(body)


class PiecePort(Protocol):
    """Fetches pieces from peers by address; raises PeerUnreachableError."""

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """Fetch a piece."""
        ...


class HttpPieceClient:
    """PiecePort over HTTP; a call that times out closes its connection."""

    def __init__(self, http: HttpClient, metrics: Metrics, path: str) -> None:
        self._http = http
        self._metrics = metrics
        self._path = path

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """See PiecePort."""
        url = f"http://{address}{self._path}"
        body = encode_message(request)
        headers = {"content-type": CONTENT_TYPE}
        try:
            answer = await self._http.call("POST", url, headers, body, timeout)
        except CallFailedError as error:
            raise PeerUnreachableError(str(error)) from None
        self._metrics.peer_bytes.add({"direction": "out"}, len(body))
        self._metrics.peer_bytes.add({"direction": "in"}, len(answer.body))
        if answer.status != HTTP_OK:
            raise PeerUnreachableError(f"HTTP status {answer.status}")
        try:
            return _REPLY.decode(answer.body)
        except ValueError as error:
            raise PeerUnreachableError(f"invalid reply: {error}") from None
