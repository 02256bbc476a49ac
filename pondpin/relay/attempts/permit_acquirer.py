"""Acquires permits of limited upstreams for requests, and releases unused ones."""

import asyncio
from dataclasses import dataclass, field

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.pacer import Permit
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.jobs import is_light_call, make_job
from pondpin.relay.peers.permit_broker import PermitBroker
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
        job = make_job(call, progress, self.clock())
        max_wait = max(0.0, PERMIT_WAIT_SHARE * (job.target - job.waited))
        found = await self.permits.acquire(call.service, tried, max_wait)
        got = isinstance(found, Permit)
        self.metrics.permits.inc({"result": "taken" if got else "refused"})
        if isinstance(found, Permit):
            progress.permit = found
            await asyncio.sleep(max(0.0, found.valid_from - self.clock()))
        return got

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

    def retry_after(self, call: RelayCall, progress: Progress) -> float | None:
        """Seconds until the next permit for a request; None if no limited upstream is left."""
        limited = self.permits.issuer.limited_upstreams(call.service, progress.tried_lives)
        if not limited:
            return None
        # A permit that is free now would have been acquired: 0 means that none is known.
        return self.permits.retry_after(limited, call.service) or RETRY_SECONDS
