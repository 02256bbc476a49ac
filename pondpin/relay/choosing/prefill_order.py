"""Order of queued long prompts by due time, rank, account and length.

Earliest due first. When not all can be on time, less urgent ranks give way first, within a rank
prompts above their account's max-min fair share, then the longest. Prompts that are kept for their
rank's floor go before all ranks. All engines are modelled as one machine.
"""

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Engine time per prompt besides its prefill: the pass in progress and the first token.
OVERHEAD_SECONDS = 0.08
# Part of the engines' time that an order by shares counts on. Waits for parts leave about a quarter
# idle; with all of it, urgent prompts were late behind less urgent ones that were due earlier.
USABLE_SHARE = 0.85
# Keys of prompts are random numbers of this many bits.
KEY_BITS = 31


@dataclass(frozen=True, slots=True)
class QueuedPrompt:
    """prefill_seconds: on one engine; due_at: when its first event is due, by the local clock.

    rank: 0 is the most urgent. account: hash of the client account. is_kept: gives way last, for
    the floor of its rank.
    """

    key: int
    prefill_seconds: float
    due_at: float
    rank: int = 0
    account: int = 0
    is_kept: bool = False


@dataclass(frozen=True, slots=True)
class DispatchOrder:
    """Queued prompts in sending order: those that can be on time, then the others."""

    on_time: list[QueuedPrompt]
    late: list[QueuedPrompt]

    @property
    def all(self) -> list[QueuedPrompt]:
        """All prompts in sending order."""
        return self.on_time + self.late

    @property
    def first(self) -> QueuedPrompt | None:
        """The prompt to send next."""
        return next(iter(self.on_time or self.late), None)


def service_seconds(prompt: QueuedPrompt, engines: float) -> float:
    """Time that a prompt takes of all engines together."""
    return prompt.prefill_seconds / max(1.0, engines) + OVERHEAD_SECONDS


def order_by_length(prompts: Iterable[QueuedPrompt], now: float, engines: float) -> DispatchOrder:
    """Order prompts, the longest giving way, whatever its rank and account.

    This minimises the number of late prompts (Moore-Hodgson). Late ones go shortest first.
    """
    on_time, late = _admit((), prompts, now, engines)
    return DispatchOrder(on_time, sorted(late, key=lambda item: (item.prefill_seconds, item.key)))


def has_shares(prompts: Iterable[QueuedPrompt]) -> bool:
    """Whether prompts are of several ranks or accounts."""
    return len({(item.rank, item.account) for item in prompts}) > 1


def order_by_share(prompts: Collection[QueuedPrompt], now: float, engines: int) -> DispatchOrder:
    """Order prompts, less urgent ranks giving way first, then accounts over their fair share.

    With one rank and one account, the same as `order_by_length`.
    """
    if not has_shares(prompts):
        return order_by_length(prompts, now, engines)
    usable = USABLE_SHARE * engines
    plain = order_by_length(prompts, now, usable)
    if not plain.late:
        return plain
    ranks = sorted({item.rank for item in prompts})
    levels = [[item for item in prompts if item.rank == rank] for rank in ranks]
    if len(levels) > 1:
        kept = [item for item in prompts if item.is_kept]
        levels = [kept, *([item for item in level if not item.is_kept] for level in levels)]
    on_time: list[QueuedPrompt] = []
    over: set[int] = set()
    for level in levels:
        on_time = _admit_level(on_time, level, now, usable, over)
    admitted = {item.key for item in on_time}
    late = [item for item in prompts if item.key not in admitted]
    late.sort(key=lambda item: (item.rank, item.key in over, item.prefill_seconds, item.key))
    return DispatchOrder(on_time, late)


def _admit_level(
    kept: list[QueuedPrompt],
    level: list[QueuedPrompt],
    now: float,
    engines: float,
    over: set[int],
) -> list[QueuedPrompt]:
    """Add what can be on time of a level; over: receives keys above their account's share."""
    on_time, late = _admit(kept, level, now, engines)
    by_account: defaultdict[int, list[QueuedPrompt]] = defaultdict(list)
    for prompt in level:
        by_account[prompt.account].append(prompt)
    if not late or len(by_account) < 2:
        return on_time
    room = _seconds(on_time) - _seconds(kept)
    share = max_min_share([_seconds(item) for item in by_account.values()], room)
    # In this order, so that an account under its share loses nothing to the others. Each account's
    # first prompt comes first too: one that is longer than the share would never have a turn.
    under: list[QueuedPrompt] = []
    within: list[QueuedPrompt] = []
    beyond: list[QueuedPrompt] = []
    for own in by_account.values():
        is_under = _seconds(own) <= share
        used = 0.0
        for prompt in sorted(own, key=lambda item: (item.prefill_seconds, item.key)):
            part = under if is_under or not used else within if used < share else beyond
            part.append(prompt)
            used += prompt.prefill_seconds
    over.update(item.key for item in beyond)
    on_time = kept
    for part in (under, within, beyond):
        on_time, _ = _admit(on_time, part, now, engines)
    return on_time


def max_min_share(demands: Collection[float], capacity: float) -> float:
    """The largest amount such that nobody gets more than it and the capacity suffices."""
    left = capacity
    for index, demand in enumerate(sorted(demands)):
        equal = left / (len(demands) - index)
        if demand > equal:
            return equal
        left -= demand
    return float("inf")


def _seconds(prompts: Iterable[QueuedPrompt]) -> float:
    return sum(item.prefill_seconds for item in prompts)


def _admit(
    kept: Collection[QueuedPrompt], added: Iterable[QueuedPrompt], now: float, engines: float
) -> tuple[list[QueuedPrompt], list[QueuedPrompt]]:
    """Add as many prompts as possible to kept ones, all of which can be on time.

    Returns the prompts on time by due time, and the late ones. When one would be late, the longest
    of the added ones so far is removed, which is optimal also with kept ones (Sidney).
    """
    kept_keys = {item.key for item in kept}
    removable: list[tuple[float, int, QueuedPrompt]] = []
    considered: list[QueuedPrompt] = []
    removed: dict[int, QueuedPrompt] = {}
    end = now
    for prompt in sorted((*kept, *added), key=lambda item: (item.due_at, item.key)):
        considered.append(prompt)
        end += service_seconds(prompt, engines)
        if prompt.key not in kept_keys:
            heapq.heappush(removable, (-prompt.prefill_seconds, -prompt.key, prompt))
        while end > prompt.due_at and removable:
            longest = heapq.heappop(removable)[2]
            removed[longest.key] = longest
            end -= service_seconds(longest, engines)
    return [item for item in considered if item.key not in removed], list(removed.values())
