"""Decides whether a request may go on: route, key, freshness and time."""

import math
from dataclasses import dataclass

import xxhash

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.choosing.routing import find_account, find_route, needs_key
from pondpin.relay.model import RelayConfiguration, RequestMetadata, Route
from pondpin.relay.published.freshness import Proof

# A missing route or key may be new: refusals are final while the version was proved this lately.
FRESH_PROOF_SECONDS = 1.9
# A caller comes back at once to an instance that may have heard what this one, alone, has not.
RETRY_SECONDS = 0.3
# While peers are heard and none has a proof, the source is away for all: callers come back spread
# over half to one and a half times this.
OUTAGE_RETRY_SECONDS = 1.4
HASH_RANGE = 1 << 32
# A caller that doesn't say how long it waits is served for this long at most.
DEFAULT_DEADLINE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """What an instance goes by when it admits.

    key_bound: seconds after its last proof for which the configuration admits keys; None when
    keys need no proof. hears_peers: whether any peer was heard lately. behind: for how many seconds
    a peer has had a newer configuration; behind_bound: for how many this may be.
    """

    configuration: RelayConfiguration | None
    proof: Proof | None
    max_proof_age: float | None
    has_live_peers: bool = False
    behind_seconds: float = 0.0
    max_behind_seconds: float = math.inf

    def proof_age(self, now: float) -> float:
        """Seconds since the version in force was proved."""
        return self.proof.age(now) if self.proof is not None else float("inf")

    def accepts_keys(self, now: float) -> bool:
        """Whether keys of the configuration in force may be served."""
        return self.max_proof_age is None or self.proof_age(now) < self.max_proof_age

    def retry_seconds(self, request: str) -> float:
        """When a request that no proof lets through had better come back."""
        if not self.has_live_peers:
            return RETRY_SECONDS
        share = xxhash.xxh32_intdigest(request.encode()) / HASH_RANGE
        return OUTAGE_RETRY_SECONDS * (0.5 + share)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may go on; rank 0 is the most urgent."""

    configuration: RelayConfiguration
    route: Route
    account: str
    rank: int
    timeout: float


def admit(beliefs: AdmissionState, facts: RequestMetadata, path: str, now: float) -> Admitted:
    """Admit a request, or raise PondpinError with a truthful 'not run'."""
    configuration = beliefs.configuration
    if configuration is None:
        raise PondpinError(Code.NOT_READY, retry_after=RETRY_SECONDS)
    route = find_route(configuration, facts.host, path)
    if route is None:
        raise _missing(Code.UNKNOWN_PATH, beliefs, facts, now)
    account, rank = "", route.priority
    if needs_key(configuration, route):
        found = find_account(configuration, facts.api_key)
        if found is None:
            raise _missing(Code.UNKNOWN_KEY, beliefs, facts, now)
        check_proof(beliefs, facts, now)
        account = found.name
        rank = route.priority if found.priority is None else found.priority
    seconds = DEFAULT_DEADLINE_SECONDS if facts.timeout is None else facts.timeout
    if route.timeout > 0:
        seconds = min(seconds, route.timeout)
    if seconds <= 0:
        raise PondpinError(Code.DEADLINE_IN_QUEUE)
    return Admitted(configuration, route, account, max(0, min(9, rank)), seconds)


def check_proof(beliefs: AdmissionState, facts: RequestMetadata, now: float) -> None:
    """Raise PondpinError when the last proof is too old to serve a key by."""
    if not beliefs.accepts_keys(now):
        detail = f"{beliefs.proof_age(now):.2f} s old"
        retry_after = beliefs.retry_seconds(facts.attempt_id)
        raise PondpinError(Code.NOT_PROVED, detail, retry_after=retry_after)


def check_not_behind(beliefs: AdmissionState) -> None:
    """Raise PondpinError when peers have had a newer configuration for too long.

    The operators count on it by then, and a peer that has it can serve the request. What was
    admitted before goes on.
    """
    if beliefs.behind_seconds >= beliefs.max_behind_seconds:
        detail = f"behind a newer configuration for {beliefs.behind_seconds:.2f} s"
        raise PondpinError(Code.NOT_PROVED, detail, retry_after=RETRY_SECONDS)


def _missing(
    code: Code, beliefs: AdmissionState, facts: RequestMetadata, now: float
) -> PondpinError:
    age = beliefs.proof_age(now)
    if age < FRESH_PROOF_SECONDS:
        return PondpinError(code)
    detail = f"{code.name}, but the configuration is {age:.2f} s old"
    retry_after = beliefs.retry_seconds(facts.attempt_id)
    return PondpinError(Code.NOT_PROVED, detail, retry_after=retry_after)
