"""Ends of replies that must not pass for complete; loaded when one is needed."""

import socket
import struct
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondpin.http_reply import Reply
    from pondpin.http_server import BoundedRequest

# Of SO_LINGER, with the time to linger in seconds: a close resets the connection, or doesn't.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)


def reset_unless_finished(request: "BoundedRequest") -> None:
    """Reset the connection at its close, unless the reply was finished and written.

    Without a length or chunks a closed connection marks the end of a complete body, and the kernel
    closes the connections of a process that ends.
    """
    transport: Any = request.channel.transport
    while (inner := getattr(transport, "transport", None)) is not None:
        transport = inner
    connection = getattr(transport, "socket", None)
    if connection is None or request.responseHeaders.hasHeader("content-length"):
        return
    close = transport._postLoseConnection

    def close_written() -> Any:
        if not request.finished:
            # An orderly close would end the body before it resets the connection.
            transport.abortConnection()
            return None
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        return close()

    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport._postLoseConnection = close_written


def truncate(reply: "Reply", request: "BoundedRequest") -> None:
    """See Reply."""
    is_framed = request.chunked or request.responseHeaders.hasHeader("content-length")
    if not is_framed:
        reply.abort()
    elif not reply.is_closed:
        reply.is_closed = True
        channel: Any = request.channel
        channel.loseConnection()
