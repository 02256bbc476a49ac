"""A caller's view of the platform's balancer: instances in turn, less those that are down."""

from dataclasses import dataclass, field
from random import Random

DOWN_SECONDS = 1.0


@dataclass
class Balancer:
    """Gives entry addresses in turn; one that failed is left out for a while."""

    addresses: list[str]
    down_until_by_address: dict[str, float] = field(default_factory=dict)
    turn: int = 0
    weights: tuple[float, ...] = ()
    random: Random = field(default_factory=lambda: Random(3))

    def next(self, now: float, avoid: str = "") -> str:
        """The next address that is up; any when none is."""
        if self.weights:
            return self.random.choices(self.addresses, self.weights)[0]
        for _ in range(len(self.addresses)):
            self.turn += 1
            address = self.addresses[self.turn % len(self.addresses)]
            if address != avoid and self.down_until_by_address.get(address, 0.0) <= now:
                return address
        self.turn += 1
        return self.addresses[self.turn % len(self.addresses)]

    def mark_down(self, address: str, now: float) -> None:
        """The address did not answer."""
        self.down_until_by_address[address] = now + DOWN_SECONDS
