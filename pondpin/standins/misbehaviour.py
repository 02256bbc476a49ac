"""What only stand-ins do to a connection: bytes outside any answer, closes and resets."""

import asyncio

from pondpin.http_reply import Reply

ABORT_SECONDS = 0.05


def write_raw(reply: Reply, data: bytes) -> None:
    """Write bytes outside any answer."""
    if reply.channel is not None:
        reply.channel.write(data)


def close_raw(reply: Reply) -> None:
    """Close the connection after what was written."""
    reply.is_closed = True
    if reply.channel is not None:
        reply.channel.loseConnection()


def abort_after_write(reply: Reply) -> None:
    """Reset the connection once what was written could leave."""
    asyncio.get_running_loop().call_later(ABORT_SECONDS, reply.abort)
