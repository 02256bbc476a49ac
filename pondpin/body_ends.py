"""How the bodies of responses end."""

import enum
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import UNKNOWN_LENGTH

from pondpin.http_streams import ResponseFault, find_fault


class Framing(enum.StrEnum):
    """How the end of a response's body is marked (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE_DELIMITED = "close_delimited"


class ConnectionEnd(enum.StrEnum):
    """What happened to a response's connection by the end of its body.

    CLOSED: the server closed it in order. PATH_LOST: an intermediary ended it, so the server's own
    end is not known. RESET: any other end.
    """

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    PATH_LOST = "path_lost"


class PathLostError(ConnectionLost):
    """An intermediary ended a connection; how the server ended its own is not known."""


def find_connection_end(reason: Failure | None) -> ConnectionEnd:
    """How a connection ended; reason: as Twisted gives it to the connection's protocol."""
    if reason is None:
        return ConnectionEnd.RESET
    if reason.check(ConnectionDone) is not None:
        return ConnectionEnd.CLOSED
    is_path_lost = reason.check(PathLostError) is not None
    return ConnectionEnd.PATH_LOST if is_path_lost else ConnectionEnd.RESET


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """The end of a body.

    is_framed: whether its length or last chunk proves it complete. fault: the malformed part that
    ended it.
    """

    framing: Framing
    connection: ConnectionEnd
    is_framed: bool
    fault: ResponseFault | None = None

    @property
    def may_be_whole(self) -> bool:
        """Whether it is complete by its framing, or ended with a connection closed in order."""
        is_close_delimited = self.framing is Framing.CLOSE_DELIMITED
        return self.is_framed or (is_close_delimited and self.connection is ConnectionEnd.CLOSED)


BROKEN_OFF = BodyEnd(Framing.CLOSE_DELIMITED, ConnectionEnd.RESET, False)


def describe_body_end(response: Any, reason: Failure | None) -> BodyEnd:
    """Describe the end of a body; reason: as Twisted gives it to the body's protocol."""
    if reason is None:
        return BROKEN_OFF
    connection = getattr(response, "connection_end", ConnectionEnd.OPEN)
    if reason.check(PotentialDataLoss) is not None:
        return BodyEnd(Framing.CLOSE_DELIMITED, connection, False)
    has_length = getattr(response, "length", UNKNOWN_LENGTH) is not UNKNOWN_LENGTH
    framing = Framing.LENGTH if has_length else Framing.CHUNKED
    is_framed = reason.check(ResponseDone) is not None
    return BodyEnd(framing, connection, is_framed, find_fault(reason.value))
