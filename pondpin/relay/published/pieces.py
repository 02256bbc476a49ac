"""The messages by which instances fetch documents from each other, and the calls that carry them.

They travel as MessagePack over HTTP/1.1, which an instance that relays speaks anyway: a second
protocol with its libraries was a quarter of the time that a start took to load.
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
    """Asks for the next piece of a document.

    kind is a DocumentKind. have is what the asker has: the configuration's revision or the list's
    tag, 0 for nothing. document is the packed document that it has begun, 0 for none, and
    offset how many bytes of it it has. host is where the asker is.

    version is that of the configuration in force, None from releases without epochs; epoch and
    content go with it, content 0 asks for a whole document.
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
    """A piece; document is 0 when the asker has the newest.

    version is the document's revision or tag, size its bytes in all. age_ms is how long ago the
    version was last proved to be the newest, -1 when that isn't known. busy: too many others are
    being served, and nothing was sent. epoch: of the source when a list was read.
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
    """A message as the body of a call or of its answer."""
    return msgspec.msgpack.encode(message)


def decode_request(body: bytes) -> FetchPieceRequest:
    """A request from a body; raises ValueError for anything else."""
    return _REQUEST.decode(body)


class PiecePort(Protocol):
    """Fetches pieces from a peer, by its address; raises PeerUnreachableError."""

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """Read a piece of a document that the peer passes on."""
        ...


class HttpPieceClient:
    """PiecePort over HTTP; a connection that fell silent is dropped with the call."""

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
            raise PeerUnreachableError(f"status {answer.status}")
        try:
            return _REPLY.decode(answer.body)
        except ValueError as error:
            raise PeerUnreachableError(f"no piece: {error}") from None
