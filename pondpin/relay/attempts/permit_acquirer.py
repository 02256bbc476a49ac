"""Acquires permits of limited and cold upstreams for requests, and releases unused ones."""

import asyncio
from dataclasses import dataclass, field

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.metrics import Metrics
from pondpin.pacer import Permit
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.call import Progress, RelayCall, Wait, WaitPlace
from pondpin.relay.choosing.jobs import is_light_call, make_job
from pondpin.relay.peers.permit_broker import MAX_OWNERS_ASKED, NoPermit, PermitBroker
from pondpin.relay.upstreams.state import UpstreamState

# A request waits for a permit that is issued within this share of the time left to its target: the
# permit is reserved for it, so the wait is certain, and the other half is left for the response.
PERMIT_WAIT_SHARE = 0.5
# A limit that was last reported this long ago may have been raised: a request is sent to learn it.
# So a service with a lifted limit gets its full load again within this time.
LIMIT_RECHECK_SECONDS = 3.0


@dataclass
class PermitAcquirer:
    """The permits of this instance's requests."""

    permits: PermitBroker
    metrics: Metrics
    clock: Clock
    _rechecked_at_by_life: dict[int, float] = field(default_factory=dict)

    async def acquire(self, call: RelayCall, progress: Progress, avoid: frozenset[int]) -> bool:
        """Acquire a permit for a request that has no other upstream.

        Waits for one only while the response can still be in time; there is no queue for permits.
        """
        tried = progress.tried_lives | avoid
        if not self.permits.issuer.limited_upstreams(call.service, tried):
            return False
        found = await self.permits.acquire(call.service, tried, self._max_wait(call, progress))
        return await self._use(progress, found, "refused")

    def _max_wait(self, call: RelayCall, progress: Progress) -> float:
        job = make_job(call, progress, self.clock())
        return max(0.0, PERMIT_WAIT_SHARE * (job.target - job.waited))

    async def _use(self, progress: Progress, found: Permit | NoPermit, otherwise: str) -> bool:
        """Wait for the start of a permit, if one was found."""
        if not isinstance(found, Permit):
            self.metrics.permits.inc({"result": otherwise})
            return False
        self.metrics.permits.inc({"result": "taken"})
        progress.permit = found
        progress.wait = Wait(WaitPlace.PERMIT, lambda now: found.valid_from - now)
        await asyncio.sleep(max(0.0, found.valid_from - self.clock()))
        return True

    async def acquire_for_cold(
        self, call: RelayCall, progress: Progress, lead: UpstreamState
    ) -> frozenset[int]:
        """Acquire a permit of a cold upstream that was chosen; the lives to avoid without one."""
        max_wait = self._max_wait(call, progress)
        found = await self.permits.acquire_of(lead, max_wait)
        if await self._use(progress, found, "elsewhere"):
            return frozenset()
        progress.cold_refusals += 1
        is_last = progress.cold_refusals >= MAX_OWNERS_ASKED
        states = self._cold_upstreams(call)
        return frozenset(
            state.life
            for state in (lead, *states)
            if state is lead or is_last or not self.permits.may_have_permit(state, max_wait)
        )

    def _cold_upstreams(self, call: RelayCall) -> list[UpstreamState]:
        return [item for item in self.permits.issuer.table.of_service(call.service) if item.is_cold]

    async def recheck_limit(self, call: RelayCall, progress: Progress) -> None:
        """Send a first attempt to a limited upstream that has not reported its limit for a while.

        The owner of its permits may have no requests, and while other upstreams are free no
        instance asks for permits: a lifted limit would go unnoticed.
        """
        if progress.attempts or progress.permit is not None or not is_light_call(call, progress):
            return
        states = self.permits.issuer.limited_upstreams(call.service, progress.tried_lives)
        stale = next((state for state in states if self._is_stale(state)), None)
        if stale is None:
            return
        self._rechecked_at_by_life[stale.life] = self.clock()
        others = {state.life for state in states if state is not stale}
        found = await self.permits.acquire(call.service, progress.tried_lives | others, 0.0)
        if isinstance(found, Permit):
            self.metrics.permits.inc({"result": "to hear it again"})
            progress.permit = found

    def _is_stale(self, state: UpstreamState) -> bool:
        reported = state.availability.limit
        if reported is None:
            return False
        rechecked_at = self._rechecked_at_by_life.get(state.life, reported.received_at)
        return self.clock() - max(reported.received_at, rechecked_at) > LIMIT_RECHECK_SECONDS

    def release(self, progress: Progress) -> None:
        """Release an unused permit."""
        if progress.permit is not None:
            self.permits.release(progress.permit)
            self.metrics.permits.inc({"result": "given back"})
            progress.permit = None

    def refusal(self, call: RelayCall, progress: Progress) -> tuple[Code, float] | None:
        """Why a request has no permit, and seconds until the next one; None if none would help."""
        limited = self.permits.issuer.limited_upstreams(call.service, progress.tried_lives)
        if limited:
            # A permit that is free now would have been acquired: 0 means that none is known.
            wait = self.permits.retry_after(limited, call.service) or RETRY_SECONDS
            return Code.UPSTREAMS_LIMITED, wait
        now, cold_starts = self.clock(), self.permits.issuer.table.cold_starts
        cold = [
            state
            for state in self._cold_upstreams(call)
            if state.life not in progress.tried_lives and state.is_usable(now)
        ]
        if cold_starts is None or not cold:
            return None
        wait = min(cold_starts.remaining(state.life, now) for state in cold)
        if is_light_call(call, progress):
            wait = min(
                wait, *(self.permits.retry_after_of(state) or RETRY_SECONDS for state in cold)
            )
        return Code.UPSTREAMS_COLD, wait
