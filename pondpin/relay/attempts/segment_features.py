"""The segments of prompts as features of the quarantine, and how frequent they are."""

from collections import Counter, deque
from collections.abc import Collection

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.relay.model import PromptSegments
from pondpin.request_identity import identify_segment

# Digests are computed again once so many are kept, 100 bytes each.
MAX_DIGESTS = 4096
COUNT_SECONDS = 0.25


class _Digests(dict[bytes, int]):
    """Digests by segment, computed at the first access."""

    def __init__(self, key: bytes) -> None:
        super().__init__()
        self._key = key

    def __missing__(self, segment: bytes) -> int:
        if len(self) >= MAX_DIGESTS:
            self.clear()
        digest = self[segment] = identify_segment(self._key, segment)
        return digest


class SegmentFeatures:
    """Digests of segments, and counts of them in the latest requests."""

    def __init__(
        self, key: bytes, recent: "deque[PromptSegments]", metrics: Metrics, clock: Clock
    ) -> None:
        self._recent = recent
        self._metrics = metrics
        self._clock = clock
        self._digest_by_id = _Digests(key)
        self._counted_at = float("-inf")
        self._counts: Counter[int] = Counter()

    def digests(self, segments: PromptSegments) -> tuple[int, ...]:
        """The digests of a prompt's segments."""
        if segments.digests is None:
            segments.digests = tuple(map(self._digest_by_id.__getitem__, segments.ids))
            if segments.left_out:
                self._metrics.segments_left_out.inc({}, segments.left_out)
        return segments.digests

    def recent_requests(self) -> int:
        """The size of the sample."""
        return len(self._recent)

    def recent_by_segment(self, wanted: Collection[int]) -> Counter[int]:
        """How many of the latest requests have each of some segments."""
        now = self._clock()
        is_known = all(segment in self._counts for segment in wanted)
        if not is_known or now - self._counted_at >= COUNT_SECONDS:
            self._counted_at = now
            self._counts = Counter(dict.fromkeys(wanted, 0))
            for segments in self._recent:
                self._counts.update(self._counts.keys() & set(self.digests(segments)))
        return self._counts
