"""Results of asking for a slot of a contended upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A granted slot of a life; host: its owner, "" for this instance.

    key 0: no owner decided, and the request goes on without a grant.
    """

    key: int
    life: int
    host: str = ""

    @property
    def is_decided(self) -> bool:
        """Whether an owner granted it."""
        return self.key != 0


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """A refusal; see SlotAnswer. Times are in seconds."""

    wait: float
    retry_after: float
    share: float
    slots: int
    hold: float
