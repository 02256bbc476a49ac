"""One life of an upstream as this instance knows it: health, own and peers' work."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import xxhash

from pondpin.availability import Availability, BlockReason
from pondpin.health import Health, record_success
from pondpin.relay.model import EngineReport, ListedUpstream, Load
from pondpin.relay.upstreams.forecast import DecodeStreams, EngineLoad, PendingPrefill
from pondpin.relay.upstreams.work import (
    MS_PER_SECOND,
    WEIGHT_SCALE,
    DecodeStreamsDigest,
    PeerWork,
    Prefill,
    PrefillDigest,
    Work,
    WorkDigest,
    add_decode_streams,
    long_prefills_end,
    prefills_end,
)

if TYPE_CHECKING:
    from pondpin.relay.upstreams.long_prefills import ReceivedPrefill

# What an upstream told of its load in an answer counts for so many seconds.
TOLD_LOAD_SECONDS = 0.5
# A stream that is silent for so long after the known reading shows that its engine reads a prompt
# that no digest has named yet.
OWN_SILENCE_SECONDS = 0.15
PEER_SILENCE_SECONDS = 0.3
PEER_SILENCE_COUNTS_SECONDS = 0.6
# However long it was silent: the longest parts are read in 4 s or so.
MOST_SILENCE_SECONDS = 2.0
# Upstreams that fail requests at this rate are avoided: four in a row, or nearly half of many.
FAILURE_WEIGHT = 0.15
FAILING_RATE = 0.4
FAILURE_HALF_LIFE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class FailureRate:
    """The share of requests that failed lately; without requests it is forgotten."""

    rate: float = 0.0
    noted_at: float = 0.0

    def current(self, now: float) -> float:
        """The share as it counts now."""
        age = max(0.0, now - self.noted_at)
        return self.rate * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))

    def record(self, failed: bool, now: float) -> "FailureRate":
        """Count a request."""
        rate = self.current(now)
        return FailureRate(rate + FAILURE_WEIGHT * (float(failed) - rate), now)


@dataclass
class UpstreamState:
    """One life of an upstream; what is known of it ends with that life.

    ended: a later life has taken its place, so nothing more will come from this one.
    """

    listed: ListedUpstream
    order: int = 0
    # What its life said of itself; other states of the same life share it.
    standing: Availability = field(default_factory=Availability)
    ended: bool = False
    detects_silence: bool = True
    health: Health = field(default_factory=Health)
    needs_probe: bool = False
    probing: bool = False
    suspected_until: float = 0.0
    failure_rate: FailureRate = field(default_factory=lambda: FailureRate())
    reported_load: Load | None = None
    reported_load_at: float = 0.0
    last_seen_at: float = 0.0
    report: EngineReport | None = None
    report_at: float = float("-inf")
    work_by_key: dict[int, Work] = field(default_factory=dict)
    peer_work_by_instance: dict[str, PeerWork] = field(default_factory=dict)
    # Parts of long prompts that instances told of which may be in no digest here.
    peer_prefills_by_group: "dict[int, ReceivedPrefill]" = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The upstream's id."""
        return self.listed.id

    @property
    def life(self) -> int:
        """The number of this life among instances."""
        return self.listed.life

    @property
    def leaving(self) -> bool:
        """Whether its life is known to leave."""
        return self.standing.leaving is not None

    @property
    def is_limited(self) -> bool:
        """Whether it takes requests by permit only: it named a limit for all instances."""
        word = self.standing.limit
        return word is not None and word.limit is not None

    @property
    def limit(self) -> float:
        """The requests a second that it takes from all instances, -1 where it names none."""
        word = self.standing.limit
        return -1.0 if word is None or word.limit is None else word.limit

    def bar(self, now: float) -> BlockReason:
        """Why nothing new may be sent there by its own word, or the list's that it leaves."""
        return self.standing.block_reason(
            now, self.own_in_flight if self.standing.rest is not None else 0
        )

    def is_usable(self, now: float) -> bool:
        """Whether new work may go there."""
        return not self.bar(now) and self.looks_healthy(now)

    def looks_healthy(self, now: float) -> bool:
        """Whether it is neither ejected nor suspected; of all that aren't some are used all the
        same.
        """
        if self.needs_probe:
            return False
        return not self.health.is_ejected(now) and now >= self.suspected_until

    def in_flight(self, now: float) -> int:
        """Requests there, of this instance and of peers; what it told itself may be more."""
        known = self.own_in_flight + sum(item.work.in_flight for item in self._peer_work(now))
        if self.reported_load is not None and now - self.reported_load_at < TOLD_LOAD_SECONDS:
            return max(known, self.reported_load.running + self.reported_load.waiting)
        return known

    def is_busy(self, now: float) -> bool:
        """Whether an engine's silence is explained by what it is known to do."""
        load = self.load(now)
        if load.long_prefill_seconds > 0 or load.in_flight > self.listed.slots:
            return True
        return self.report is not None and self.report.waiting > 0

    @property
    def own_in_flight(self) -> int:
        """Requests of this instance there, each on a connection of its own."""
        return sum(1 for work in self.work_by_key.values() if work.decodes)

    def light_in_flight(self, now: float) -> int:
        """Light streams there."""
        own = sum(1 for work in self.work_by_key.values() if work.light and work.decodes)
        return own + sum(item.work.light for item in self._peer_work(now))

    def load(self, now: float) -> EngineLoad:
        """The upstream as an engine."""
        tokens = self._unknown_tokens(now)
        sums: dict[int, tuple[int, float]] = {}
        for work in self.work_by_key.values():
            tokens += work.tokens
            if work.decodes and work.has_first_event:
                add_decode_streams(sums, round(work.gap_target * MS_PER_SECOND), 1, work.weight)
        for item in self._peer_work(now):
            tokens += item.work.tokens
            for told in item.work.decode_streams:
                add_decode_streams(sums, told.gap_target, told.count, told.weight / WEIGHT_SCALE)
        writers = tuple(
            DecodeStreams(gap / MS_PER_SECOND, count, worth) for gap, (count, worth) in sums.items()
        )
        reads = self._reads(now)
        end = max(now, prefills_end(reads))
        return EngineLoad(
            in_flight=self.in_flight(now),
            prefill_seconds=max(end - now, self.unexplained_silence(reads, now)),
            pending=tuple(
                PendingPrefill(end - read.since, read.target, read.weight, read.group, read.parts)
                for read in reads
            ),
            tokens=tokens,
            decode_streams=writers,
            long_prefill_seconds=long_prefills_end(reads, end, now) - now,
        )

    def unexplained_silence(self, reads: Sequence[Prefill], now: float) -> float:
        """Seconds for which a stream here has been silent past what is known to be read.

        Something unheard is read there, probably for as long again. Known here of own streams and
        of what peers said of theirs a moment ago; a part of a prompt may be read and its stream
        still wait for other parts, so parts tell nothing.
        """
        if not self.detects_silence:
            return 0.0
        longest = 0.0
        if any(work.awaits_first_event for work in self.work_by_key.values()):
            longest = now - prefills_end(reads) - OWN_SILENCE_SECONDS
        for item in self._peer_work(now):
            if now - item.made_at > PEER_SILENCE_COUNTS_SECONDS:
                continue
            for read in item.work.prefills:
                if read.parts == 1:
                    silent = (read.age - read.duration) / MS_PER_SECOND
                    longest = max(longest, silent - PEER_SILENCE_SECONDS)
        return min(MOST_SILENCE_SECONDS, longest)

    def prefill_end(self, now: float) -> float:
        """When the reading that is known of should be over."""
        return prefills_end(self._reads(now))

    def _reads(self, now: float) -> list[Prefill]:
        reads = [work.prefill for work in self.work_by_key.values() if not work.has_first_event]
        for item in self._peer_work(now):
            reads += [
                Prefill(
                    item.made_at - read.age / MS_PER_SECOND,
                    read.duration / MS_PER_SECOND,
                    read.target / MS_PER_SECOND,
                    read.weight / WEIGHT_SCALE,
                    read.group,
                    read.parts,
                )
                for read in item.work.prefills
            ]
        if self.peer_prefills_by_group:
            known = {read.group for read in reads}
            reads += [
                heard.prefill for heard in self._heard(now) if heard.prefill.group not in known
            ]
        return reads

    def _heard(self, now: float) -> "list[ReceivedPrefill]":
        return [heard for heard in self.peer_prefills_by_group.values() if now < heard.expires_at]

    def _unknown_tokens(self, now: float) -> int:
        """Memory held by long prompts that no digest has told of."""
        if not self.peer_prefills_by_group:
            return 0
        known = {work.group for work in self.work_by_key.values()}
        for item in self._peer_work(now):
            known |= {read.group for read in item.work.prefills}
        heard = self._heard(now)
        return sum(item.tokens for item in heard if item.prefill.group not in known)

    def record_success(self, now: float) -> None:
        """It answered."""
        self.health = record_success(self.health, now)
        self.failure_rate = self.failure_rate.record(False, now)

    def record_probe_passed(self) -> None:
        """It was ejected and answered its liveness check."""
        self.needs_probe = False
        self.health = replace(self.health, failures=0)

    def record_prefill_end(self, key: int, now: float) -> None:
        """A reading is through: those behind it can't have begun before."""
        done = self.work_by_key.get(key)
        if done is None or done.has_first_event:
            return
        done.has_first_event = True
        for work in self.work_by_key.values():
            if not work.has_first_event and work.since < now:
                work.since = now

    def digest(self, now: float) -> WorkDigest | None:
        """This instance's work there, None when there is none."""
        if not self.work_by_key:
            return None
        sums: dict[int, tuple[int, float]] = {}
        for work in self.work_by_key.values():
            if work.decodes and work.has_first_event:
                add_decode_streams(sums, round(work.gap_target * MS_PER_SECOND), 1, work.weight)
        works = self.work_by_key.values()
        return WorkDigest(
            life=self.life,
            in_flight=sum(1 for work in works if work.decodes),
            light=sum(1 for work in works if work.decodes and work.light),
            tokens=sum(work.tokens for work in works),
            prefills=tuple(
                PrefillDigest(
                    round((now - work.since) * MS_PER_SECOND),
                    round(work.prefill_seconds * MS_PER_SECOND),
                    round(work.target * MS_PER_SECOND),
                    round(work.weight * WEIGHT_SCALE),
                    work.group,
                    work.parts,
                )
                for work in works
                if not work.has_first_event
            ),
            decode_streams=tuple(
                DecodeStreamsDigest(gap, count, round(worth * WEIGHT_SCALE))
                for gap, (count, worth) in sums.items()
            ),
        )

    def _peer_work(self, now: float) -> list[PeerWork]:
        items = self.peer_work_by_instance.values()
        return [item for item in items if now < item.expires_at]


def release_id(state: UpstreamState) -> int:
    """A number for the software that an upstream runs; 0 when it doesn't say."""
    release = state.listed.release
    return xxhash.xxh32_intdigest(release.encode()) if release else 0
