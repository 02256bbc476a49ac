"""What callers and workers saw, and which promises it breaks."""

import re
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

NOT_RUN = (408, 421, 429, 503)
OK = 200
# What the client took for whole lacks nothing that its upstream had still to write.
COMPLETE = "a complete response lacks nothing"
# Left out of the log line while it is 0.
UNANSWERED = re.compile(rb'"unanswered":([1-9][0-9]*)')


@dataclass(frozen=True, slots=True)
class Seen:
    """How one attempt ended for its caller; status 0 is no whole answer.

    key_ended: the key was taken away longer ago than its bound when the request was sent.
    """

    attempt: str
    route: str
    status: int
    body: bytes
    key_ended: bool


@dataclass
class Findings:
    """Broken promises, each with the attempt it was seen at."""

    lines: list[str] = field(default_factory=list)

    def add(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.lines.append(f"{promise}: {detail}")


def check_attempts(
    seen: list[Seen], runs: Mapping[str, int], events: int, findings: Findings
) -> None:
    """Check each attempt's answer against what ran."""
    sent = {item.attempt for item in seen}
    for attempt in runs.keys() - sent:
        findings.add("a worker ran what nobody sent", attempt)
    for item in seen:
        ran = runs.get(item.attempt, 0)
        if item.route == "once" and ran > 1:
            findings.add("at most once", f"{item.attempt} ran {ran} times")
        if item.route == "once" and item.status in NOT_RUN and ran:
            findings.add("a 'not run' is true", f"{item.attempt} got {item.status} and ran")
        if item.key_ended and ran:
            findings.add("a key that was taken away runs nothing", item.attempt)
        if item.status == OK:
            _check_success(item, ran, events, findings)


def _check_success(item: Seen, ran: int, events: int, findings: Findings) -> None:
    if not ran:
        findings.add("a success ran", item.attempt)
    if item.route == "stream":
        expected = stream_body(events)
        if item.body != expected and expected.startswith(item.body):
            findings.add(COMPLETE, f"{item.attempt}: {item.body[-80:]!r}")
        elif item.body != expected:
            findings.add("a stream is whole and in order", f"{item.attempt}: {item.body[-80:]!r}")
        return
    expected = f" answers {item.attempt}".encode()
    if item.body.endswith(expected):
        return
    if (item.body.partition(b" ")[0] + expected).startswith(item.body):
        findings.add(COMPLETE, f"{item.attempt}: {item.body!r}")
    else:
        findings.add("an answer belongs to its request", f"{item.attempt}: {item.body[:80]!r}")


def check_stops(logs: Iterable[Path], findings: Findings) -> None:
    """Check that each instance that stopped had answered all requests that it had read."""
    for path in logs:
        for line in path.read_bytes().splitlines():
            if b'"stopped"' in line and (found := UNANSWERED.search(line)) is not None:
                findings.add("a stop leaves no request unanswered", f"{path.name}: {found[1]!r}")


def stream_body(events: int) -> bytes:
    """The whole stream as the workers write it."""
    return b"".join(f"id: {i}\ndata: piece {i}\n\n".encode() for i in range(1, events + 1))


def count_statuses(seen: list[Seen]) -> dict[str, int]:
    """How many attempts ended how, by route and status."""
    return dict(sorted(Counter(f"{item.route} {item.status}" for item in seen).items()))
