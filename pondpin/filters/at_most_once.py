"""Runs a call with a call token only at the token's issuer, and at most once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from pondpin.call_tokens import CallToken, read_token, sign_token
from pondpin.calls import Call, Outcome, Proceed, WholeAnswer
from pondpin.clocks import Clock, WallClock
from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.identity import Identity
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.once import KeptAnswer, OnceTable, Stage
from pondpin.signing import Signer

GUARANTEE_HEADER = "pondpin-guarantee"
BY_TOKEN = "at-most-once-by-token"
NEXT_TOKEN_HEADER = "pondpin-next-token"
REPLAY_HEADER = "pondpin-replay"
OK = 200


class Forwarder(Protocol):
    """Forwards calls to the issuers of their tokens."""

    async def forward(self, call: Call, token: CallToken) -> Outcome:
        """Return the issuer's outcome; raises PondpinError (ISSUER_GONE: unreachable)."""
        ...


class TokenIssuer:
    """Issues call tokens of this incarnation until the instance stops."""

    def __init__(
        self, identity: Identity, table: OnceTable, signer: Signer, wall_clock: WallClock
    ) -> None:
        self._identity = identity
        self._signer = signer
        self._wall_clock = wall_clock
        self.table = table
        self.stopped = False

    def issue(self, account: str, revision: int) -> str:
        """Issue a token to an account; raises PondpinError while stopping."""
        if self.stopped:
            raise PondpinError(Code.DRAINING, retry_after=1.0)
        token = CallToken(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            sequence=self.table.issue(),
            account=account,
            issued_at=int(self._wall_clock()),
            revision=revision,
        )
        return sign_token(self._signer, token)

    def is_own(self, token: CallToken) -> bool:
        """Whether this incarnation issued the token."""
        own = (self._identity.instance, self._identity.incarnation)
        return (token.instance, token.incarnation) == own

    def read(self, text: str) -> CallToken:
        """Verify and decode a token; raises PondpinError."""
        return read_token(self._signer, text)


@dataclass
class _RunningCall:
    """A call in progress, which repeated calls with its token wait for."""

    ended: "asyncio.Future[None]"


class AtMostOnceFilter:
    """Forwards a call to its token's issuer, or answers a repeated call with the first result."""

    def __init__(
        self,
        issuer: TokenIssuer,
        forwarder: Forwarder,
        metrics: InterfaceMetrics,
        on_revision: Callable[[int], None],
    ) -> None:
        self._issuer = issuer
        self._forwarder = forwarder
        self._metrics = metrics
        self._on_revision = on_revision
        self._running_by_number: dict[int, _RunningCall] = {}

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        if not call.token:
            return await proceed(call)
        token = self._issuer.read(call.token)
        # The signature proves that the revision was in force at a peer.
        self._on_revision(token.revision)
        if token.account != call.account_name:
            raise PondpinError(Code.TOKEN_INVALID, "the token belongs to another account")
        if not self._issuer.is_own(token):
            self._metrics.call_tokens.inc({"result": "forwarded"})
            return await self._forwarder.forward(call, token)
        try:
            return await self._run_own(call, token.sequence, proceed)
        except PondpinError as error:
            error.covers_earlier_attempts = True
            if error.ran is Ran.NOT_RUN:
                self._close_token(token.sequence)
            raise

    def _close_token(self, number: int) -> None:
        """Close the token, so that 'not run', which the caller gets, stays true."""
        if self._issuer.table.stage(number) is not Stage.CLOSED:
            self._issuer.table.close(number)
            self._metrics.call_tokens.inc({"result": "not run"})

    async def _run_own(self, call: Call, number: int, proceed: Proceed) -> Outcome:
        """Answer by the stage of the token; the first call with it runs."""
        running = self._running_by_number.get(number)
        while running is not None:
            await asyncio.shield(running.ended)
            running = self._running_by_number.get(number)
        match self._issuer.table.stage(number):
            case Stage.DONE:
                self._metrics.call_tokens.inc({"result": "replayed"})
                return replay(self._issuer.table.answer(number))
            case Stage.CLOSED:
                raise PondpinError(Code.TOKEN_CLOSED)
            case Stage.FORGOTTEN:
                raise PondpinError(Code.ANSWER_FORGOTTEN, ran=Ran.RAN)
            case _:
                return await self._run_first(call, number, proceed)

    async def _run_first(self, call: Call, number: int, proceed: Proceed) -> Outcome:
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._running_by_number[number] = _RunningCall(ended)
        try:
            return await proceed(replace(call, token_number=number))
        finally:
            del self._running_by_number[number]
            ended.set_result(None)


def replay(stored: KeptAnswer) -> Outcome:
    """Rebuild the outcome of a call for a repeated call."""
    if stored.ran is Ran.UNKNOWN:
        raise PondpinError(Code.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
    answer = WholeAnswer(stored.status, stored.content_type, stored.body)
    headers = {GUARANTEE_HEADER: BY_TOKEN, REPLAY_HEADER: "yes"}
    return Outcome(Code.OK, Ran.RAN, answer, headers=headers)


class TokenResultFilter:
    """Marks a token as spent just before its call can be sent, and stores the call's result."""

    def __init__(self, table: OnceTable, metrics: InterfaceMetrics, clock: Clock) -> None:
        self._table = table
        self._metrics = metrics
        self._clock = clock

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        number = call.token_number
        if number is None:
            if call.the_rule.token_required and not call.token:
                raise PondpinError(Code.TOKEN_REQUIRED)
            return await proceed(call)
        self._table.begin(number)
        try:
            outcome = await proceed(call)
        except PondpinError as error:
            self._record_error(number, error)
            raise
        except BaseException:
            self._record_response(number, WholeAnswer(0, "", b""), Ran.UNKNOWN)
            raise
        assert outcome.answer is not None, "a service call has a whole answer"
        self._record_response(number, outcome.answer, Ran.RAN)
        return replace(outcome, headers=outcome.headers | {GUARANTEE_HEADER: BY_TOKEN})

    def _record_error(self, number: int, error: PondpinError) -> None:
        if error.ran is not Ran.NOT_RUN:
            self._record_response(number, WholeAnswer(0, "", b""), Ran.UNKNOWN)

    def _record_response(self, number: int, answer: WholeAnswer, ran: Ran) -> None:
        stored = KeptAnswer(answer.status, answer.content_type, answer.body, ran, self._clock())
        self._table.finish(number, stored)
        self._metrics.call_tokens.inc({"result": ran.value})
