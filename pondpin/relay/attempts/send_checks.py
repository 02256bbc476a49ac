"""Checks that must pass at the moment of sending.

A plan is made before its leases are acquired and its connection is open, so everything is checked
again after each of these.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.availability import BlockReason
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.attempts.admission import (
    RETRY_SECONDS,
    AdmissionState,
    admit,
    check_proof,
    check_ready,
)
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan

if TYPE_CHECKING:
    from pondpin.relay.peers.permit_issuer import PermitIssuer


@dataclass(frozen=True, slots=True)
class SendChecks:
    """The checks before a send."""

    admission_state: Callable[[], AdmissionState]
    crash_guard: CrashGuard
    permit_issuer: Callable[[], "PermitIssuer"]
    clock: Clock

    def check_key(self, call: RelayCall) -> None:
        """Raise PondpinError unless the request would be admitted now, for the same account.

        Its account and rank are those of the configuration that admitted it. If its key was moved
        since, its caller comes back and is admitted anew.
        """
        state, now = self.admission_state(), self.clock()
        if check_ready(state) is not call.configuration:
            admitted = admit(state, call.metadata, call.incoming.path, now)
            if admitted.account != call.account:
                raise PondpinError(Code.ACCOUNT_CHANGED, retry_after=RETRY_SECONDS)
        elif call.account:
            check_proof(state, call.metadata, now)

    def withhold_reason(
        self, call: RelayCall, progress: Progress, plan: Plan, is_begun: bool
    ) -> str:
        """Why a planned request must not be sent now, but planned again; empty if it may.

        is_begun: its run is already recorded, and it is sent at once if the result is empty.
        """
        return (
            self._key_reason(call)
            or self.crash_guard.quarantine_reason(call, progress, is_begun)
            or upstream_reason(plan, self.clock())
            or self._permit_reason(progress, plan, is_begun)
        )

    def _permit_reason(self, progress: Progress, plan: Plan, is_begun: bool) -> str:
        """Why a limited upstream must not get the request; spends its permit on sending.

        So no permit is spent on a request that then waits, is withheld or can't connect.
        """
        limited = [state for state in plan.helpers if state.is_limited]
        if limited:
            return f"{limited[0].id} names a limit or is cold"
        lead, permit = plan.lead, progress.permit
        if plan.is_long and lead.is_cold:
            return f"{lead.id} is cold"
        if not lead.is_limited:
            return ""
        if permit is not None and permit.life == lead.life and self.clock() <= permit.valid_until:
            if is_begun:
                progress.permit = None
            return ""
        has_permit = (
            self.permit_issuer().use_spare(lead)
            if is_begun
            else self.permit_issuer().has_spare(lead)
        )
        return "" if has_permit else f"{lead.id} has no permit left"

    def _key_reason(self, call: RelayCall) -> str:
        try:
            self.check_key(call)
        except PondpinError as error:
            return error.code.name
        return ""


def upstream_reason(plan: Plan, now: float) -> str:
    """Name an upstream of a plan that leaves, rests or is evacuated; empty if none does.

    The limit of requests at one that returns from its rest was applied when it was planned.
    """
    for state in (plan.lead, *plan.helpers):
        reason = state.availability.block_reason(now)
        if reason in (BlockReason.LEAVING, BlockReason.RESTING, BlockReason.EVACUATED):
            return f"{state.id} {reason.value}"
    return ""
