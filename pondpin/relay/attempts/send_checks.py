"""What must hold at the moment of sending, whatever was waited for since the plan was made.

A plan is made before its leases are taken and its connection is open. So all is asked again when
the leases are there, and last when the connection is.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.errors import PondpinError
from pondpin.relay.attempts.admission import AdmissionState, admit, check_proof
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.standing import Bar

if TYPE_CHECKING:
    from pondpin.relay.peers.permit_issuer import PermitIssuer


@dataclass(frozen=True, slots=True)
class SendChecks:
    """The guards of a send, in one list."""

    admission_state: Callable[[], AdmissionState]
    crash_guard: CrashGuard
    permit_issuer: Callable[[], "PermitIssuer"]
    clock: Clock

    def check_key(self, call: RelayCall) -> None:
        """The key must still hold, by a proof that is young enough; raises PondpinError."""
        if call.account:
            beliefs, now = self.admission_state(), self.clock()
            admit(beliefs, call.metadata, call.incoming.path, now)
            check_proof(beliefs, call.metadata, now)

    def withhold_reason(
        self, call: RelayCall, progress: Progress, plan: Plan, is_begun: bool
    ) -> str:
        """Why a planned request must not be sent now, empty when it may; it is planned anew then.

        is_begun: its run is already noted, and it is sent at once where this says nothing.
        """
        return (
            self._key_bar(call)
            or self.crash_guard.outdated(call, progress, is_begun)
            or upstream_bar(plan, self.clock())
            or self._permit_bar(progress, plan, is_begun)
        )

    def _permit_bar(self, progress: Progress, plan: Plan, is_begun: bool) -> str:
        """Why a limited upstream gets nothing; a permit is spent here, where it is sent.

        So none is spent for what then waits, is withheld or finds no connection.
        """
        limited = [state for state in plan.helpers if state.is_limited]
        if limited:
            return f"{limited[0].id} names a limit"
        lead, permit = plan.lead, progress.permit
        if not lead.is_limited:
            return ""
        if permit is not None and permit.life == lead.life and self.clock() <= permit.until:
            if is_begun:
                progress.permit = None
            return ""
        has_one = (
            self.permit_issuer().use_spare(lead)
            if is_begun
            else self.permit_issuer().has_spare(lead)
        )
        return "" if has_one else f"{lead.id} has no permit left"

    def _key_bar(self, call: RelayCall) -> str:
        try:
            self.check_key(call)
        except PondpinError as error:
            return error.code.name
        return ""


def upstream_bar(plan: Plan, now: float) -> str:
    """Which upstream of a plan leaves or rests, and that it does; empty when none does.

    How many requests may be at one that comes back from its rest was settled when it was planned.
    """
    for state in (plan.lead, *plan.helpers):
        bar = state.standing.bar(now)
        if bar in (Bar.LEAVES, Bar.RESTS):
            return f"{state.id} {bar.value}"
    return ""
