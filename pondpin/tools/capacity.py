"""Prints what each role of a node needs at the target, from slopes that were measured here.

The slopes stand in docs/slopes.json, each with the command that gave it.
"""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from pondpin.runtime import ParsedCommand, run_command
from pondpin.tools.reference import DOCS

SLOPES = DOCS / "slopes.json"


class Slopes(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Measured costs. cpu in microseconds, memory in bytes; commands name what gave them."""

    commands: dict[str, str]
    cpu_us_per_request: float
    cpu_us_per_chunk: float
    resident_idle: float
    bytes_per_stream: float
    poll_cpu_us: float
    poll_bytes: float
    heartbeat_cpu_us: float
    heartbeat_bytes: float
    decision_bytes: float
    decision_cpu_us: float
    token_cpu_us: float
    configuration_bytes: float
    configuration_cpu_us: float
    explain_cpu_us: float


@dataclass(frozen=True, slots=True)
class Target:
    """The size of letter 1."""

    nodes: int = 360
    workers: int = 930
    requests: float = 4300.0
    tokens: float = 1.7e6
    gap: float = 0.061
    accounts: int = 770
    changes_a_day: int = 560
    heartbeats: float = 4.0
    polls_of_all: float = 2.0
    decisions_kept: int = 20_000
    service_share: float = 0.1


@dataclass(frozen=True, slots=True)
class Row:
    """A role's needs on one node: messages and bytes a second, share of a core, memory."""

    role: str
    state: str
    messages: float
    bytes_per_second: float
    cpu: float
    memory: float
    mechanism: str


MICRO = 1e-6
DAY = 86400.0


def make_rows(slopes: Slopes, target: Target) -> list[Row]:
    """The rows of the table."""
    requests = target.requests / target.nodes
    tokens = target.tokens / target.nodes
    streams = tokens * target.gap
    polls = target.workers * target.polls_of_all
    changes = target.changes_a_day / DAY
    calls = requests * target.service_share
    return [
        Row(
            "entry data path",
            f"{streams:.0f} open streams",
            requests,
            0.0,
            (requests * slopes.cpu_us_per_request + tokens * slopes.cpu_us_per_chunk) * MICRO,
            slopes.resident_idle + streams * slopes.bytes_per_stream,
            "filter chain, scheduler; no state shared",
        ),
        Row(
            "membership",
            f"{target.nodes} peers",
            target.heartbeats,
            target.heartbeats * slopes.heartbeat_bytes,
            target.heartbeats * slopes.heartbeat_cpu_us * MICRO,
            target.nodes * 400.0,
            "random heartbeats, fan_out 2 a second, both ways",
        ),
        Row(
            "configuration",
            f"one document, {slopes.configuration_bytes / 1e3:.0f} kB",
            changes,
            changes * slopes.configuration_bytes,
            changes * slopes.configuration_cpu_us * MICRO,
            slopes.configuration_bytes * 6,
            "watch; peers pass on the revision; the body moves when it is newer",
        ),
        Row(
            "load, polled from all workers (today)",
            f"{target.workers} reports",
            polls,
            polls * slopes.poll_bytes,
            polls * slopes.poll_cpu_us * MICRO,
            target.workers * 12e3,
            "does not fit: see below",
        ),
        Row(
            "load, polled from 1/360 of the workers each",
            f"{target.workers} digests",
            target.workers / target.nodes,
            target.workers / target.nodes * slopes.poll_bytes,
            target.workers / target.nodes * slopes.poll_cpu_us * MICRO,
            target.workers * 12e3,
            "not built: reports on the answers' last frames, the rest from peers",
        ),
        Row(
            "tokens and once-only calls",
            "2 bits a token, answers for 600 s",
            calls,
            0.0,
            calls * slopes.token_cpu_us * MICRO,
            calls * 600 * 1000 + calls * DAY / 4,
            "issuer alone runs; forwarded by the other instances",
        ),
        Row(
            "limits",
            f"{target.accounts} accounts",
            0.0,
            0.0,
            0.0,
            target.accounts * 500.0,
            "usage of the 10 busiest rides on heartbeats",
        ),
        Row(
            "decision records",
            f"{target.decisions_kept} records",
            0.0,
            0.0,
            requests * slopes.decision_cpu_us * MICRO,
            target.decisions_kept * slopes.decision_bytes,
            "ring in memory",
        ),
        Row(
            "operators' queries",
            "none",
            0.1,
            0.0,
            0.1 * slopes.explain_cpu_us * MICRO,
            0.0,
            "asked of one instance, which asks the one that the id names",
        ),
    ]


def show_table(rows: list[Row]) -> str:
    """The rows as a Markdown table."""
    lines = [
        "| role | state | messages/s | bytes/s | of a core | memory MB | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.role} | {row.state} | {row.messages:.3g} | {row.bytes_per_second:.0f} |"
            f" {row.cpu:.2%} | {row.memory / 1e6:.1f} | {row.mechanism} |"
        )
    return "\n".join(lines)


def capacity(slopes: str = str(SLOPES)) -> ParsedCommand:
    """Print the table of one node at the target."""

    def start() -> int:
        measured = msgspec.json.decode(Path(slopes).read_bytes(), type=Slopes)
        print(show_table(make_rows(measured, Target())))
        return 0

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(capacity, "capacity")
