"""Forecast waits of requests in a queue for slots. Times are in seconds from now."""

import heapq
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

T = TypeVar("T")


def forecast_waits(
    slots: int, free_in: Iterable[float], waiting: Iterable[T], hold: Callable[[T], float]
) -> Iterator[tuple[T, float, Callable[[], None]]]:
    """Each waiting item in order, with its forecast wait and a function that lets it start then.

    free_in: when each occupied slot becomes free; there may be more of them than slots. An item
    whose start isn't applied delays none of those after it.
    """
    ends = sorted(free_in)
    ends = ends[max(0, len(ends) - slots) :]
    ends += [0.0] * (slots - len(ends))
    heapq.heapify(ends)
    for item in waiting:

        def start(item: T = item) -> None:
            heapq.heapreplace(ends, max(0.0, ends[0]) + hold(item))

        yield item, max(0.0, ends[0]), start
