"""Records of decisions: compact, in bounded memory, and told in plain sentences."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

CANDIDATES_KEPT = 6


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that was compared, with its prediction in seconds."""

    upstream: str
    first_token: float
    finish: float
    score: float
    fits: bool


class Placed(msgspec.Struct, frozen=True, tag=True):
    """The request went to upstreams; at is seconds since its arrival."""

    at: float
    upstreams: tuple[str, ...]
    policy: str
    candidates: tuple[Candidate, ...]


class Waited(msgspec.Struct, frozen=True, tag=True):
    """The request waited in the queue, and why."""

    at: float
    seconds: float
    cause: str


class AttemptFailed(msgspec.Struct, frozen=True, tag=True):
    """An attempt failed, and what came next."""

    at: float
    upstream: str
    cause: str
    next_step: str


class Ended(msgspec.Struct, frozen=True, tag=True):
    """The request ended with a code."""

    at: float
    code: int
    name: str
    detail: str
    ran: str


Event = Placed | Waited | AttemptFailed | Ended


class Decision(msgspec.Struct, kw_only=True):
    """All that was decided about one request; it holds no prompt, key or token."""

    request: str
    instance: str
    account: str = ""
    length_class: str = ""
    model: str = ""
    prompt_tokens: int = 0
    rule: str = ""
    allowed: float = 0.0
    revision: int = 0
    arrived: float = 0.0
    events: list[Event] = []


@dataclass
class DecisionLog:
    """The last decisions, by request."""

    kept: int
    by_request: OrderedDict[str, Decision] = field(default_factory=OrderedDict)

    def add(self, decision: Decision) -> None:
        """Keep a decision; the oldest goes when there are too many."""
        self.by_request[decision.request] = decision
        while len(self.by_request) > self.kept:
            self.by_request.popitem(last=False)

    def find(
        self, request: str, account: str, upstream: str, refused: bool, limit: int
    ) -> list[Decision]:
        """The newest decisions that fit all that is asked; empty texts ask nothing."""
        if request:
            found = self.by_request.get(request)
            return [found] if found is not None else []
        fitting: list[Decision] = []
        for decision in reversed(self.by_request.values()):
            if account and decision.account != account:
                continue
            if upstream and not _touched(decision, upstream):
                continue
            if refused and not _was_refused(decision):
                continue
            fitting.append(decision)
            if len(fitting) == limit:
                break
        return fitting


def _touched(decision: Decision, upstream: str) -> bool:
    return any(
        isinstance(event, Placed) and upstream in event.upstreams for event in decision.events
    )


def _was_refused(decision: Decision) -> bool:
    return any(
        isinstance(event, Ended) and event.ran == "not run" and event.code != 0
        for event in decision.events
    )


def tell(decision: Decision) -> list[str]:
    """The decision in sentences, one a line."""
    lines = [
        f"Request {decision.request} of account {decision.account or 'unknown'} came to"
        f" {decision.instance}: class {decision.length_class or 'none'},"
        f" {decision.prompt_tokens} prompt tokens, model {decision.model or 'none'}."
    ]
    if decision.rule:
        lines.append(
            f"Rule {decision.rule!r} of revision {decision.revision} took it and allows it"
            f" {decision.allowed:g} s."
        )
    return lines + [_tell_event(event) for event in decision.events]


def _tell_event(event: Event) -> str:
    match event:
        case Placed():
            text = f"At {event.at:.3f} s it went to {', '.join(event.upstreams)} ({event.policy})."
            if event.candidates:
                text += " Compared: " + "; ".join(map(_tell_candidate, event.candidates)) + "."
            return text
        case Waited():
            return f"It waited {event.seconds:.3f} s in the queue: {event.cause}."
        case AttemptFailed():
            return (
                f"At {event.at:.3f} s the attempt on {event.upstream} failed"
                f" ({event.cause}); next: {event.next_step}."
            )
        case Ended():
            detail = f" ({event.detail})" if event.detail else ""
            return (
                f"At {event.at:.3f} s it ended with {event.code} {event.name}{detail};"
                f" outcome: {event.ran}."
            )


def _tell_candidate(candidate: Candidate) -> str:
    fits = "" if candidate.fits else ", memory full"
    return (
        f"{candidate.upstream} first token {candidate.first_token:.3f} s,"
        f" end {candidate.finish:.3f} s, score {candidate.score:.3f}{fits}"
    )
