"""What this instance believes an engine's prefix cache holds, from late and lossy events."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

TRUST_STEP = 0.1
LOWEST_TRUST = 0.05
GAP_TRUST = 0.9


@dataclass
class PrefixIndex:
    """Block hashes in order of use; trust is how far past predictions came true, 0 to 1."""

    capacity: int = 4096
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    last_sequence: int = 0
    gaps: int = 0
    trust: float = 1.0

    def note_stored(self, block: int) -> None:
        """A block was stored or used."""
        self.blocks[block] = None
        self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)

    def note_event(self, sequence: int, kind: str, block: int) -> None:
        """Take one event; numbers left out lower the trust and are counted."""
        if sequence <= self.last_sequence:
            return
        if sequence > self.last_sequence + 1 and self.last_sequence:
            self.gaps += 1
            self.trust = max(LOWEST_TRUST, self.trust * GAP_TRUST)
        self.last_sequence = sequence
        if kind == "stored":
            self.note_stored(block)
        else:
            self.blocks.pop(block, None)

    def expect_blocks(self, hashes: Sequence[int]) -> int:
        """How many leading blocks of a prompt are believed to be cached."""
        count = 0
        for value in hashes:
            if value not in self.blocks:
                break
            count += 1
        return count

    def learn(self, expected_tokens: int, cached_tokens: int) -> None:
        """Compare what was expected with what the engine said it had."""
        if expected_tokens <= 0:
            return
        share = min(1.0, cached_tokens / expected_tokens)
        self.trust = max(LOWEST_TRUST, self.trust + TRUST_STEP * (share - self.trust))

    def clear(self) -> None:
        """The engine began a new life: nothing is cached."""
        self.blocks.clear()
        self.last_sequence = 0
        self.trust = 1.0
