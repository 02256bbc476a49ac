"""What a worker said in its answers, and which requests reached it all the same.

A request is told apart by its sender, the instance that sent it. Times are in seconds of any clock
that is the same for all that is noted.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from pondpin.standins.faults import Faults

# What is sent in this time may have been on its way when a worker asked for rest.
ON_ITS_WAY_SECONDS = 0.5
# So many requests may reach a worker in a rest after that.
MOST_IN_REST = 2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request from a sender; rest is what the answer asked of it, in seconds, and limit the
    requests a second of all senders that it named, None for none. silent: it got no head that can
    be believed, so its sender was told nothing.
    """

    sender: str
    at: float
    leaves: bool = False
    rest: float = 0.0
    limit: float | None = None
    silent: bool = False


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time in which a worker is cold and bears so many requests a second."""

    begin: float
    end: float


@dataclass
class Wishes:
    """All that reached one worker; others: when liveness checks, reports and renewals came.

    cold_spans: when it was cold.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    others: list[float] = field(default_factory=list)
    cold_spans: list[ColdSpan] = field(default_factory=list)

    def cold_seconds_left(self, now: float) -> float:
        """How long the worker is still cold."""
        return max(0.0, *(span.end - now for span in self.cold_spans), 0.0)

    def note(
        self,
        sender: str,
        at: float,
        leaves: bool,
        rest: float = 0.0,
        limit: float | None = None,
        silent: bool = False,
    ) -> None:
        """A request came and was answered at once, or its answer has begun, unless it is silent."""
        self.arrivals.append(Arrival(sender, at, leaves, rest, limit, silent))

    def late(self, seconds: float) -> int:
        """Requests that came later than so many seconds after their sender was told of leaving."""
        told_at: dict[str, float] = {}
        found = 0
        for item in sorted(self.arrivals, key=lambda arrival: arrival.at):
            known = told_at.get(item.sender)
            found += known is not None and item.at > known + seconds
            if item.leaves:
                told_at.setdefault(item.sender, item.at)
        return found

    def in_rests(self) -> list[int]:
        """For each rest that was asked, the requests that its sender sent in it all the same."""
        by_sender: dict[str, list[Arrival]] = {}
        for item in self.arrivals:
            by_sender.setdefault(item.sender, []).append(item)
        return [
            sum(asked.at + ON_ITS_WAY_SECONDS < item.at < asked.at + asked.rest for item in items)
            for items in by_sender.values()
            for asked in items
            if asked.rest > 0
        ]


def worst_rest(workers: Iterable[Wishes]) -> int:
    """The most requests in one rest."""
    return max((count for wishes in workers for count in wishes.in_rests()), default=0)


def windows_over(workers: Iterable[Wishes]) -> int:
    """Rests in which more came than may."""
    return sum(count > MOST_IN_REST for wishes in workers for count in wishes.in_rests())


def count_by_sender(wishes: Wishes) -> Counter[str]:
    """Requests by who sent them."""
    return Counter(item.sender for item in wishes.arrivals)


def wish_of(faults: Faults) -> tuple[bool, float, float | None]:
    """Whether answers say that a stand-in leaves, the seconds of rest that they ask for, and the
    limit that they name.
    """
    limit = float(faults.limit) if faults.limit else None
    return faults.says_leaving, float(faults.rest or 0), limit
