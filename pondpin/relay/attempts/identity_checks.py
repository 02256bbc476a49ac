"""Asks upstreams which life answers, after responses that only their connections ended.

An orderly close proves nothing: the kernel closes the connections of a process that was killed,
and whoever accepts connections at the address afterwards may be another process.
"""

import asyncio
from collections.abc import Awaitable, Callable

from pondpin.relay.response_ends import Identity
from pondpin.relay.upstreams.state import UpstreamState

# Responses that end within this time share a check: a process that ends closes its connections
# one after the other.
CHECK_BATCH_SECONDS = 0.005
# A process that ends in order may answer for some ms after it has closed the connections of its
# responses. Together with a round trip, callers wait less than 0.1 s for the end of a response.
SETTLE_SECONDS = 0.06


class IdentityChecks:
    """Checks of identity, shared by responses that ended some time before they are sent."""

    def __init__(self, ask: Callable[[UpstreamState, str], Awaitable[Identity]]) -> None:
        self._ask = ask
        self._pending_by_life: dict[int, asyncio.Task[Identity]] = {}

    async def check(self, state: UpstreamState, path: str, seconds: float) -> Identity:
        """Ask which life answers at an upstream's address after a moment.

        path: of its liveness checks. seconds: the longest wait for the answer.
        """
        task = self._pending_by_life.get(state.life)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._ask_soon(state, path))
            self._pending_by_life[state.life] = task
        await asyncio.wait((task,), timeout=seconds)
        return task.result() if task.done() else Identity.NO_ANSWER

    async def _ask_soon(self, state: UpstreamState, path: str) -> Identity:
        await asyncio.sleep(CHECK_BATCH_SECONDS)
        del self._pending_by_life[state.life]
        await asyncio.sleep(SETTLE_SECONDS)
        return await self._ask(state, path)
