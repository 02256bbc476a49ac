"""Exonerates segments of prompts by answers that began on them after an upstream's end.

While a segment is suspected, requests with it wait for this, so running answers are looked at often
and the result is broadcast at once.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from pondpin.quarantine import FeatureKind, NamedEnd
from pondpin.relay.attempts.run_tracker import Run, RunTracker
from pondpin.relay.attempts.segment_features import SegmentFeatures
from pondpin.relay.model import PromptSegments
from pondpin.relay.peers.quarantine_sync import QuarantineSync

SCAN_SECONDS = 0.02
# Scans go on for so long after the last end of a segment: longer than a short prompt's first event.
WATCH_SECONDS = 2.0
# Instances find the same exoneration at the same time: each waits up to this for each peer, so that
# most learn it before they would send it.
SPREAD_SECONDS_PER_PEER = 0.0005


class Exonerations:
    """Finds and broadcasts exonerations."""

    def __init__(
        self,
        quarantine_sync: QuarantineSync,
        tracker: RunTracker,
        features: SegmentFeatures,
        end_suspect_run: Callable[[Run], None],
        log_verdicts: Callable[[Iterable[int]], None],
    ) -> None:
        self._sync = quarantine_sync
        self._quarantine = quarantine_sync.quarantine
        self._tracker = tracker
        self._features = features
        self._end_suspect_run = end_suspect_run
        self._log_verdicts = log_verdicts
        self._rng = random.Random(quarantine_sync.boot)
        self._watch_until = float("-inf")
        self._is_scheduled = False
        # Not sent yet, by segment and life.
        self._pending: dict[tuple[int, int], NamedEnd] = {}

    def watch(self) -> None:
        """Look at the running answers for a while."""
        self._watch_until = self._tracker.clock() + WATCH_SECONDS
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(SCAN_SECONDS, self._step)

    def _step(self) -> None:
        self._is_scheduled = self._tracker.clock() < self._watch_until
        if self._is_scheduled:
            asyncio.get_running_loop().call_later(SCAN_SECONDS, self._step)
        self.scan()

    def scan(self) -> None:
        """Exonerate the segments of answers whose upstreams outlived their begin."""
        for runs in list(self._tracker.runs_by_life.values()):
            for run in runs:
                since = None if run.has_survived else run.survived_since()
                if since is not None and run.ended_at is None:
                    run.has_survived = True
                    self.record(run.segments, since)
                    self._end_suspect_run(run)

    def record(self, segments: PromptSegments, since: float) -> None:
        """Exonerate segments on which an answer began that has not ended its upstream."""
        if not segments or not self._quarantine.segments:
            return
        voided = self._quarantine.exonerate(self._features.digests(segments), since)
        if not voided:
            return
        if not self._pending:
            wait = self._rng.random() * SPREAD_SECONDS_PER_PEER * len(self._sync.hosts())
            asyncio.get_running_loop().call_later(wait, self._send)
        self._pending |= {(item.identity, item.end.life): item for item in voided}
        self._log_verdicts(item.identity for item in voided)

    def record_peer_ends(self, ends: Sequence[NamedEnd]) -> None:
        """Handle the ends of a peer; void ones need not be sent again."""
        for item in ends:
            if item.end.void:
                self._pending.pop((item.identity, item.end.life), None)
            elif item.end.kind is FeatureKind.SEGMENT:
                self.watch()

    def _send(self) -> None:
        sent, self._pending = tuple(self._pending.values()), {}
        if sent:
            self._sync.broadcast(sent)
