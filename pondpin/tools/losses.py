"""Where worth was lost: every request of some logs by kind, time and cause."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib
from rich.console import Console

from pondpin.tools.log_story import LogLine
from pondpin.tools.tables import print_rows

matplotlib.use("Agg")
from matplotlib import pyplot

MILLISECONDS = 1000.0
# Share of its worth that a late answer loses (the users' sheets: a quarter to a third is left).
LATE_LOSS = 0.75
# A request is worth this share whatever its size, the rest by its size against its kind's mean,
# up to a multiple of the mean (the users' rules).
FIXED_SHARE = 0.3
MOST_SIZE = 4.0
# Refusals of what the configuration does not allow: nothing is lost by them.
NOT_OWED = ("UNKNOWN_KEY", "UNKNOWN_PATH")
# Lengths of prompts against the mean of their kind that are told apart.
LARGEST_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request; loss is the share of its worth that is gone, 0 to 1.

    kind is its target in ms, which tells the kinds of request apart on any day.
    """

    request: str
    at: float
    kind: int
    tokens: int
    cause: str
    loss: float


@dataclass(frozen=True, slots=True)
class LossRow:
    """Losses of some requests: shares of the worth of all requests."""

    name: str
    requests: int
    worth: float
    lost: float


@dataclass(slots=True)
class _Lines:
    """The lines of one request by event."""

    placed: list[LogLine]
    last: LogLine | None = None


def read_outcomes(lines: Iterable[LogLine]) -> list[Outcome]:
    """The outcome of each request that the lines name, by its arrival."""
    by_request: dict[str, _Lines] = defaultdict(lambda: _Lines([]))
    for line in lines:
        request = line.fields.get("request")
        if not isinstance(request, str):
            continue
        if line.event == "placed":
            by_request[request].placed.append(line)
        elif line.fields.get("code") in NOT_OWED:
            by_request.pop(request, None)
        elif line.event in ("ended", "refused", "caller_gone"):
            by_request[request].last = line
    found = [_judge(name, item) for name, item in by_request.items()]
    return sorted((item for item in found if item is not None), key=lambda item: item.at)


def _judge(request: str, lines: _Lines) -> Outcome | None:
    last = lines.last
    if last is None and not lines.placed:
        return None
    if last is None:
        # Cut off with its instance, or still open when the log ended.
        first = lines.placed[0]
        return Outcome(request, first.time, *_kind_of(first), "instance or log ended", 1.0)
    after = _after_ms(last)
    at = last.time - after / MILLISECONDS
    kind, tokens = _kind_of(last)
    if last.event == "ended":
        cause, loss = _judge_answer(last, lines.placed, kind)
    elif last.event == "refused":
        cause, loss = _judge_refusal(last, lines.placed), 1.0
    else:
        cause, loss = "caller gave up", 1.0
    return Outcome(request, at, kind, tokens, cause, loss)


def _kind_of(line: LogLine) -> tuple[int, int]:
    return int(line.fields.get("target_ms", 0)), int(line.fields.get("prompt_tokens", 0))


def _after_ms(line: LogLine) -> float:
    fields = line.fields
    return float(fields.get("total_ms", fields.get("after_ms", 0)))


def _judge_answer(line: LogLine, placed: Sequence[LogLine], target: int) -> tuple[str, float]:
    fields = line.fields
    if fields.get("status", 200) >= 400:
        return "upstream's own failure", 1.0
    first = fields.get("first_ms", 0)
    pause_target = fields.get("gap_target_ms", 0)
    if target and first > target:
        return _why_late(placed, first, target), LATE_LOSS
    if pause_target and fields.get("longest_gap_ms", 0) > pause_target:
        return "pause", LATE_LOSS
    return "in time", 0.0


def _why_late(placed: Sequence[LogLine], first: int, target: int) -> str:
    """Why a first event came late, by what was known when its request was placed."""
    if len(placed) > 1:
        return "late: second try"
    if not placed:
        return "late: not placed"
    fields = placed[0].fields
    waited = fields.get("waited_ms", 0)
    forecast = fields.get("first_event_ms", 0)
    if waited + forecast <= target:
        return "late: forecast wrong"
    if waited > forecast:
        return "late: waited for engines"
    return "late: engines busy"


def _judge_refusal(line: LogLine, placed: Sequence[LogLine]) -> str:
    code = line.fields.get("code", "")
    return f"{'failed' if placed else 'refused'}: {code}"


def weigh(
    outcomes: Sequence[Outcome], worth_by_kind: Mapping[int, float]
) -> list[tuple[Outcome, float]]:
    """Each outcome with its worth; kinds without a figure count nothing when others have one."""
    usual = 0.0 if worth_by_kind else 1.0
    sums: dict[int, list[int]] = defaultdict(list)
    for item in outcomes:
        sums[item.kind].append(item.tokens)
    mean_by_kind = {kind: sum(tokens) / len(tokens) for kind, tokens in sums.items()}
    weighed = []
    for item in outcomes:
        mean = mean_by_kind[item.kind]
        size = FIXED_SHARE + (1 - FIXED_SHARE) * item.tokens / mean if mean else 1.0
        weighed.append((item, worth_by_kind.get(item.kind, usual) * min(MOST_SIZE, size)))
    return weighed


def split(weighed: Sequence[tuple[Outcome, float]], span: float) -> dict[str, list[LossRow]]:
    """Losses by kind, size, span of seconds, and cause; each sums to the whole loss."""
    begin = min((item.at for item, _ in weighed), default=0.0)
    largest = _largest_by_kind([item for item, _ in weighed])
    names = {
        "kind": lambda item: f"{item.kind} ms",
        "size": lambda item: _size_name(item, largest),
        "span": lambda item: f"{int((item.at - begin) / span) * span:4.0f} s",
        "cause": lambda item: item.cause,
        "kind and cause": lambda item: f"{item.kind} ms, {item.cause}",
    }
    return {name: _rows(weighed, key) for name, key in names.items()}


def _largest_by_kind(outcomes: Sequence[Outcome]) -> dict[int, int]:
    """The length from which a prompt is among the largest tenth of its kind."""
    lengths: dict[int, list[int]] = defaultdict(list)
    for item in outcomes:
        lengths[item.kind].append(item.tokens)
    return {
        kind: sorted(values)[int(LARGEST_SHARE * (len(values) - 1))]
        for kind, values in lengths.items()
    }


def _size_name(item: Outcome, largest: Mapping[int, int]) -> str:
    if not item.tokens:
        return "no prompt"
    part = "largest tenth" if item.tokens >= largest[item.kind] else "the rest"
    return f"{item.kind} ms, {part}"


def _rows(weighed: Sequence[tuple[Outcome, float]], key: Any) -> list[LossRow]:
    whole = sum(worth for _, worth in weighed) or 1.0
    groups: dict[str, list[tuple[Outcome, float]]] = defaultdict(list)
    for item, worth in weighed:
        groups[key(item)].append((item, worth))
    rows = [
        LossRow(
            name,
            len(items),
            sum(worth for _, worth in items) / whole,
            sum(item.loss * worth for item, worth in items) / whole,
        )
        for name, items in groups.items()
    ]
    return sorted(rows, key=lambda row: (-row.lost, row.name))


@dataclass(frozen=True, slots=True)
class ForecastRow:
    """How the forecast of first events fits what came, for requests of one attempt.

    median and ninth are of the error as a share of what came: 50 and 90 in 100 are within.
    """

    kind: str
    requests: int
    median: float
    ninth: float


def forecast_errors(lines: Iterable[LogLine]) -> list[ForecastRow]:
    """Errors of the forecasts of first events, by kind."""
    placed: dict[str, list[LogLine]] = defaultdict(list)
    errors: dict[int, list[float]] = defaultdict(list)
    for line in lines:
        request = str(line.fields.get("request", ""))
        if line.event == "placed" and line.fields.get("first_event_ms"):
            placed[request].append(line)
        elif line.event == "ended" and len(placed[request]) == 1:
            told = placed[request][0].fields
            forecast = told.get("waited_ms", 0) + told["first_event_ms"]
            came = max(1, line.fields.get("first_ms", 0))
            errors[int(line.fields.get("target_ms", 0))].append(abs(forecast - came) / came)
    return [
        ForecastRow(f"{kind} ms", len(found), _share(found, 0.5), _share(found, 0.9))
        for kind, found in sorted(errors.items())
    ]


def _share(values: Sequence[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


def parse_worth(text: str) -> dict[int, float]:
    """Worth by target from a text like 300=1.3,3000=24; raises ValueError for another form."""
    pairs = [part.split("=") for part in str(text).split(",") if part]
    return {int(target): float(worth) for target, worth in pairs}


def show_losses(
    console: Console, tables: Mapping[str, Sequence[LossRow]], errors: Sequence[ForecastRow]
) -> None:
    """Print the tables, shares in percent of the worth of all requests."""
    for name, rows in tables.items():
        shown = [
            {
                name: row.name,
                "requests": row.requests,
                "worth %": round(100 * row.worth, 1),
                "lost %": round(100 * row.lost, 1),
            }
            for row in rows
            if row.lost or name != "kind and cause"
        ]
        print_rows(console, f"Worth lost by {name}", shown)
    shown = [
        {
            "kind": row.kind,
            "requests": row.requests,
            "median error %": round(100 * row.median),
            "nine in ten within %": round(100 * row.ninth),
        }
        for row in errors
    ]
    print_rows(console, "Forecasts of the first event, requests of one attempt", shown)


def plot_losses(tables: Mapping[str, Sequence[LossRow]], path: Path) -> None:
    """Bars of the worth lost in each span of time, and by cause, as a PNG file."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 4.5))
    spans = sorted(tables["span"], key=lambda row: float(row.name.split()[0]))
    left.bar([row.name for row in spans], [100 * row.worth for row in spans], color="lightgray")
    left.bar([row.name for row in spans], [100 * row.lost for row in spans], color="tab:red")
    left.set_ylabel("% of all worth: asked (gray), lost (red)")
    left.set_xlabel("arrival")
    causes = [row for row in tables["cause"] if row.lost][::-1]
    right.barh([row.name for row in causes], [100 * row.lost for row in causes], color="tab:red")
    right.set_xlabel("% of all worth lost")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
