"""Starts and watches processes on this machine for measurements."""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
STOP_SECONDS = 10.0


@dataclass
class Measured:
    """A process of a measurement."""

    process: "subprocess.Popen[str]"

    def cpu_seconds(self) -> float:
        """Processor time used so far."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        parts = text.rpartition(") ")[2].split()
        return (int(parts[11]) + int(parts[12])) / TICKS

    def resident_bytes(self) -> int:
        """Memory resident now."""
        parts = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(parts[1]) * PAGE

    def wait_ready(self) -> None:
        """Wait for the line that says it is ready."""
        assert self.process.stdout is not None, "started with a pipe"
        for line in self.process.stdout:
            if "ready" in line:
                return
        raise RuntimeError("the process ended before it was ready")

    def stop(self) -> None:
        """Stop it."""
        self.process.terminate()
        try:
            self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def start_module(module: str, *arguments: str) -> Measured:
    """Start 'python -m module'."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return Measured(process)
