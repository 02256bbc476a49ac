"""Gets permits of limited upstreams for requests, and gives back what was not spent."""

import asyncio
from dataclasses import dataclass, field

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.pace import Permit
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.jobs import is_light_call, make_job
from pondpin.relay.peers.permit_broker import PermitBroker
from pondpin.relay.upstreams.state import UpstreamState

# A request waits for a permit that comes within this share of what is left of its target: it is
# kept for it, so the wait is sure, and the other half is left for the answer.
PERMIT_WAIT_SHARE = 0.5
# A limited upstream that nobody has heard for so long may take more by now: a request goes there to
# hear it. Within this a service that turns away by its limit is used whole again.
LIMIT_RECHECK_SECONDS = 3.0


@dataclass
class PermitAcquirer:
    """The permits of this instance's requests."""

    permits: PermitBroker
    metrics: Metrics
    clock: Clock
    _looked_at_by_life: dict[int, float] = field(default_factory=dict)

    async def acquire(self, call: RelayCall, progress: Progress, avoid: frozenset[int]) -> bool:
        """Get a permit for a request that has no other place.

        It waits for one that comes while its answer can still be in time; nothing queues behind.
        """
        tried = progress.tried_lives | avoid
        if not self.permits.issuer.limited_upstreams(call.service, tried):
            return False
        job = make_job(call, progress, self.clock())
        longest = max(0.0, PERMIT_WAIT_SHARE * (job.target - job.waited))
        found = await self.permits.acquire(call.service, tried, longest)
        got = isinstance(found, Permit)
        self.metrics.permits.inc({"result": "taken" if got else "refused"})
        if isinstance(found, Permit):
            progress.permit = found
            await asyncio.sleep(max(0.0, found.at - self.clock()))
        return got

    async def recheck_limit(self, call: RelayCall, progress: Progress) -> None:
        """Send a first try to a limited upstream that nobody has heard for a while.

        Its home may have no requests of its own, and where others are free nobody asks for permits:
        that a limit is lifted would never be heard.
        """
        if progress.attempts or progress.permit is not None or not is_light_call(call, progress):
            return
        states = self.permits.issuer.limited_upstreams(call.service, progress.tried_lives)
        unheard = next((state for state in states if self._is_unheard(state)), None)
        if unheard is None:
            return
        self._looked_at_by_life[unheard.life] = self.clock()
        others = {state.life for state in states if state is not unheard}
        found = await self.permits.acquire(call.service, progress.tried_lives | others, 0.0)
        if isinstance(found, Permit):
            self.metrics.permits.inc({"result": "to hear it again"})
            progress.permit = found

    def _is_unheard(self, state: UpstreamState) -> bool:
        word = state.standing.limit
        if word is None:
            return False
        looked_at = self._looked_at_by_life.get(state.life, word.heard_at)
        return self.clock() - max(word.heard_at, looked_at) > LIMIT_RECHECK_SECONDS

    def release(self, progress: Progress) -> None:
        """Give back a permit that was not spent."""
        if progress.permit is not None:
            self.permits.release(progress.permit)
            self.metrics.permits.inc({"result": "given back"})
            progress.permit = None

    def retry_after(self, call: RelayCall, progress: Progress) -> float | None:
        """Seconds until the first permit for a request; None where no limited one is left."""
        limited = self.permits.issuer.limited_upstreams(call.service, progress.tried_lives)
        if not limited:
            return None
        # A permit that could be had now would have been taken: 0 says that none is known of.
        return self.permits.retry_after(limited, call.service) or RETRY_SECONDS
