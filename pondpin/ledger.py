"""What the requests of this instance hold on engines: every block taken is given back."""

from dataclasses import dataclass, field

from pondpin.invariants import INVARIANTS, Invariants


@dataclass(frozen=True, slots=True)
class Hold:
    """Blocks that an attempt at a request holds on an upstream. times are in seconds."""

    request: str
    attempt: int
    upstream: str
    blocks: int
    prompt_tokens: int
    priority: int
    taken_at: float
    deadline: float

    @property
    def key(self) -> tuple[str, int, str]:
        """Names the hold: request, attempt, upstream."""
        return self.request, self.attempt, self.upstream


@dataclass
class Ledger:
    """All holds by key and by upstream, with running totals that must agree."""

    invariants: Invariants = INVARIANTS
    holds_by_key: dict[tuple[str, int, str], Hold] = field(default_factory=dict)
    holds_by_upstream: dict[str, dict[tuple[str, int, str], Hold]] = field(default_factory=dict)
    admitted_blocks: int = 0
    returned_blocks: int = 0
    held_blocks: int = 0

    def take(self, hold: Hold) -> None:
        """Note a new hold; its key must be new."""
        fresh = hold.key not in self.holds_by_key
        if not self.invariants.check(fresh, "hold_taken_once", str(hold.key)):
            return
        self.holds_by_key[hold.key] = hold
        self.holds_by_upstream.setdefault(hold.upstream, {})[hold.key] = hold
        self.admitted_blocks += hold.blocks
        self.held_blocks += hold.blocks
        self._check()

    def give_back(self, key: tuple[str, int, str]) -> Hold | None:
        """Note that a hold ended; it must exist."""
        hold = self.holds_by_key.pop(key, None)
        if not self.invariants.check(hold is not None, "hold_returned_once", str(key)):
            return None
        assert hold is not None
        of_upstream = self.holds_by_upstream[hold.upstream]
        del of_upstream[key]
        if not of_upstream:
            del self.holds_by_upstream[hold.upstream]
        self.returned_blocks += hold.blocks
        self.held_blocks -= hold.blocks
        self._check()
        return hold

    def on_upstream(self, upstream: str) -> list[Hold]:
        """The holds on an upstream."""
        return list(self.holds_by_upstream.get(upstream, {}).values())

    def _check(self) -> None:
        balance = self.admitted_blocks - self.returned_blocks
        self.invariants.check(balance == self.held_blocks, "admitted_less_returned_is_held")
        empty = not self.holds_by_key
        self.invariants.check(not empty or self.held_blocks == 0, "empty_ledger_holds_nothing")
