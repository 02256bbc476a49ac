"""Sums up what came of questions, by length class, with HdrHistogram percentiles."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from pondpin.codes import Ran
from pondpin.tools.caller import Asked

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
DIGITS = 3
MICRO = 1e6


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles in seconds; count is how many values they are of."""

    count: int
    p50: float
    p95: float
    p99: float
    largest: float


class ClassSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What came of the questions of a length class."""

    asked: int
    whole: int
    in_time: int
    refused: int
    wrong: int
    resumed: int
    first_token: Percentiles
    gap: Percentiles
    total: Percentiles
    by_code: dict[str, int]


def take_percentiles(values: Iterable[float]) -> Percentiles:
    """Percentiles of values in seconds."""
    histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS)
    count = 0
    for value in values:
        histogram.record_value(max(LOWEST_MICROSECONDS, round(value * MICRO)))
        count += 1
    if count == 0:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    p50, p95, p99 = (histogram.get_value_at_percentile(point) / MICRO for point in (50, 95, 99))
    return Percentiles(count, p50, p95, p99, histogram.get_max_value() / MICRO)


def sum_up(asked: Sequence[Asked]) -> ClassSummary:
    """The summary of some questions."""
    codes = Counter(f"{int(item.code)} {item.code.name}" for item in asked)
    return ClassSummary(
        asked=len(asked),
        whole=sum(item.whole for item in asked),
        in_time=sum(item.whole and is_in_time(item) for item in asked),
        refused=sum(item.ran is Ran.NOT_RUN and not item.whole for item in asked),
        wrong=sum(item.wrong for item in asked),
        resumed=sum(item.resumes > 0 for item in asked),
        first_token=take_percentiles(
            item.first_token for item in asked if item.first_token is not None
        ),
        gap=take_percentiles(gap for item in asked for gap in item.gaps),
        total=take_percentiles(item.total for item in asked if item.whole),
        by_code=dict(codes),
    )


def is_in_time(asked: Asked) -> bool:
    """Whether a question ended within its allowed time, if the caller said one."""
    return asked.question.allowed is None or asked.total <= asked.question.allowed


def sum_up_by_class(asked: Iterable[Asked]) -> dict[str, ClassSummary]:
    """A summary for each length class."""
    by_class: dict[str, list[Asked]] = defaultdict(list)
    for item in asked:
        by_class[item.question.length_class].append(item)
    return {name: sum_up(items) for name, items in sorted(by_class.items())}
