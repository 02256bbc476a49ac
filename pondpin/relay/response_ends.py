"""How responses of upstreams end, and what shows that they are complete."""

import asyncio
import enum
from collections.abc import Mapping, Sized
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from pondpin.body_ends import BodyEnd
from pondpin.network import Endpoint

MILLISECONDS = 1000


class ResponseEndFields(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How an upstream's response ended.

    framing, connection: see `pondpin.body_ends`. evidence, doubt: see Evidence and Doubt.
    silence_ms: from its last data to its end. evidence_ms: from its end to the evidence. leases: of
    the request; lease_ms: from the end to the first one's lapse, negative after it.
    """

    framing: str
    connection: str
    evidence: str
    doubt: str = ""
    evidence_ms: int = 0
    silence_ms: int = 0
    leases: int = 0
    lease_ms: int = 0


class Identity(enum.StrEnum):
    """What an upstream's address answers."""

    SAME = "same"
    OTHER = "other"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class LeaseGroup(Protocol):
    """The leases of a request."""

    @property
    def places(self) -> Sized:
        """Where they are."""
        ...

    @property
    def held_until(self) -> float:
        """When the first of them lapses without another renewal."""
        ...

    @property
    def releases(self) -> "Mapping[Endpoint, asyncio.Task[Identity]]":
        """By upstream: which life answers the release, sent after the end of the response."""
        ...


class Evidence(enum.StrEnum):
    """What shows that a response is complete.

    FRAMING: its length or last chunk. LAST_EVENT: all events that the request can have. SAME_LIFE:
    the upstream's life, and those that hold memory of the prompt, answered a request that was sent
    after the end.
    """

    NONE = "none"
    FRAMING = "framing"
    LAST_EVENT = "last_event"
    SAME_LIFE = "same_life"


class Doubt(enum.StrEnum):
    """Why a response that looks complete is not taken for it.

    UNSEEN: the response was not read for a while just before its end, so that a silence of its
    upstream may be hidden. OTHER_LIFE, REFUSED, NO_ANSWER: what answered at an upstream's
    address after the end.
    """

    NONE = ""
    LEASE_LAPSED = "lease_lapsed"
    STOOD_STILL = "stood_still"
    UNSEEN = "unseen"
    OTHER_LIFE = "other_life"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"

    @property
    def concerns_lives(self) -> bool:
        """Whether the life of an upstream may have ended."""
        return self in (Doubt.OTHER_LIFE, Doubt.REFUSED, Doubt.NO_ANSWER)


@dataclass(slots=True)
class ResponseEnd:
    """The end of a response; times are monotonic.

    last_data_at: when the last data before it came. events: with ids that were passed on, from the
    start or where the caller resumed; None for a plain response. held_until: when the first of the
    request's leases lapses without another renewal, None without leases. gap_ended_at: when
    the instance last began again to read the response, None if it always read. releases: of the
    leases, by upstream.
    """

    body: BodyEnd
    at: float
    last_data_at: float
    events: int | None = None
    evidence: Evidence = Evidence.NONE
    doubt: Doubt = Doubt.NONE
    evidence_at: float | None = None
    leases: int = 0
    held_until: float | None = None
    gap_ended_at: float | None = None
    releases: "Mapping[Endpoint, asyncio.Task[Identity]]" = field(default_factory=dict)

    def record_leases(self, group: LeaseGroup) -> None:
        """Record the state of the request's leases, which are being released."""
        self.leases = len(group.places)
        self.held_until = group.held_until
        self.releases = group.releases

    @property
    def labels(self) -> dict[str, str]:
        """Labels of a metric."""
        return {
            "framing": self.body.framing.value,
            "connection": self.body.connection.value,
            "evidence": self.evidence.value,
            "doubt": self.doubt.value,
        }

    def log_fields(self) -> ResponseEndFields:
        """Fields of a log line."""
        evidence_at = self.at if self.evidence_at is None else self.evidence_at
        held_until = self.at if self.held_until is None else self.held_until
        return ResponseEndFields(
            **self.labels,
            evidence_ms=round((evidence_at - self.at) * MILLISECONDS),
            silence_ms=round((self.at - self.last_data_at) * MILLISECONDS),
            leases=self.leases,
            lease_ms=round((held_until - self.at) * MILLISECONDS),
        )


def describe_end(
    body: BodyEnd, at: float, last_data_at: float, events: int | None = None
) -> ResponseEnd:
    """Describe the end of a response, whose framing may prove it complete."""
    evidence = Evidence.FRAMING if body.is_framed else Evidence.NONE
    return ResponseEnd(body, at, last_data_at, events, evidence)
