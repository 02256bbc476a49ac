"""Admits requests by route, key, age of the configuration and remaining time."""

import math
from dataclasses import dataclass

import xxhash

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.choosing.routing import find_account, find_route, needs_key
from pondpin.relay.model import RelayConfiguration, RequestMetadata, Route
from pondpin.relay.published.freshness import Proof, PublishedVersion, is_fresh

# An unknown route or key may be new: refusals are final only if the last proof is younger.
FRESH_PROOF_SECONDS = 1.9
# Short, as another instance may have a newer configuration.
RETRY_SECONDS = 0.3
# If peers are seen and none has a proof, the source is down for all instances: retries are spread
# over 0.5 to 1.5 times this.
OUTAGE_RETRY_SECONDS = 1.4
HASH_RANGE = 1 << 32
DEFAULT_DEADLINE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """The state by which requests are admitted.

    configuration: None before the first, or while the orders to evacuate data centres aren't known.
    max_proof_age: seconds after the last proof for which keys are accepted; None if keys need no
    proof. behind_seconds: for how long a peer has had a newer configuration.
    """

    configuration: RelayConfiguration | None
    proof: Proof | None
    max_proof_age: float | None
    has_live_peers: bool = False
    behind_seconds: float = 0.0
    max_behind_seconds: float = math.inf

    def proof_age(self, now: float) -> float:
        """Seconds since the last proof of the version in force."""
        return self.proof.age(now) if self.proof is not None else float("inf")

    def accepts_keys(self, now: float) -> bool:
        """Whether API keys are accepted."""
        return self.max_proof_age is None or self.proof_age(now) < self.max_proof_age

    def retry_seconds(self, request: str) -> float:
        """Retry delay of a request refused for lack of a proof."""
        if not self.has_live_peers:
            return RETRY_SECONDS
        share = xxhash.xxh32_intdigest(request.encode()) / HASH_RANGE
        return OUTAGE_RETRY_SECONDS * (0.5 + share)


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request; rank 0 is the most urgent."""

    configuration: RelayConfiguration
    route: Route
    account: str
    rank: int
    timeout: float


def admit(state: AdmissionState, metadata: RequestMetadata, path: str, now: float) -> Admitted:
    """Admit a request, or raise PondpinError that says 'not run'."""
    configuration = check_ready(state)
    route = find_route(configuration, metadata.host, path)
    if route is None:
        raise _not_found(Code.UNKNOWN_PATH, state, metadata, now)
    account, rank = "", route.priority
    if needs_key(configuration, route):
        found = find_account(configuration, metadata.api_key)
        if found is None:
            raise _not_found(Code.UNKNOWN_KEY, state, metadata, now)
        check_proof(state, metadata, now)
        account = found.name
        rank = route.priority if found.priority is None else found.priority
    seconds = DEFAULT_DEADLINE_SECONDS if metadata.timeout is None else metadata.timeout
    if route.timeout > 0:
        seconds = min(seconds, route.timeout)
    if seconds <= 0:
        raise PondpinError(Code.DEADLINE_IN_QUEUE)
    return Admitted(configuration, route, account, max(0, min(9, rank)), seconds)


def check_ready(state: AdmissionState) -> RelayConfiguration:
    """Return the configuration; raises PondpinError if requests can't be served yet."""
    if state.configuration is None:
        raise PondpinError(Code.NOT_READY, retry_after=RETRY_SECONDS)
    return state.configuration


def is_ready(state: AdmissionState, in_force: PublishedVersion, now: float) -> bool:
    """Whether requests can be admitted: the version in force is known, proved and not behind."""
    if state.configuration is None or state.behind_seconds >= state.max_behind_seconds:
        return False
    if state.max_proof_age is None:
        return True
    return is_fresh(state.proof, in_force, now, state.max_proof_age)


def check_proof(state: AdmissionState, metadata: RequestMetadata, now: float) -> None:
    """Raise PondpinError if the last proof is too old to accept keys."""
    if not state.accepts_keys(now):
        detail = f"{state.proof_age(now):.2f} s old"
        retry_after = state.retry_seconds(metadata.attempt_id)
        raise PondpinError(Code.NOT_PROVED, detail, retry_after=retry_after)


def check_not_behind(state: AdmissionState) -> None:
    """Raise PondpinError if peers have had a newer configuration for too long.

    Operators rely on it by then, and a peer that has it can serve the request. Requests admitted
    before continue.
    """
    if state.behind_seconds >= state.max_behind_seconds:
        detail = f"behind a newer configuration for {state.behind_seconds:.2f} s"
        raise PondpinError(Code.NOT_PROVED, detail, retry_after=RETRY_SECONDS)


def _not_found(
    code: Code, state: AdmissionState, metadata: RequestMetadata, now: float
) -> PondpinError:
    age = state.proof_age(now)
    if age < FRESH_PROOF_SECONDS:
        return PondpinError(code)
    detail = f"{code.name}, but the configuration is {age:.2f} s old"
    retry_after = state.retry_seconds(metadata.attempt_id)
    return PondpinError(Code.NOT_PROVED, detail, retry_after=retry_after)
