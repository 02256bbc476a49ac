"""Verdicts on requests by the ends of upstream lives that count against their features.

After one end a feature is suspected: it runs at one upstream at a time, apart from others. Three
quarantine it: it runs nowhere for a period, then in single trials at growing intervals. A request
is judged by its worst feature.

Most requests at an upstream that ends are innocent, so an end does not count against a request

- that had been answered there for a while or was in its prefill, when another had just begun;
- that shares it with a request that has more ends, or has a quarantined segment;
- when many other lives ended at the same time, as in the loss of a rack or of a service's power;
- that has completed at some upstream recently, or does so later.

A segment may be in most prompts and turn deadly at any moment, so only answers that begin on it
after an end void that end. Its ends are compared with those of the other segments there, as in
spectrum-based fault localization: the segments with most ends are to blame, among equals those
that are much rarer in other requests. Ends that follow one another closely, as in the loss of a
rack, are one round: a frequent segment is then held back for the evidence of running answers, until
a single run, whose end is another round, proves it.

An end of a request that had not just begun doesn't suspect its features, but three quarantine them.
"""

import itertools
from collections.abc import Iterable

from pondpin.quarantine import (
    ENDS_TO_QUARANTINE,
    FREE,
    SEGMENT_QUARANTINE_SECONDS,
    SETTLE_SECONDS,
    SUSPICION_SECONDS,
    Assessment,
    AssessmentContext,
    FeatureKind,
    LifeEnd,
    Quarantine,
    Verdict,
    quarantine_seconds,
)

# After a quarantine the instances may run trials in turn at this interval, so that the end of one
# trial's upstream is broadcast before the next trial.
TRIAL_INTERVAL_SECONDS = 5.0
# The same for the short first quarantines of a segment; an end is broadcast within 0.5 s.
EARLY_TRIAL_INTERVAL_SECONDS = 0.5
# Lives of a rack or a service that loses power end within this time; a deadly request takes 0.1 s
# and more from one upstream to the next.
CORRELATED_SECONDS = 0.35
# More other lives than this, and than this share of the service's, are a common failure.
CORRELATED_LIVES = 2
CORRELATED_SHARE = 0.25
# A segment is frequent if it is in this share of a sample of requests, or the sample is smaller
# than this.
FREQUENT_SHARE = 0.25
FREQUENT_SAMPLE = 16
# Other answers begin on a frequent segment all the time: one end does not hold it back.
FREQUENT_ENDS = 2
# A frequent segment is not blamed beside one with as many ends that is so many times rarer.
RARER_RATIO = 4
# Requests with several suspected features wait so much longer for each, so that those with fewer,
# which tell more, run first.
FEATURE_DELAY_SECONDS = 0.05
# A longer time between two ends separates two rounds. A run after the first round waits as long.
ROUND_GAP_SECONDS = 0.35
# Up to so many ends, segments that only ever ended upstreams together are tried apart.
MAX_SEPARATED_ENDS = 5


def assess_request(
    quarantine: Quarantine,
    identity: int,
    segments: tuple[int, ...],
    now: float,
    context: AssessmentContext,
) -> Assessment:
    """Whether a request may run now, by the worst of its features."""
    found = [_assess_identity(quarantine, identity, now, context)]
    found += [
        assess_segment(quarantine, segment, segments, now, context)
        for segment in segments
        if segment in quarantine.segments
    ]
    held = [item for item in found if item.verdict is Verdict.QUARANTINED]
    if held:
        return max(held, key=lambda item: item.until)
    suspected = [item for item in found if item.verdict is Verdict.SUSPECTED]
    return _combine(suspected) if suspected else FREE


def _combine(suspected: list[Assessment]) -> Assessment:
    """One assessment of all suspected features of a request."""
    worst = max(suspected, key=lambda item: len(item.ends))
    return Assessment(
        Verdict.SUSPECTED,
        worst.ends,
        worst.until,
        frozenset().union(*(item.failed_releases for item in suspected)),
        tuple(feature for item in suspected for feature in item.features),
        max(item.earliest_run_at for item in suspected)
        + FEATURE_DELAY_SECONDS * (len(suspected) - 1),
    )


def _assess_identity(
    quarantine: Quarantine, identity: int, now: float, context: AssessmentContext
) -> Assessment:
    valid = quarantine.valid_ends(identity)
    own = {end.life for end in valid}
    ends = _in_order(
        end
        for end in valid
        if not _is_explained(quarantine, identity, end, len(valid), context)
        and not _is_correlated(quarantine, end, own, context.upstream_count)
    )
    if not ends:
        return FREE
    if len(ends) < ENDS_TO_QUARANTINE:
        return _suspect(identity, ends, now)
    return _assess_many(identity, ends, now, context)


def assess_segment(
    quarantine: Quarantine,
    segment: int,
    segments: tuple[int, ...],
    now: float,
    context: AssessmentContext,
) -> Assessment:
    """The verdict on a segment in a request with some segments."""
    ends = _counted_segment_ends(quarantine, segment, context)
    if not ends:
        return FREE
    if _is_proved(segment, ends, context):
        found = _assess_many(segment, ends, now, context)
        is_held = found.verdict is Verdict.QUARANTINED
        if is_held and _is_separating(quarantine, segment, ends, segments):
            return Assessment(Verdict.SUSPECTED, ends, found.until, features=(segment,))
        return found
    if len(ends) < FREQUENT_ENDS and _is_frequent(segment, context):
        return FREE
    return _suspect(segment, ends, now)


def has_recent_end(
    quarantine: Quarantine, segment: int, life: int, context: AssessmentContext
) -> bool:
    """Whether an answer on a segment may have ended a life, and none has begun on it since."""
    return any(
        end.life == life and not end.unlikely
        for end in _counted_segment_ends(quarantine, segment, context)
    )


def _suspect(feature: int, ends: tuple[LifeEnd, ...], now: float) -> Assessment:
    is_likely = any(not end.unlikely for end in ends)
    if not is_likely or now - ends[-1].at >= SUSPICION_SECONDS:
        return FREE
    is_many = len(ends) >= ENDS_TO_QUARANTINE
    earliest = ends[-1].at + (ROUND_GAP_SECONDS if is_many else SETTLE_SECONDS)
    return Assessment(Verdict.SUSPECTED, ends, features=(feature,), earliest_run_at=earliest)


def _assess_many(
    feature: int, ends: tuple[LifeEnd, ...], now: float, context: AssessmentContext
) -> Assessment:
    """Quarantine a feature with enough ends, or allow a trial."""
    further = len(ends) - ENDS_TO_QUARANTINE
    until = ends[-1].at + quarantine_seconds(len(ends), ends[-1].kind)
    features = (feature,)
    is_early = ends[-1].kind is FeatureKind.SEGMENT and further < len(SEGMENT_QUARANTINE_SECONDS)
    interval = EARLY_TRIAL_INTERVAL_SECONDS if is_early else TRIAL_INTERVAL_SECONDS
    if now >= until + context.trial_rank * interval:
        return Assessment(Verdict.SUSPECTED, ends, until, features=features)
    failed = frozenset(end.release for end in ends)
    if context.trial_rank == 0 and 0 not in failed and context.releases - failed:
        # One instance runs a trial on new software.
        return Assessment(Verdict.SUSPECTED, ends, until, failed, features)
    return Assessment(Verdict.QUARANTINED, ends, until, features=features)


def _in_order(ends: Iterable[LifeEnd]) -> tuple[LifeEnd, ...]:
    return tuple(sorted(ends, key=lambda end: end.at))


def _is_explained(
    quarantine: Quarantine, identity: int, end: LifeEnd, own_ends: int, context: AssessmentContext
) -> bool:
    """Whether another request there, or a segment, is the more likely cause."""
    for other in quarantine.identities_by_life.get(end.life, set()) - {identity}:
        theirs = quarantine.ends_by_identity[other].get(end.life)
        if theirs is None or theirs.void:
            continue
        if theirs.kind is FeatureKind.SEGMENT:
            ends = _in_order(quarantine.valid_ends(other))
            is_proved = _is_proved(other, ends, context)
            if is_proved and not _is_deadly_without(quarantine, identity, other):
                return True
            continue
        if end.unlikely and not theirs.unlikely:
            return True
        if not theirs.unlikely and len(quarantine.valid_ends(other)) > own_ends:
            return True
    return False


def _is_correlated(
    quarantine: Quarantine, end: LifeEnd, own: set[int], upstream_count: int
) -> bool:
    """Whether many lives without the request ended at the same time."""
    limit = max(CORRELATED_LIVES, CORRELATED_SHARE * upstream_count)
    others = 0
    for life, features in quarantine.identities_by_life.items():
        if life not in own and _ended_near(quarantine, life, features, end.at):
            others += 1
    return others > limit


def _ended_near(quarantine: Quarantine, life: int, features: Iterable[int], at: float) -> bool:
    """Whether a life ended about then without running a deadly request."""
    is_near = False
    for feature in features:
        theirs = quarantine.ends_by_identity[feature][life]
        valid = quarantine.valid_ends(feature)
        if theirs.kind is FeatureKind.SEGMENT:
            if not theirs.void and _has_two_rounds(_in_order(valid)):
                return False
            is_near = is_near or abs(theirs.at - at) <= CORRELATED_SECONDS
            continue
        if len(valid) >= ENDS_TO_QUARANTINE:
            return False
        is_near = is_near or abs(theirs.at - at) <= CORRELATED_SECONDS
    return is_near


def _counted_segment_ends(
    quarantine: Quarantine, segment: int, context: AssessmentContext
) -> tuple[LifeEnd, ...]:
    """The ends that count against a segment, in order of time."""
    valid = quarantine.valid_ends(segment)
    return _in_order(
        end for end in valid if not _is_segment_explained(quarantine, segment, end, context)
    )


def _is_segment_explained(
    quarantine: Quarantine, segment: int, end: LifeEnd, context: AssessmentContext
) -> bool:
    """Whether another segment there, or a request without it, is the more likely cause."""
    is_frequent = _is_frequent(segment, context)
    own_ends = len(quarantine.valid_ends(segment))
    for other in quarantine.identities_by_life.get(end.life, set()) - {segment}:
        theirs = quarantine.ends_by_identity[other].get(end.life)
        if theirs is None or theirs.void or theirs.unlikely:
            continue
        if theirs.kind is FeatureKind.REQUEST:
            if _is_deadly_without(quarantine, other, segment):
                return True
            continue
        if end.unlikely:
            return True
        ends = len(quarantine.valid_ends(other))
        # A frequent one has more ends by chance, until answers begin on it.
        if ends > own_ends and (is_frequent or not _is_frequent(other, context)):
            return True
        if ends == own_ends and is_frequent and _is_rarer(other, segment, context):
            return True
    return False


def _is_deadly_without(quarantine: Quarantine, identity: int, segment: int) -> bool:
    """Whether a request has enough ends, some of them without a segment, so that it lacks it."""
    lives = {end.life for end in quarantine.valid_ends(identity)}
    own = {end.life for end in quarantine.valid_ends(segment)}
    return len(lives) >= ENDS_TO_QUARANTINE and not lives <= own


def _is_frequent(segment: int, context: AssessmentContext) -> bool:
    """Whether a segment may be in many requests, as far as a large enough sample tells."""
    if context.recent_requests < FREQUENT_SAMPLE:
        return True
    recent = context.recent_by_segment.get(segment, 0)
    return recent >= FREQUENT_SHARE * context.recent_requests


def _is_rarer(segment: int, other: int, context: AssessmentContext) -> bool:
    """Whether a segment is known to be much rarer than another."""
    if context.recent_requests < FREQUENT_SAMPLE:
        return False
    recent = context.recent_by_segment
    return recent.get(segment, 0) * RARER_RATIO <= recent.get(other, 0)


def _is_proved(segment: int, ends: tuple[LifeEnd, ...], context: AssessmentContext) -> bool:
    """Whether a segment has enough ends; ends: in order of time.

    In one round they are enough only for a segment that is known to be rare, after a run alone.
    """
    if len(ends) < ENDS_TO_QUARANTINE:
        return False
    is_tried = any(end.trial for end in ends)
    return _has_two_rounds(ends) or (is_tried and not _is_frequent(segment, context))


def _has_two_rounds(ends: tuple[LifeEnd, ...]) -> bool:
    if len(ends) < ENDS_TO_QUARANTINE:
        return False
    return any(later.at - end.at > ROUND_GAP_SECONDS for end, later in itertools.pairwise(ends))


def _is_separating(
    quarantine: Quarantine, segment: int, ends: tuple[LifeEnd, ...], segments: tuple[int, ...]
) -> bool:
    """Whether a request tells a quarantined segment from another one that was at all its ends."""
    if len(ends) >= MAX_SEPARATED_ENDS:
        return False
    together = set.intersection(
        *(set(quarantine.identities_by_life.get(end.life, ())) for end in ends)
    )
    return any(
        other not in segments
        and other in quarantine.segments
        and all(not quarantine.ends_by_identity[other][end.life].void for end in ends)
        for other in together - {segment}
    )
