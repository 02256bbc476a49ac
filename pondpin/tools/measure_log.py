"""Measures the processor time of a relayed request's usual log lines."""

import os
import time

import fire

from pondpin.relay.log import EventLog
from pondpin.relay.log_events import Ended, Placed

ROUNDS = 20_000
# Lines a second that a log lets through: the clock moves on before the bound is met.
LINES_PER_SECOND = 100
MICRO = 1e6


class _Clock:
    """Moves on so that no line is left out."""

    def __init__(self) -> None:
        self.lines = 0

    def __call__(self) -> float:
        return self.lines / LINES_PER_SECOND


def line_seconds(rounds: int) -> float:
    """Mean processor time in seconds of the two lines of a request that went well."""
    clock = _Clock()
    log = EventLog("instance-1", clock, time.time, os.open(os.devnull, os.O_WRONLY))
    began = time.process_time()
    for number in range(rounds):
        clock.lines += 2
        request = f"{number:016x}"
        log.write(
            Placed(
                request=request,
                attempt=1,
                route="stream",
                version=7,
                proof_age_ms=300,
                upstream="upstream-1",
                in_flight=3,
                reading_ms=20,
                candidates=18,
                prompt_tokens=5000,
            )
        )
        log.write(
            Ended(
                request=request,
                route="stream",
                status=200,
                upstream="upstream-1",
                attempts=1,
                first_ms=90,
                total_ms=1500,
                events=30,
            )
        )
        log.flush()
    assert not log.dropped, "the measured lines were written"
    return (time.process_time() - began) / rounds


def main(rounds: int = ROUNDS) -> None:
    """Print the microseconds."""
    print(f"{line_seconds(rounds) * MICRO:.1f} us for the lines of a request")


if __name__ == "__main__":
    fire.Fire(main)
