"""Measures the processor time and memory of single parts of an instance, in this process."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable

from pondpin.call_tokens import CallToken, read_token, sign_token
from pondpin.clocks import Clock
from pondpin.codes import Ran
from pondpin.configuration import decode_configuration
from pondpin.decisions import Candidate, Decision, DecisionLog, Ended, Placed
from pondpin.once import KeptAnswer, OnceTable
from pondpin.runtime import ParsedCommand, run_command
from pondpin.signing import make_signer
from pondpin.tools.measure_peers import make_document

ROUNDS = 2000
MICRO = 1e6
RECORDS = 5000


def time_of(work: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Processor microseconds of one run of some work."""
    started = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started) / rounds * MICRO


def make_decision(number: int, rng: random.Random) -> Decision:
    """A record as a usual request leaves it."""
    candidates = tuple(
        Candidate(f"engine-{index}", rng.random(), rng.random(), rng.random(), True)
        for index in range(6)
    )
    return Decision(
        request=f"entry-a1.dna8mxdqczcr.{number}",
        instance="entry-a1",
        account="account-001",
        length_class="short",
        model="assistant",
        prompt_tokens=1200,
        rule="short",
        revision=7,
        arrived=rng.random(),
        events=[
            Placed(rng.random(), ("engine-1",), "predicted", candidates),
            Ended(rng.random(), 0, "OK", "", "ran"),
        ],
    )


def measure_decisions() -> tuple[float, float]:
    """Bytes and microseconds of one record."""
    rng = random.Random(1)
    log = DecisionLog(RECORDS)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(RECORDS):
        log.add(make_decision(number, rng))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / RECORDS, time_of(lambda: log.add(make_decision(1, rng)))


def measure_tokens(clock: Clock) -> float:
    """Microseconds of issuing, reading, spending and keeping one token."""
    signer = make_signer("k" * 32, ())
    table = OnceTable(600.0)
    kept = KeptAnswer(200, "application/json", b"{}", Ran.RAN, 0.0)

    def once() -> None:
        number = table.issue()
        text = sign_token(signer, CallToken("entry-a1", 123456789, number, "a", 1, 1))
        token = read_token(signer, text)
        table.begin(token.sequence)
        table.finish(token.sequence, kept)
        table.forget_old(clock())

    return time_of(once)


def parts() -> ParsedCommand:
    """Print the measurements as JSON."""

    def start() -> int:
        document = make_document()
        record_bytes, record_us = measure_decisions()
        result = {
            "decision_bytes": record_bytes,
            "decision_cpu_us": record_us,
            "token_cpu_us": measure_tokens(time.monotonic),
            "configuration_bytes": len(document),
            "configuration_cpu_us": time_of(lambda: decode_configuration(document, "x"), 5),
        }
        print(json.dumps(result, indent=2))
        return 0

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(parts, "measure_parts")
