"""State of one life of an upstream: health, own work and work of peers."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import xxhash

from pondpin.availability import Availability, BlockReason
from pondpin.health import Health, record_success
from pondpin.network import Endpoint
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

# Lifetime of a load that an upstream reported in an answer.
REPORTED_LOAD_SECONDS = 0.5
# A stream silent this long after the forecast end of all known prefills reveals an unreported one.
OWN_SILENCE_SECONDS = 0.15
PEER_SILENCE_SECONDS = 0.3
PEER_SILENCE_MAX_AGE_SECONDS = 0.6
# Bound of the estimate: the longest parts take about 4 s.
MAX_SILENCE_SECONDS = 2.0
# Upstreams with this failure rate are avoided: four failures in a row, or nearly half of many.
FAILURE_WEIGHT = 0.15
FAILING_RATE = 0.4
FAILURE_HALF_LIFE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class FailureRate:
    """Share of recent requests that failed; decays without requests."""

    rate: float = 0.0
    updated_at: float = 0.0

    def current(self, now: float) -> float:
        """The decayed share."""
        age = max(0.0, now - self.updated_at)
        return self.rate * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))

    def record(self, failed: bool, now: float) -> "FailureRate":
        """Count a request."""
        rate = self.current(now)
        return FailureRate(rate + FAILURE_WEIGHT * (float(failed) - rate), now)


@dataclass
class UpstreamState:
    """State of one life of an upstream.

    ended: a later life has replaced it, so it answers no more.
    """

    listed: ListedUpstream
    order: int = 0
    # Shared by all states of the same life.
    availability: Availability = field(default_factory=Availability)
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
    # Announced parts of long prompts, also those that are in a digest.
    peer_prefills_by_group: "dict[int, ReceivedPrefill]" = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The upstream's id."""
        return self.listed.id

    @property
    def life(self) -> int:
        """The number of this life, the same on all instances."""
        return self.listed.life

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens."""
        return Endpoint(self.listed.host, self.listed.port)

    @property
    def leaving(self) -> bool:
        """Whether this life is known to be shutting down."""
        return self.availability.leaving is not None

    @property
    def is_limited(self) -> bool:
        """Whether it reported a limit for all instances or is cold: requests need permits."""
        stated = self.availability.limit
        return self.is_cold or (stated is not None and stated.limit is not None)

    @property
    def is_cold(self) -> bool:
        """Whether it has just started and bears few requests."""
        return self.availability.cold_rate is not None

    @property
    def limit(self) -> float:
        """Its limit in requests/s of all instances, -1 without one."""
        report, cold_rate = self.availability.limit, self.availability.cold_rate
        stated = None if report is None else report.limit
        limits = [limit for limit in (stated, cold_rate) if limit is not None]
        return min(limits, default=-1.0)

    def block_reason(self, now: float) -> BlockReason:
        """Why it must not get new requests: it is leaving, rests, or starts slowly after a rest."""
        return self.availability.block_reason(
            now, self.own_in_flight if self.availability.rest is not None else 0
        )

    def is_usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return not self.block_reason(now) and self.looks_healthy(now)

    def looks_healthy(self, now: float) -> bool:
        """Whether it is neither ejected nor suspected."""
        if self.needs_probe:
            return False
        return not self.health.is_ejected(now) and now >= self.suspected_until

    def in_flight(self, now: float) -> int:
        """Requests of all instances, or the load it reported if that is more."""
        known = self.own_in_flight + sum(item.work.in_flight for item in self._peer_work(now))
        if self.reported_load is not None and self.reports_load(now):
            return max(known, self.reported_load.running + self.reported_load.waiting)
        return known

    def reports_load(self, now: float) -> bool:
        """Whether it reported its load just now."""
        return now - self.reported_load_at < REPORTED_LOAD_SECONDS

    def is_busy(self, now: float) -> bool:
        """Whether an engine's known work explains its silence."""
        load = self.load(now)
        if load.long_prefill_seconds > 0 or load.in_flight > self.listed.slots:
            return True
        return self.report is not None and self.report.waiting > 0

    @property
    def own_in_flight(self) -> int:
        """Requests of this instance, each on its own connection."""
        return sum(1 for work in self.work_by_key.values() if work.decodes)

    def light_in_flight(self, now: float) -> int:
        """Light streams of all instances."""
        own = sum(1 for work in self.work_by_key.values() if work.light and work.decodes)
        return own + sum(item.work.light for item in self._peer_work(now))

    def load(self, now: float) -> EngineLoad:
        """Its load as an engine, for forecasts."""
        tokens = self._unknown_tokens(now)
        sums: dict[int, tuple[int, float]] = {}
        for work in self.work_by_key.values():
            tokens += work.tokens
            if work.decodes and work.has_first_event:
                add_decode_streams(sums, round(work.gap_target * MS_PER_SECOND), 1, work.weight)
        for peer in self._peer_work(now):
            tokens += peer.work.tokens
            for entry in peer.work.decode_streams:
                add_decode_streams(sums, entry.gap_target, entry.count, entry.weight / WEIGHT_SCALE)
        decode_streams = tuple(
            DecodeStreams(gap / MS_PER_SECOND, count, weight)
            for gap, (count, weight) in sums.items()
        )
        prefills = self._prefills(now)
        end = max(now, prefills_end(prefills))
        return EngineLoad(
            in_flight=self.in_flight(now),
            prefill_seconds=max(end - now, self.unexplained_silence(prefills, now)),
            pending=tuple(
                PendingPrefill(end - item.since, item.target, item.weight, item.group, item.parts)
                for item in prefills
            ),
            tokens=tokens,
            decode_streams=decode_streams,
            long_prefill_seconds=long_prefills_end(prefills, end, now) - now,
        )

    def unexplained_silence(self, prefills: Sequence[Prefill], now: float) -> float:
        """Seconds for which a stream has been silent beyond the end of the known prefills.

        The engine then runs an unreported prefill, which probably lasts as long again. Divided
        prompts don't count: their streams also wait for other parts.
        """
        if not self.detects_silence:
            return 0.0
        longest = 0.0
        if any(work.awaits_first_event for work in self.work_by_key.values()):
            longest = now - prefills_end(prefills) - OWN_SILENCE_SECONDS
        for item in self._peer_work(now):
            if now - item.made_at > PEER_SILENCE_MAX_AGE_SECONDS:
                continue
            for prefill in item.work.prefills:
                if prefill.parts == 1:
                    silent = (prefill.age - prefill.duration) / MS_PER_SECOND
                    longest = max(longest, silent - PEER_SILENCE_SECONDS)
        return min(MAX_SILENCE_SECONDS, longest)

    def prefill_end(self, now: float) -> float:
        """When the known prefills should be over."""
        return prefills_end(self._prefills(now))

    def _prefills(self, now: float) -> list[Prefill]:
        prefills = [work.prefill for work in self.work_by_key.values() if not work.has_first_event]
        for peer in self._peer_work(now):
            prefills += [
                Prefill(
                    peer.made_at - item.age / MS_PER_SECOND,
                    item.duration / MS_PER_SECOND,
                    item.target / MS_PER_SECOND,
                    item.weight / WEIGHT_SCALE,
                    item.group,
                    item.parts,
                )
                for item in peer.work.prefills
            ]
        if self.peer_prefills_by_group:
            known = {item.group for item in prefills}
            prefills += [
                part.prefill for part in self._peer_prefills(now) if part.prefill.group not in known
            ]
        return prefills

    def _peer_prefills(self, now: float) -> "list[ReceivedPrefill]":
        return [part for part in self.peer_prefills_by_group.values() if now < part.expires_at]

    def _unknown_tokens(self, now: float) -> int:
        """Tokens of announced long prompts that no digest contains."""
        if not self.peer_prefills_by_group:
            return 0
        known = {work.group for work in self.work_by_key.values()}
        for item in self._peer_work(now):
            known |= {prefill.group for prefill in item.work.prefills}
        received = self._peer_prefills(now)
        return sum(item.tokens for item in received if item.prefill.group not in known)

    def record_success(self, now: float) -> None:
        """Record an answered request."""
        self.health = record_success(self.health, now)
        self.failure_rate = self.failure_rate.record(False, now)

    def record_probe_passed(self) -> None:
        """Record a passed liveness check after an ejection."""
        self.needs_probe = False
        self.health = replace(self.health, failures=0)

    def record_prefill_end(self, key: int, now: float) -> None:
        """Record the end of a prefill, the earliest start of those queued behind it."""
        done = self.work_by_key.get(key)
        if done is None or done.has_first_event:
            return
        done.has_first_event = True
        for work in self.work_by_key.values():
            if not work.has_first_event and work.since < now:
                work.since = now

    def digest(self, now: float) -> WorkDigest | None:
        """This instance's work on it, if any."""
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
                DecodeStreamsDigest(gap, count, round(weight * WEIGHT_SCALE))
                for gap, (count, weight) in sums.items()
            ),
        )

    def _peer_work(self, now: float) -> list[PeerWork]:
        items = self.peer_work_by_instance.values()
        return [item for item in items if now < item.expires_at]


def release_id(state: UpstreamState) -> int:
    """A hash of the software release of an upstream, 0 if unknown."""
    release = state.listed.release
    return xxhash.xxh32_intdigest(release.encode()) if release else 0
