"""Holds each client account to its limits."""

from dataclasses import dataclass, field
from typing import Protocol

from pondpin.account_limits import Bucket, take
from pondpin.calls import Call, Outcome, Proceed
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.configuration import Limits
from pondpin.errors import PondpinError

FULL = 1e12


class Shares(Protocol):
    """Says which part of an account's limits this instance may grant."""

    def share(self, account: str, now: float) -> float:
        """A number from 0 to 1."""
        ...

    def record(self, account: str, requests: int, tokens: int) -> None:
        """Count usage."""
        ...


@dataclass
class AccountState:
    """An account's buckets and open long prompts at this instance."""

    requests: Bucket = field(default_factory=lambda: Bucket(FULL, 0.0))
    tokens: Bucket = field(default_factory=lambda: Bucket(FULL, 0.0))
    long_open: int = 0


class LimitFilter:
    """Refuses calls over the account's limits, and says when to come back."""

    def __init__(self, clock: Clock, shares: Shares) -> None:
        self._clock = clock
        self._shares = shares
        self.state_by_account: dict[str, AccountState] = {}

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        now = self._clock()
        limits = call.the_account.limits
        state = self.state_by_account.setdefault(call.account_name, AccountState())
        part = self._shares.share(call.account_name, now)
        tokens = call.prompt.tokens + call.prompt.max_tokens if call.prompt is not None else 0
        self._check_long(call, state, limits, part)
        self._take(state, limits, part, tokens, now)
        self._shares.record(call.account_name, 1, tokens)
        if not call.long:
            return await proceed(call)
        state.long_open += 1
        try:
            return await proceed(call)
        finally:
            state.long_open -= 1

    def _check_long(self, call: Call, state: AccountState, limits: Limits, part: float) -> None:
        if not call.long or not limits.long_prompts:
            return
        # At least one may be open here, else a small limit over many instances would be none.
        if state.long_open >= max(1, round(limits.long_prompts * part)):
            raise PondpinError(Code.LONG_PROMPTS, retry_after=5.0)

    def _take(
        self, state: AccountState, limits: Limits, part: float, tokens: int, now: float
    ) -> None:
        requests = state.requests
        if limits.requests_per_second:
            rate = limits.requests_per_second * part
            requests, wait = take(state.requests, rate, 1.0, now)
            if wait > 0:
                raise PondpinError(Code.REQUEST_RATE, retry_after=wait)
        if limits.tokens_per_second and tokens:
            rate = limits.tokens_per_second * part
            state.tokens, wait = take(state.tokens, rate, float(tokens), now)
            if wait > 0:
                raise PondpinError(Code.TOKEN_RATE, retry_after=wait)
        # Only now, so that a request refused for its tokens does not use up a request.
        state.requests = requests
