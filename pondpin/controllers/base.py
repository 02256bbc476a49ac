"""The base class of controllers: a task that runs a step periodically until stopped."""

import asyncio
from abc import ABC, abstractmethod

from absl import logging

# A step that ends after this share of its period skips the next one.
SKIP_SHARE = 0.95


class Controller(ABC):
    """Runs step every period seconds; counts failed steps, and logs the first of a series."""

    period: float = 1.0

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None
        self._phase: float | None = None
        self.failures = 0
        self._failing = False

    @abstractmethod
    async def step(self) -> None:
        """Do the work of one period."""

    def start(self, phase: float | None = None) -> None:
        """Start the task.

        phase: time of the loop's clock that steps are aligned to, in whole periods. Controllers
        that share a phase run together, so that an idle process wakes up once for all of them.
        """
        self._phase = phase
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
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
            except Exception:  # retried in the next period
                self.failures += 1
                if not self._failing:
                    logging.exception("%s failed", type(self).__name__)
                self._failing = True
            await asyncio.sleep(self._delay())

    def _delay(self) -> float:
        """Seconds until the next step."""
        if self._phase is None:
            return self.period
        elapsed = (asyncio.get_running_loop().time() - self._phase) % self.period
        return (
            self.period - elapsed
            if elapsed < self.period * SKIP_SHARE
            else 2 * self.period - elapsed
        )
