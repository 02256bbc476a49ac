"""An event loop whose time jumps to the next timer, so that seconds of a fleet play in moments."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the time that a wait would take is added to the loop's clock."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> Any:
        """Report what is ready, or let the time pass."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("every task waits for something that never comes")
            self.loop.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop with a clock of its own; two runs of the same work are alike."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Seconds of this loop's clock."""
        return self.now


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a loop of its own and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
