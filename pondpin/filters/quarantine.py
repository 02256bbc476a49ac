"""Quarantines calls that crash the upstreams which run them."""

from dataclasses import replace

from pondpin.calls import Call, Outcome, Proceed
from pondpin.codes import Code
from pondpin.crash_monitor import CrashMonitor
from pondpin.quarantine import Verdict
from pondpin.request_identity import derive_key, identify


class QuarantineFilter:
    """Rejects quarantined calls, and runs a suspected call once at a time."""

    def __init__(self, crash_monitor: CrashMonitor, shared_key: str) -> None:
        self._crash_monitor = crash_monitor
        self._key = derive_key(shared_key)

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        incoming = call.incoming
        path = incoming.path.encode("latin-1", "replace")
        identity = identify(self._key, call.account_name, "", path, incoming.body)
        assessment = self._crash_monitor.admit(identity)
        is_suspect = assessment.verdict is Verdict.SUSPECTED
        if is_suspect:
            self._crash_monitor.begin_run(identity)
        try:
            outcome = await proceed(replace(call, identity=identity))
        finally:
            if is_suspect:
                self._crash_monitor.end_run(identity)
        if outcome.code is Code.OK:
            self._crash_monitor.record_success(identity)
        return outcome
