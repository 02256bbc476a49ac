"""The base of controllers: a task that runs a step again and again until it is stopped."""

import asyncio
from abc import ABC, abstractmethod

from absl import logging

# A step that ends in the last part of its period skips the next one.
LATEST_SHARE = 0.95


class Controller(ABC):
    """Runs step every period seconds; a fault in a step is logged once in a row and counted."""

    period: float = 1.0

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None
        self._phase: float | None = None
        self.faults = 0
        self._failing = False

    @abstractmethod
    async def step(self) -> None:
        """Do the work of one period."""

    def start(self, phase: float | None = None) -> None:
        """Begin to run.

        phase: steps come at this moment of the loop's clock and whole periods from it. Controllers
        of a process that share it are due together, so that an idle process wakes up once for all.
        """
        self._phase = phase
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop and wait until it has."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def _run(self) -> None:
        while True:
            try:
                await self.step()
                self._failing = False
            except Exception:  # the next period tries again
                self.faults += 1
                if not self._failing:
                    logging.exception("%s failed", type(self).__name__)
                self._failing = True
            await asyncio.sleep(self._rest())

    def _rest(self) -> float:
        """Seconds until the next step."""
        if self._phase is None:
            return self.period
        since = (asyncio.get_running_loop().time() - self._phase) % self.period
        # A step that ended just before its next moment waits for the one after.
        return (
            self.period - since if since < self.period * LATEST_SHARE else 2 * self.period - since
        )
