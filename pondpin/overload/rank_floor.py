"""Floor of each rank's served share, so that urgent ranks starve no other one."""

import math
from dataclasses import dataclass, field

# Each rank is served at least this part of the average served share of all ranks.
FLOOR = 0.25
# Averaging time of the served share: 80 decisions of an upstream that gets 20 requests a second.
AVERAGE_SECONDS = 4.0
# Requests that a rank can save up below its floor, and be ahead of it.
CREDIT_LIMIT = 4.0
# Ranks with a higher number count as this one, so that the state is bounded.
LOWEST_RANK = 15


@dataclass(slots=True)
class RankFloor:
    """Counts decisions, and finds the ranks that are below their floor.

    Each decision on a request of a rank adds the floor to the rank's credit, and each grant takes
    one from it: unlike a decayed share, this also protects a rank with few requests.
    """

    credit_by_rank: dict[int, float] = field(default_factory=dict)
    served: float = 0.0
    decided: float = 0.0
    counted_at: float = -math.inf

    def count(self, rank: int, granted: bool, now: float) -> None:
        """Count the final decision on a request."""
        if now > self.counted_at:
            decay = math.exp((self.counted_at - now) / AVERAGE_SECONDS)
            self.served *= decay
            self.decided *= decay
            self.counted_at = now
        self.served += granted
        self.decided += 1
        floor = FLOOR * self.served / self.decided
        credit = self.credit_by_rank.get(rank, 0.0) + floor - granted
        self.credit_by_rank[rank] = min(CREDIT_LIMIT, max(-CREDIT_LIMIT, credit))

    def is_below(self, rank: int) -> bool:
        """Whether a rank lacks a whole request to its floor."""
        return self.credit_by_rank.get(rank, 0.0) >= 1.0
