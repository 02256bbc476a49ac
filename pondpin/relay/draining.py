"""The drain of a stopping instance, and the end of its callers' connections."""

import asyncio
from typing import TYPE_CHECKING

from pondpin.relay.attempts.shutdown import end_requests, refuse_waiting
from pondpin.relay.log_events import Stopped, Stopping
from pondpin.runtime import steady_now
from pondpin.server_shutdown import close_connections, refuse_incomplete, stopping_error

if TYPE_CHECKING:
    from pondpin.relay.entry import RelayEntry

# Waiting requests are reviewed this often: forecasts change as others end.
DRAIN_POLL_SECONDS = 0.1
# Open requests are ended this long before the process would be killed.
STOP_MARGIN_SECONDS = 0.4
# Callers may read replies for this part of it; the rest is for leases, logs and the exit.
FLUSH_SECONDS = 0.25


async def drain(entry: "RelayEntry", began_at: float) -> None:
    """Serve open requests until they end, or until just before the process would be killed.

    Waiting requests that can't be answered by then are refused as soon as that is known, while
    their callers have time left for another instance.
    """
    entry.caller_server.stopping = True
    entry.gossip.is_stopping = True
    entry.gossip.send_soon()
    grace = entry.settings.limits.grace_seconds
    ends_at = entry.drain_ends_at = began_at + grace - STOP_MARGIN_SECONDS
    entry.log.write(Stopping(open_requests=entry.handler.open_requests, grace=grace))
    while (now := steady_now()) < ends_at:
        refuse_waiting(entry.handler, ends_at, now)
        refuses = entry.refuses_new(now)
        if refuses:
            # Refused in any case once they are complete.
            refuse_incomplete(entry.caller_server, stopping_error())
            entry.caller_server.close_idle()
        if refuses and not entry.handler.open_requests and not len(entry.caller_server.channels):
            break
        await asyncio.sleep(min(DRAIN_POLL_SECONDS, ends_at - now))


async def end_connections(entry: "RelayEntry") -> Stopped:
    """End open requests with a reply, and close the callers' connections once it is written."""
    server = entry.caller_server
    open_requests = entry.handler.open_requests
    server.stopping = True
    # From now on, completed requests are refused.
    now = steady_now()
    entry.stopping_at = now if entry.stopping_at is None else entry.stopping_at
    entry.drain_ends_at = now if entry.drain_ends_at is None else min(now, entry.drain_ends_at)
    refuse_incomplete(server, stopping_error())
    await end_requests(entry.handler)
    # Replies are sent by the tasks of the server, which run until now.
    await asyncio.sleep(0)
    unanswered = len(server.tasks)
    for task in list(server.tasks):
        task.cancel()
    await asyncio.gather(*server.tasks, return_exceptions=True)
    unread = await close_connections(server, now + FLUSH_SECONDS, steady_now)
    return Stopped(open_requests=open_requests, unanswered=unanswered, unread=unread)
