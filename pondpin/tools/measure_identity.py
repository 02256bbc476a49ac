"""Measures what the identity of a request costs, in microseconds by the size of its body."""

import time

from pondpin.request_identity import derive_key, identify
from pondpin.runtime import ParsedCommand, run_command

SIZES = (256, 4096, 65_536)
ROUNDS = 2000
MICROSECONDS = 1e6


def measure() -> ParsedCommand:
    """Print a line for each size."""

    def start() -> int:
        key = derive_key("a setting")
        for size in SIZES:
            body = b"x" * size
            began = time.perf_counter()
            for _ in range(ROUNDS):
                identify(key, "account", "host.example", b"/path/x?y=1", body)
            seconds = (time.perf_counter() - began) / ROUNDS
            print(f"{size} bytes: {seconds * MICROSECONDS:.1f} us")
        return 0

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(measure, "measure_identity")
