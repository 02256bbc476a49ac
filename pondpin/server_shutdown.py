"""Closes a server's connections at the end of its process, after their replies are written."""

import asyncio
from typing import Any, cast

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_server import STOPPING_RETRY_SECONDS, BoundedRequest, WebServer, is_idle

POLL_SECONDS = 0.01


def stopping_error() -> PondpinError:
    """The refusal of a request that was not run, for a retry at another instance."""
    return PondpinError(Code.DRAINING, retry_after=STOPPING_RETRY_SECONDS)


def refuse_incomplete(server: WebServer, error: PondpinError) -> int:
    """Reply to the requests whose bodies are still being received; returns their number."""
    count = 0
    for channel in list(server.channels):
        for request in channel._channel.requests:
            # A request without a buffer is still receiving its head.
            if request.is_receiving_body:
                cast(BoundedRequest, request).refuse(error)
                count += 1
    return count


async def close_connections(server: WebServer, until: float, clock: Clock) -> int:
    """Close connections once their replies are written; abort those left at a given time.

    Returns how many were aborted. A caller that reads slowly gets its reply if it reads it by then,
    and one that has just connected may still send a request, to be refused.
    """
    while True:
        channels = [item for item in list(server.channels) if _is_connected(item)]
        if not channels:
            return 0
        now = server.clock.seconds()
        for channel in channels:
            if _is_done(channel._channel, now):
                # Sends buffered bytes first.
                channel._channel.loseConnection()
        if clock() >= until:
            break
        await asyncio.sleep(POLL_SECONDS)
    server.abort_connections()
    return len(channels)


def _is_done(channel: Any, now: float) -> bool:
    """Whether a connection serves refused requests alone, or is idle."""
    if channel.requests:
        return all(request.refused for request in channel.requests)
    return is_idle(channel, now)


def _is_connected(channel: Any) -> bool:
    transport = channel._channel.transport
    return transport is not None and bool(transport.connected)
