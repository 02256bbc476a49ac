"""Upstreams that end under a call of pondpin's own callers: who was there, and who may run.

The decision is `pondpin.quarantine`'s, as for relayed requests. An upstream's life is its
incarnation: a later one, or a refused connection, proves the end of the earlier one.
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

# A call that broke off is remembered until the next life of its upstream has been polled.
BROKEN_SECONDS = 10.0
# A second try waits so long for the answer of a connection to the upstream that broke off.
ANSWER_SECONDS = 0.06
# A suspect that another instance runs is refused, and comes back in this time.
RETRY_SECONDS = 0.5
# Ends that proved to say nothing are told for so long: several heartbeats reach every peer.
CLEARED_SECONDS = 5.0
# Ends that a heartbeat carries, 30 bytes each: those of the requests with the most.
MOST_TOLD = 32


@dataclass(frozen=True, slots=True)
class Broken:
    """A call that broke off at an incarnation of an upstream."""

    identity: int
    state: UpstreamState
    incarnation: int
    at: float

    @property
    def life(self) -> int:
        """A number for that life, the same at every instance."""
        return xxhash.xxh64_intdigest(f"{self.state.name}@{self.incarnation}".encode())


class CrashMonitor:
    """The quarantine of an instance with callers of its own."""

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        reach: Callable[[str, int], Awaitable[ConnectOutcome]],
        turn: TrialRank,
        spread: Callable[[], None],
        clock: Clock,
    ) -> None:
        self.quarantine = Quarantine()
        self._instance = instance
        self._fleet = fleet
        self._reach = reach
        self._turn = turn
        self._spread = spread
        self._clock = clock
        self._broken: list[Broken] = []
        # Ends that say nothing, and when that was found.
        self._cleared: list[tuple[float, NamedEnd]] = []

    def assess(self, identity: int) -> Assessment:
        """The verdict on a request now."""
        around = AssessmentContext(
            upstream_count=len(self._fleet.by_name), trial_rank=self._turn(identity)
        )
        return self.quarantine.assess(identity, self._clock(), around)

    def admit(self, identity: int) -> Assessment:
        """Let a request through to placement, or raise PondpinError."""
        now = self._clock()
        judgement = self.assess(identity)
        told = f"{len(judgement.ends)} upstreams ended while it ran there"
        if judgement.verdict is Verdict.QUARANTINED:
            left = max(RETRY_SECONDS, judgement.until - now)
            raise PondpinError(Code.QUARANTINED, told, retry_after=left)
        is_suspect = judgement.verdict is Verdict.SUSPECTED
        if is_suspect and self.quarantine.is_running(identity, now):
            raise PondpinError(Code.SUSPECTED, told, retry_after=RETRY_SECONDS)
        return judgement

    def begin_run(self, identity: int) -> None:
        """A suspect is about to run."""
        self.quarantine.begin_run(identity, self._instance, 0, self._clock())

    def end_run(self, identity: int) -> None:
        """Its run is over."""
        self.quarantine.end_run(identity, self._instance)

    def allows_retry(self, identity: int) -> bool:
        """Whether another upstream may follow one that broke off."""
        judgement = self.assess(identity)
        if judgement.verdict is Verdict.FREE:
            return True
        return judgement.verdict is Verdict.SUSPECTED and judgement.allows_retry

    def record_success(self, identity: int) -> None:
        """A request ended whole."""
        self._tell_cleared(self.quarantine.record_success(identity, self._clock()))

    def _tell_cleared(self, ends: Iterable[NamedEnd]) -> None:
        now = self._clock()
        found = [(now, item) for item in ends]
        if found:
            self._cleared += found
            self._spread()

    async def check_liveness(self, identity: int, states: Iterable[UpstreamState]) -> None:
        """A call broke off: find out whether an upstream's life has ended."""
        now = self._clock()
        staying = [state for state in states if not state.leaving]
        broken = [Broken(identity, state, state.incarnation, now) for state in staying]
        self._broken += broken
        looks = [asyncio.ensure_future(self._look(item)) for item in broken]
        if looks:
            await asyncio.wait(looks, timeout=ANSWER_SECONDS)

    async def _look(self, broken: Broken) -> None:
        place = parse_endpoint(broken.state.upstream.address)
        if await self._reach(place.host, place.port) is ConnectOutcome.REFUSED:
            self._note_end(broken)

    def _note_end(self, broken: Broken) -> None:
        if broken not in self._broken:
            return
        self._broken.remove(broken)
        end = LifeEnd(broken.life, broken.at, source=self._instance)
        if not self.quarantine.record_end(broken.identity, end):
            return
        judgement = self.assess(broken.identity)
        logging.info(
            "upstream %s ended under request %s: %s, %d ends",
            broken.state.name,
            format_identity(broken.identity),
            judgement.verdict.value,
            len(judgement.ends),
        )
        self._spread()

    def refresh(self) -> None:
        """See which upstreams live anew, and forget what lapsed."""
        now = self._clock()
        for broken in list(self._broken):
            if broken.state.incarnation != broken.incarnation:
                self._note_end(broken)
        self._broken = [item for item in self._broken if now - item.at < BROKEN_SECONDS]
        self.quarantine.prune(now)

    def heartbeat_payload(self) -> bytes:
        """What a heartbeat carries."""
        now = self._clock()
        self._cleared = [item for item in self._cleared if now - item[0] < CLEARED_SECONDS]
        cleared = [end for _, end in self._cleared[-MOST_TOLD:]]
        return encode_ends((*self.quarantine.top_ends(MOST_TOLD), *cleared), now)

    def apply_payload(self, source: str, data: bytes) -> None:
        """Take what a peer's heartbeat carried."""
        now = self._clock()
        ends = decode_ends(data, source, now)
        # What the peer believes and is void here.
        self._tell_cleared(self.quarantine.merge_ends(ends, now))
