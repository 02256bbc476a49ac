"""Starts, signals and ends the soak's processes; only those that it started, by their ids."""

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

STOP_SECONDS = 12.0


class Managed:
    """One program that may be started again and again."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.expected_end = False
        self.paused = False
        self._is_over = False
        self.started_at = 0.0

    def start(self) -> None:
        """Start it, unless it runs or was stopped for good: a fault's timer may still bring it
        back when its soak has been ended.
        """
        if self.is_running or self._is_over:
            return
        self.expected_end = False
        self.paused = False
        self.started_at = time.monotonic()
        self.starts += 1
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments], stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether it runs, perhaps paused."""
        return self._process is not None and self._process.poll() is None

    def is_up(self, seconds: float) -> bool:
        """Whether it has run for some seconds and is not paused."""
        if not self.is_running or self.paused:
            return False
        return time.monotonic() - self.started_at >= seconds

    @property
    def crashed(self) -> bool:
        """Whether it ended though nobody told it to."""
        return self._process is not None and not self.is_running and not self.expected_end

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process if it runs."""
        if self._process is None or not self.is_running:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_end = True
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.paused = number is signal.SIGSTOP
        self._process.send_signal(number)

    async def end(self) -> None:
        """Stop it for good."""
        self._is_over = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        waited = 0.0
        while self.is_running and waited < STOP_SECONDS:
            await asyncio.sleep(0.1)
            waited += 0.1
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
