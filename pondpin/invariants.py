"""Invariants asserted inside the program: a breach is counted, logged once, fatal in tests."""

from collections import Counter

from absl import logging


class InvariantError(AssertionError):
    """An invariant was breached."""


class Invariants:
    """Counts checks and breaches by the invariant's name."""

    def __init__(self) -> None:
        self.checks_by_name: Counter[str] = Counter()
        self.breaches_by_name: Counter[str] = Counter()
        self.fatal = False

    def check(self, holds: bool, name: str, detail: str = "") -> bool:
        """Count a check; on a breach log it the first time, and raise when fatal."""
        self.checks_by_name[name] += 1
        if holds:
            return True
        self.breaches_by_name[name] += 1
        if self.breaches_by_name[name] == 1:
            logging.error("invariant %s breached: %s", name, detail)
        if self.fatal:
            raise InvariantError(f"{name}: {detail}")
        return False


INVARIANTS = Invariants()
