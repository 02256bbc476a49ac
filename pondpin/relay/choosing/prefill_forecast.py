"""Forecast of when queued long prompts start, and whether their callers wait that long.

Prompts that can be on time go before all others, also those that arrive later. So the forecast of a
prompt that can't be on time counts the prompts before it and the rate at which others join them.
"""

import math
import random

from pondpin.relay.choosing.prefill_order import DispatchOrder, QueuedPrompt, service_seconds

# Mean over several targets of long prompts (3 to 4 s), so that one burst isn't taken for a rate.
RATE_SECONDS = 10.0
# Part of the rate that counts: some of the prompts that join are displaced again. With all of it,
# 0.095 was refused at a load that the engines bear, with this 0.088, without refusals 0.051; with
# 0.6, refused callers waited 4 times as long at twice that load.
RATE_WEIGHT = 0.8
# The common queue is observed at most this often: ordering 30 prompts by shares takes 0.3 ms.
OBSERVE_SECONDS = 0.05
# Each rank keeps at least this part of the share that all ranks together are served.
FLOOR_SHARE = 0.25
# The served share is a mean over so long that an instance with a long prompt each few seconds has
# several of them.
SERVED_SECONDS = 30.0
# An instance whose callers are all of one rank knows its share only, and takes a demand of three
# times the capacity for the most.
MIN_SERVED_SHARE = 1 / 3


class OnTimeRate:
    """The part of the engines' time that joins the prompts that can be on time."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = -math.inf
        self._was_on_time_by_key: dict[int, bool] = {}

    def is_due(self, now: float) -> bool:
        """Whether the queue is due for an observation."""
        return now - self._at >= OBSERVE_SECONDS

    def observe(self, order: DispatchOrder, engines: int, now: float) -> None:
        """Count the prompts that joined or left those on time while queued."""
        self._sum *= math.exp(-(now - self._at) / RATE_SECONDS)
        self._at = now
        before = self._was_on_time_by_key
        self._was_on_time_by_key = {item.key: True for item in order.on_time}
        for prompt in order.on_time:
            if not before.get(prompt.key, False):
                self._sum += service_seconds(prompt, engines)
        for prompt in order.late:
            self._was_on_time_by_key[prompt.key] = False
            if before.get(prompt.key, False):
                self._sum -= service_seconds(prompt, engines)

    def share(self, now: float) -> float:
        """The share of the engines' time, 0 to 1."""
        decayed = self._sum * math.exp(-(now - self._at) / RATE_SECONDS)
        return min(1.0, max(0.0, decayed / RATE_SECONDS))


class RankFloors:
    """Decides which prompts are kept for the floors of their ranks, by recent engine seconds.

    By rank and not by length, so that a rank whose prompts are all long isn't starved by shorter
    ones.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._at = -math.inf
        self._demand_by_rank: dict[int, float] = {}
        self._served_by_rank: dict[int, float] = {}

    def record_end(self, rank: int, seconds: float, is_sent: bool, now: float) -> None:
        """Count a prompt that was sent or refused."""
        decay = math.exp(-(now - self._at) / SERVED_SECONDS)
        self._at = now
        for sums in (self._demand_by_rank, self._served_by_rank):
            for known in sums:
                sums[known] *= decay
        self._demand_by_rank[rank] = self._demand_by_rank.get(rank, 0.0) + seconds
        if is_sent:
            self._served_by_rank[rank] = self._served_by_rank.get(rank, 0.0) + seconds

    @property
    def served_share(self) -> float:
        """The share of the recent demand that was served here."""
        demand = sum(self._demand_by_rank.values())
        if demand <= 0:
            return 1.0
        return max(MIN_SERVED_SHARE, sum(self._served_by_rank.values()) / demand)

    def keep(self, rank: int, seconds: float) -> bool:
        """Whether to keep a new prompt, as its rank was served less than its floor."""
        # A random part of it counts as served: many instances have few prompts each.
        served = self._served_by_rank.get(rank, 0.0) + self._rng.random() * seconds
        demand = self._demand_by_rank.get(rank, 0.0) + seconds
        return served < FLOOR_SHARE * self.served_share * demand


def start_delay(
    order: DispatchOrder, prompt: QueuedPrompt, engines: int, running: float, share: float
) -> float:
    """Forecast seconds until a queued prompt starts.

    running: until its engines are free. share: the engines' time that joins those on time.
    """
    ahead = 0.0
    for item in order.on_time:
        if item.key == prompt.key:
            return running + ahead
        ahead += service_seconds(item, engines)
    for item in order.late:
        if item.key == prompt.key:
            break
        ahead += service_seconds(item, engines)
    return (running + ahead) / (1.0 - RATE_WEIGHT * share)
