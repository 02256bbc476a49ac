"""The part of each account's limits that this instance grants, from usage that peers tell."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pondpin.account_limits import share_of_limit
from pondpin.wire.peer_pb2 import AccountUsage

HALF_LIFE_SECONDS = 5.0
ACCOUNTS_TOLD = 10


@dataclass(slots=True)
class Rate:
    """Requests counted with older ones weighing less."""

    amount: float = 0.0
    updated: float = 0.0

    def at(self, now: float) -> float:
        """The amount as it weighs now."""
        age = max(0.0, now - self.updated)
        return float(self.amount * 0.5 ** (age / HALF_LIFE_SECONDS))

    def add(self, amount: float, now: float) -> None:
        """Count more."""
        self.amount = self.at(now) + amount
        self.updated = now


@dataclass
class UsageShares:
    """Own and peers' usage by account; peers that fall silent fade out by themselves."""

    clock: Callable[[], float]
    instances: Callable[[], int]
    own_by_account: dict[str, Rate] = field(default_factory=dict)
    peers_by_account: dict[str, dict[str, Rate]] = field(default_factory=dict)

    def record(self, account: str, requests: int, tokens: int) -> None:
        """Count own usage."""
        self.own_by_account.setdefault(account, Rate()).add(requests, self.clock())

    def note_demand(self, account: str, peer: str, amount: float) -> None:
        """Take a peer's word for its recent usage."""
        rates = self.peers_by_account.setdefault(account, {})
        rates[peer] = Rate(amount, self.clock())

    def share(self, account: str, now: float) -> float:
        """The part of the limit, from 0 to 1."""
        own = self.own_by_account.get(account)
        own_amount = own.at(now) if own is not None else 0.0
        others = self.peers_by_account.get(account, {})
        total = own_amount + sum(rate.at(now) for rate in others.values())
        return share_of_limit(1.0, own_amount, total, max(1, self.instances()))

    def tell(self) -> tuple[AccountUsage, ...]:
        """The recent usage of the busiest accounts, in thousandths, for heartbeats."""
        now = self.clock()
        amounts = [(rate.at(now), name) for name, rate in self.own_by_account.items()]
        amounts.sort(reverse=True)
        return tuple(
            AccountUsage(account=name, requests=round(amount * 1000))
            for amount, name in amounts[:ACCOUNTS_TOLD]
            if amount > 0.01
        )

    def hear(self, peer: str, usage: tuple[AccountUsage, ...]) -> None:
        """Take a peer's usage from its heartbeat."""
        for item in usage:
            self.note_demand(item.account, peer, item.requests / 1000)
