"""Tells what became of a request from the collected logs of all instances."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

REQUEST_KEY = "request"


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log, and what belongs to the time around it."""

    time: float
    instance: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """A request's own lines, and changes of belief on its instances while it was open."""

    request: str
    own: tuple[LogLine, ...]
    around: tuple[LogLine, ...]


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """All lines that are events; a line may carry anything before its JSON object."""
    found = []
    for path in paths:
        for text in path.read_text(errors="replace").splitlines():
            line = parse_line(text)
            if line is not None:
                found.append(line)
    return sorted(found, key=lambda line: line.time)


def parse_line(text: str) -> LogLine | None:
    """One event, None for anything else."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or "event" not in fields or "time" not in fields:
        return None
    event = fields.pop("event")
    return LogLine(fields.pop("time"), fields.pop("instance", ""), event, fields)


def find_story(lines: list[LogLine], request: str, margin: float) -> Story:
    """A request's story; margin is how many seconds before it still count."""
    own = [line for line in lines if line.fields.get(REQUEST_KEY) == request]
    if not own:
        return Story(request, (), ())
    first, last = own[0].time - margin, own[-1].time
    instances = {line.instance for line in own}
    around = [
        line
        for line in lines
        if first <= line.time <= last
        and line.instance in instances
        and REQUEST_KEY not in line.fields
    ]
    return Story(request, tuple(own), tuple(around))


def tell_story(story: Story) -> list[str]:
    """The story in plain sentences, in order of time."""
    if not story.own:
        return [f"no line names {story.request}: it never reached an instance, or lines were lost"]
    begin = story.own[0].time
    lines = sorted((*story.own, *story.around), key=lambda line: line.time)
    return [f"{line.time - begin:+8.3f} s  {line.instance}: {describe(line)}" for line in lines]


def describe(line: LogLine) -> str:
    """One event as a sentence; events without a sentence of their own show their fields."""
    sentence = SENTENCES.get(line.event)
    if sentence is None:
        rest = ", ".join(f"{key} {value}" for key, value in line.fields.items() if key != "steady")
        return f"{line.event}: {rest}"
    return sentence.format_map(_Fields(line.fields))


class _Fields(dict[str, Any]):
    """Fields of a line; those that were left out are zero or empty."""

    def __missing__(self, key: str) -> Any:
        return 0


SENTENCES = {
    "placed": (
        "attempt {attempt} goes to {upstream} ({in_flight} in flight there, {reading_ms} ms of "
        "reading; {candidates} candidates; helpers {helpers}, leases {leases}); first event "
        "forecast in {first_event_ms} ms; version {version}, proved {proof_age_ms} ms ago"
    ),
    "attempt_ended": (
        "attempt {attempt} at {upstream} ended after {after_ms} ms and {events} events: "
        "{result}, {detail}; next: {next} {reason} {path} {response_end}"
    ),
    "upstreams_unreachable": (
        "the own links to upstreams fail: {begins}, for {seconds} s; {failing} of {of} upstreams; "
        "{alive_peers} live peers"
    ),
    "tunnel_failed": "no tunnel through {peer} to {upstream}: {code} {detail}",
    "tunnel_refused": "no tunnel for {peer} to {target}: {code} ({detail})",
    "refused": "refused after {after_ms} ms: {code} ({detail}); come back in {retry_after} s",
    "ended": (
        "answered {status} by {upstream} after {attempts} attempt(s): first byte after "
        "{first_ms} ms, {total_ms} ms in all, {events} events, longest pause {longest_gap_ms} ms "
        "{path} {response_end}"
    ),
    "caller_gone": "the caller closed its connection after {after_ms} ms",
    "upstream_leaving": "{upstream} gets no new work: {source}",
    "upstream_notice": (
        "{upstream} said in its answer {status} to a {answer}: leaves {leaves}, rest {rest} s "
        "{odd}; the list of {list_age} s ago said {list_says}"
    ),
    "upstream_ejected": "{upstream} is left alone for {seconds} s: {reason}",
    "upstream_ended": (
        "a connection to {upstream} after {after_ms} ms: {answer}; requests there: {ran}"
    ),
    "verdict": "request {identity} is {verdict} for {seconds} s; ended under it: {ends}",
    "upstream_asked": (
        "silent {upstream} answers its report: {answers} {reason} "
        "({running} running, {waiting} waiting)"
    ),
    "upstream_back": "{upstream} answers its liveness check again",
    "source": "the published source answers: {answers} ({reason})",
    "peers": "peers heard: {heard}; lost: {lost}; {alive_peers} alive",
    "data_center": "data centre {data_center} silent: {silent}",
    "configuration": (
        "version {version} (epoch {epoch}, revision {revision}) is in force; a newer one was known "
        "of for "
        "{behind_ms} ms"
    ),
    "behind": (
        "peer {peer} has version {version} (epoch {epoch}, revision {revision}), {in_force} is in "
        "force here"
    ),
    "fetched": (
        "{document} (epoch {epoch}, revision {revision}) came from {peer}: {bytes} bytes in "
        "{after_ms} ms"
    ),
    "epoch": (
        "the source was restored: epoch {epoch} after {before}, by {source}; version {version} of "
        "revision {revision} is in force"
    ),
    "left_out": (
        "version {version} (epoch {epoch}, revision {revision}) is not used: {in_force} is in force"
    ),
    "entries_left_out": (
        "the list of epoch {epoch} has {older} older entries and {gone} of upstreams that are gone"
    ),
    "fetch_failed": "{peer} gave nothing within {after_ms} ms: {reason}",
    "source_read": (
        "read configuration revision {revision} at epoch {epoch}, revision {source_revision}: "
        "{bytes} bytes in {after_ms} ms"
    ),
    "source_rewound": (
        "the source went back from revision {before} to {revision}; in force is {in_force}"
    ),
    "unknown_header": "the source sends a header that nothing reads: {name}: {value}",
    "freshness": "keys accepted: {fresh}; the version in force was proved {age} s ago",
    "stopping": "a planned stop begins with {open_requests} open requests",
}
