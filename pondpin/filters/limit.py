"""Enforces the limits of client accounts."""

from dataclasses import dataclass, field
from typing import Protocol

from pondpin.account_limits import Bucket, take
from pondpin.calls import Call, Outcome, Proceed
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.configuration import Limits
from pondpin.errors import PondpinError

FULL_BUCKET = 1e12


class ShareSource(Protocol):
    """Determines which share of an account's limits this instance may grant."""

    def share(self, account: str, now: float) -> float:
        """The share, from 0 to 1."""
        ...

    def record(self, account: str, requests: int, tokens: int) -> None:
        """Record usage."""
        ...


@dataclass
class AccountState:
    """Token buckets and open long prompts of an account at this instance."""

    requests: Bucket = field(default_factory=lambda: Bucket(FULL_BUCKET, 0.0))
    tokens: Bucket = field(default_factory=lambda: Bucket(FULL_BUCKET, 0.0))
    open_long_prompts: int = 0


class LimitFilter:
    """Rejects calls over the account's limits, with a retry time."""

    def __init__(self, clock: Clock, shares: ShareSource) -> None:
        self._clock = clock
        self._shares = shares
        self.state_by_account: dict[str, AccountState] = {}

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        now = self._clock()
        limits = call.the_account.limits
        state = self.state_by_account.setdefault(call.account_name, AccountState())
        share = self._shares.share(call.account_name, now)
        tokens = call.prompt.tokens + call.prompt.max_tokens if call.prompt is not None else 0
        self._check_long_prompts(call, state, limits, share)
        self._take_tokens(state, limits, share, tokens, now)
        self._shares.record(call.account_name, 1, tokens)
        if not call.long:
            return await proceed(call)
        state.open_long_prompts += 1
        try:
            return await proceed(call)
        finally:
            state.open_long_prompts -= 1

    def _check_long_prompts(
        self, call: Call, state: AccountState, limits: Limits, share: float
    ) -> None:
        if not call.long or not limits.long_prompts:
            return
        # Allow at least one, else a small limit shared by many instances would be 0 at each.
        if state.open_long_prompts >= max(1, round(limits.long_prompts * share)):
            raise PondpinError(Code.LONG_PROMPTS, retry_after=5.0)

    def _take_tokens(
        self, state: AccountState, limits: Limits, share: float, tokens: int, now: float
    ) -> None:
        requests = state.requests
        if limits.requests_per_second:
            rate = limits.requests_per_second * share
            requests, wait = take(state.requests, rate, 1.0, now)
            if wait > 0:
                raise PondpinError(Code.REQUEST_RATE, retry_after=wait)
        if limits.tokens_per_second and tokens:
            rate = limits.tokens_per_second * share
            state.tokens, wait = take(state.tokens, rate, float(tokens), now)
            if wait > 0:
                raise PondpinError(Code.TOKEN_RATE, retry_after=wait)
        # Set last, so that a request rejected for its tokens uses up no request.
        state.requests = requests
