"""Detection of upstreams that crash under calls of own callers, and the calls' quarantine.

`pondpin.quarantine` decides, as for relayed requests. An upstream's life is its incarnation: a
later one, or a refused connection, proves that the earlier one has ended.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import xxhash
from absl import logging

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.fleet import Fleet, UpstreamState
from pondpin.http_client import ConnectOutcome
from pondpin.network import parse_endpoint
from pondpin.quarantine import (
    Assessment,
    AssessmentContext,
    LifeEnd,
    NamedEnd,
    Quarantine,
    TrialRank,
    Verdict,
)
from pondpin.quarantine_messages import decode_ends, encode_ends
from pondpin.request_identity import format_identity

# Broken calls are kept until a poll shows the next life of the upstream.
BROKEN_SECONDS = 10.0
# A retry waits this long for a liveness check of the upstream whose call broke.
CHECK_SECONDS = 0.06
# Retry-After of a suspect that another instance runs.
RETRY_SECONDS = 0.5
# Void ends are sent this long: several heartbeats reach every peer.
VOID_SEND_SECONDS = 5.0
# Ends in a heartbeat, 30 bytes each: those of the requests with the most ends.
MAX_SENT_ENDS = 32


@dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call that broke at an incarnation of an upstream."""

    identity: int
    state: UpstreamState
    incarnation: int
    at: float

    @property
    def life(self) -> int:
        """ID of the life, the same on every instance."""
        return xxhash.xxh64_intdigest(f"{self.state.name}@{self.incarnation}".encode())


class CrashMonitor:
    """Quarantine on an instance with its own callers."""

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        try_connect: Callable[[str, int], Awaitable[ConnectOutcome]],
        trial_rank: TrialRank,
        broadcast: Callable[[], None],
        clock: Clock,
    ) -> None:
        self.quarantine = Quarantine()
        self._instance = instance
        self._fleet = fleet
        self._try_connect = try_connect
        self._trial_rank = trial_rank
        self._broadcast = broadcast
        self._clock = clock
        self._broken: list[BrokenCall] = []
        # Void ends, and when they were found to be void.
        self._voided: list[tuple[float, NamedEnd]] = []

    def assess(self, identity: int) -> Assessment:
        """Assess a request now."""
        context = AssessmentContext(
            upstream_count=len(self._fleet.by_name), trial_rank=self._trial_rank(identity)
        )
        return self.quarantine.assess(identity, self._clock(), context)

    def admit(self, identity: int) -> Assessment:
        """Admit a request to placement, or raise PondpinError."""
        now = self._clock()
        assessment = self.assess(identity)
        detail = f"{len(assessment.ends)} upstreams ended while it ran there"
        if assessment.verdict is Verdict.QUARANTINED:
            wait = max(RETRY_SECONDS, assessment.until - now)
            raise PondpinError(Code.QUARANTINED, detail, retry_after=wait)
        is_suspect = assessment.verdict is Verdict.SUSPECTED
        if is_suspect and self.quarantine.is_running(identity, now):
            raise PondpinError(Code.SUSPECTED, detail, retry_after=RETRY_SECONDS)
        return assessment

    def begin_run(self, identity: int) -> None:
        """Record that a suspect is about to run."""
        self.quarantine.begin_run(identity, self._instance, 0, self._clock())

    def end_run(self, identity: int) -> None:
        """Record the end of the run."""
        self.quarantine.end_run(identity, self._instance)

    def allows_retry(self, identity: int) -> bool:
        """Whether a broken call may be retried at another upstream."""
        assessment = self.assess(identity)
        if assessment.verdict is Verdict.FREE:
            return True
        return assessment.verdict is Verdict.SUSPECTED and assessment.allows_retry

    def record_success(self, identity: int) -> None:
        """A request completed."""
        self._send_voided(self.quarantine.record_success(identity, self._clock()))

    def _send_voided(self, ends: Iterable[NamedEnd]) -> None:
        now = self._clock()
        found = [(now, item) for item in ends]
        if found:
            self._voided += found
            self._broadcast()

    async def check_liveness(self, identity: int, states: Iterable[UpstreamState]) -> None:
        """Check whether the upstream of a broken call has ended."""
        now = self._clock()
        not_leaving = [state for state in states if not state.leaving]
        broken = [BrokenCall(identity, state, state.incarnation, now) for state in not_leaving]
        self._broken += broken
        checks = [asyncio.ensure_future(self._check(item)) for item in broken]
        if checks:
            await asyncio.wait(checks, timeout=CHECK_SECONDS)

    async def _check(self, broken: BrokenCall) -> None:
        endpoint = parse_endpoint(broken.state.upstream.address)
        if await self._try_connect(endpoint.host, endpoint.port) is ConnectOutcome.REFUSED:
            self._record_end(broken)

    def _record_end(self, broken: BrokenCall) -> None:
        if broken not in self._broken:
            return
        self._broken.remove(broken)
        end = LifeEnd(broken.life, broken.at, source=self._instance)
        if not self.quarantine.record_end(broken.identity, end):
            return
        assessment = self.assess(broken.identity)
        logging.info(
            "upstream %s ended under request %s: %s, %d ends",
            broken.state.name,
            format_identity(broken.identity),
            assessment.verdict.value,
            len(assessment.ends),
        )
        self._broadcast()

    def refresh(self) -> None:
        """Record the ends of restarted upstreams, and remove expired state."""
        now = self._clock()
        for broken in list(self._broken):
            if broken.state.incarnation != broken.incarnation:
                self._record_end(broken)
        self._broken = [item for item in self._broken if now - item.at < BROKEN_SECONDS]
        self.quarantine.prune(now)

    def heartbeat_payload(self) -> bytes:
        """The ends for the next heartbeat."""
        now = self._clock()
        self._voided = [item for item in self._voided if now - item[0] < VOID_SEND_SECONDS]
        voided = [end for _, end in self._voided[-MAX_SENT_ENDS:]]
        return encode_ends((*self.quarantine.top_ends(MAX_SENT_ENDS), *voided), now)

    def apply_payload(self, source: str, data: bytes) -> None:
        """Merge the ends of a peer's heartbeat."""
        now = self._clock()
        ends = decode_ends(data, source, now)
        # Broadcasts the ends that are void here only.
        self._send_voided(self.quarantine.merge_ends(ends, now))
