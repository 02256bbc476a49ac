"""The drain of a stopping instance."""

import asyncio
from typing import TYPE_CHECKING

from pondpin.relay.log_events import Stopping
from pondpin.runtime import steady_now

if TYPE_CHECKING:
    from pondpin.relay.entry import RelayEntry

DRAIN_POLL_SECONDS = 0.1
# Open requests are cancelled this long before the process would be killed.
STOP_MARGIN_SECONDS = 0.4


async def drain(entry: "RelayEntry", began_at: float) -> None:
    """Serve open requests until they end, or until just before the process would be killed."""
    entry.caller_server.stopping = True
    entry.gossip.is_stopping = True
    entry.gossip.send_soon()
    grace = entry.settings.limits.grace_seconds
    entry.log.write(Stopping(open_requests=entry.handler.open_requests, grace=grace))
    while steady_now() - began_at < grace - STOP_MARGIN_SECONDS:
        refuses = entry.refuses_new(steady_now())
        if refuses:
            entry.caller_server.close_idle()
        if refuses and not entry.handler.open_requests and not len(entry.caller_server.channels):
            break
        await asyncio.sleep(DRAIN_POLL_SECONDS)
