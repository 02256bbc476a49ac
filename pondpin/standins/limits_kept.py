"""How far the requests that reached a worker went over the limits that it named, and how many
reached a cold one in a second.

Two bounds: what pondpin aims at, of all instances, and what the users allow, of those that had
passed on such an answer. Times are in seconds, limits in requests a second.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from pondpin.standins.wishes import Arrival, Wishes

WINDOW_SECONDS = 4.0
COLD_WINDOW_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Bound:
    """In some window: share of what the limit allows, and so many requests that are free.

    first and fall: seconds after the first word, and after a lower one, in which it need not be
    kept to yet. told: seconds since an instance passed such an answer on, after which it counts,
    None when all count.
    """

    share: float
    free: float
    first: float
    fall: float
    told: float | None = None


AIM = Bound(1.25, 3.0, 1.5, 1.0)
USERS_BOUND = Bound(1.5, 5.0, 3.0, 1.0, 0.5)


@dataclass(frozen=True, slots=True)
class _Span:
    """A limit that may be asked to be kept from a moment on, None for none."""

    begin: float
    limit: float | None


def most_over(
    wishes: Wishes,
    bound: Bound,
    is_excused: Callable[[float, float], bool] = lambda begin, end: False,
) -> float:
    """The most requests in a window beyond the bound; 0 or less where it was kept to.

    What is no request, liveness checks and the like, counts as one. is_excused: windows in which
    requests may have come later than they were sent.
    """
    spans = _spans(wishes.arrivals, bound)
    arrivals = sorted([item.at for item in _counted(wishes.arrivals, bound)] + wishes.others)
    worst = float("-inf")
    first = 0
    for place, at in enumerate(arrivals):
        while arrivals[first] <= at - WINDOW_SECONDS:
            first += 1
        allowed = _allowed(spans, at - WINDOW_SECONDS, at)
        if allowed is not None and not is_excused(at - WINDOW_SECONDS, at):
            over = place - first + 1 - (bound.share * allowed + bound.free)
            worst = max(worst, over)
    return worst


def worst_over(workers: Iterable[Wishes], bound: Bound = AIM) -> float:
    """As most_over, of the worst of some workers."""
    return max((most_over(wishes, bound) for wishes in workers), default=float("-inf"))


def _counted(arrivals: Iterable[Arrival], bound: Bound) -> Iterable[Arrival]:
    told_at: dict[str, float] = {}
    for item in sorted(arrivals, key=lambda arrival: arrival.at):
        since = told_at.get(item.sender)
        if bound.told is None or (since is not None and item.at >= since + bound.told):
            yield item
        if item.limit is not None and not item.silent:
            told_at.setdefault(item.sender, item.at)


def _spans(arrivals: Iterable[Arrival], bound: Bound) -> list[_Span]:
    """The limits by when they must be kept to: a first or a lower one a while after it was named,
    a higher one or none at once.
    """
    spans: list[_Span] = []
    limit: float | None = None
    for item in sorted(arrivals, key=lambda arrival: arrival.at):
        if item.silent or item.limit == limit:
            continue
        is_first, is_fall = limit is None, item.limit is not None and limit is not None
        wait = bound.first if is_first else 0.0
        if is_fall and item.limit is not None and limit is not None and item.limit < limit:
            wait = bound.fall
        spans = [span for span in spans if span.begin <= item.at + wait]
        spans.append(_Span(item.at + wait, item.limit))
        limit = item.limit
    return spans


def _allowed(spans: Sequence[_Span], begin: float, end: float) -> float | None:
    """What the limits of a window add up to, None when none held for a part of it."""
    total = 0.0
    held = [span for span in spans if span.begin <= begin]
    inside = [span for span in spans if begin < span.begin < end]
    if not held:
        return None
    for span, following in zip([held[-1], *inside], [*inside, None], strict=True):
        if span.limit is None:
            return None
        until = end if following is None else following.begin
        total += (until - max(begin, span.begin)) * span.limit
    return total


def most_while_cold(wishes: Wishes) -> int:
    """The most requests that reached a cold worker in a second; checks and the like not counted."""
    worst = 0
    for span in wishes.cold_spans:
        times = sorted(item.at for item in wishes.arrivals if span.begin <= item.at < span.end)
        first = 0
        for place, at in enumerate(times):
            while times[first] <= at - COLD_WINDOW_SECONDS:
                first += 1
            worst = max(worst, place - first + 1)
    return worst


def used_share(wishes: Wishes, begin: float, end: float) -> float:
    """The requests that came between two moments as a share of what the limits allowed."""
    spans = _spans(wishes.arrivals, Bound(1.0, 0.0, 0.0, 0.0))
    allowed = _allowed(spans, begin, end)
    came = sum(begin < item.at <= end for item in wishes.arrivals)
    return came / allowed if allowed else 0.0
