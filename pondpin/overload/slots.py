"""Requests for slots of an upstream, and decisions on them.

Times are in seconds of the steady clock.
"""

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for one slot of an upstream.

    key: unique among all instances. rank: 0 is the most urgent. account: hash of the client
    account. cost_seconds: forecast occupation of the slot. max_wait_seconds: the longest wait after
    which the response can still meet its target. is_return: its caller was refused before and
    returns as told. is_last: no other owner is asked after a refusal; only then does the refusal
    count in the rank's served share, and is a place booked for the return.
    """

    key: int
    rank: int
    account: int
    cost_seconds: float
    max_wait_seconds: float
    is_return: bool = False
    is_last: bool = True


class SlotOutcome(enum.Enum):
    """The state of a request for a slot."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """A decision on a request.

    wait_seconds: forecast wait of a waiting or refused request. retry_after_seconds: of a refused
    one, when capacity is booked for its return. account_share: share of the slots that its account
    uses now.
    """

    key: int
    outcome: SlotOutcome
    wait_seconds: float = 0.0
    retry_after_seconds: float = 0.0
    account_share: float = 0.0


@dataclass(frozen=True, slots=True)
class SlotStatus:
    """State of a slot scheduler for operators."""

    slots: int
    granted: int
    waiting: int
    ungranted: int
    hold_seconds: float


class SlotScheduler(Protocol):
    """Grants the slots of one upstream; implemented by `slot_queue.SlotQueue`.

    All methods return the decisions that changed, also on other requests.
    """

    def request(self, request: SlotRequest, now: float) -> tuple[SlotDecision, ...]:
        """Decide on a new request; its own decision comes first."""

    def release(self, key: int, now: float) -> tuple[SlotDecision, ...]:
        """End a grant, or withdraw a waiting request; unknown keys are ignored."""

    def expire(self, now: float) -> tuple[SlotDecision, ...]:
        """End grants that were never released, and refuse requests that waited too long."""

    def observe_load(self, running: int, waiting: int, now: float) -> tuple[SlotDecision, ...]:
        """Apply a load that the upstream reported: some requests run there without a grant."""

    def status(self, now: float) -> SlotStatus:
        """The current state."""
