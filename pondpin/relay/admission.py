"""Decides whether a request may go on: route, key, freshness and time."""

from dataclasses import dataclass

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.freshness import Proof
from pondpin.relay.model import RelayConfiguration, RequestFacts, Route
from pondpin.relay.routing import find_account, find_route, needs_key

# A route or key may be missing here because it is new: 'no' is only final while the version
# was proved this lately.
SURE_SECONDS = 1.9
# A caller is told to come back once another instance or a new proof may have helped.
RETRY_SECONDS = 0.3
# A caller that doesn't say how long it waits is served for this long at most.
DEFAULT_DEADLINE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Beliefs:
    """What an instance goes by when it admits.

    key_bound: seconds after its last proof for which the configuration admits keys; None when
    keys need no proof.
    """

    configuration: RelayConfiguration | None
    proof: Proof | None
    key_bound: float | None

    def proof_age(self, now: float) -> float:
        """Seconds since the version in force was proved."""
        return self.proof.age(now) if self.proof is not None else float("inf")

    def accepts_keys(self, now: float) -> bool:
        """Whether keys of the configuration in force may be served."""
        return self.key_bound is None or self.proof_age(now) < self.key_bound


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may go on; rank 0 is the most urgent."""

    configuration: RelayConfiguration
    route: Route
    account: str
    rank: int
    seconds: float


def admit(beliefs: Beliefs, facts: RequestFacts, path: str, now: float) -> Admitted:
    """Admit a request, or raise PondpinError with a truthful 'not run'."""
    configuration = beliefs.configuration
    if configuration is None:
        raise PondpinError(Code.NOT_READY, retry_after=RETRY_SECONDS)
    age = beliefs.proof_age(now)
    route = find_route(configuration, facts.host, path)
    if route is None:
        raise _missing(Code.UNKNOWN_PATH, age)
    account, rank = "", route.priority
    if needs_key(configuration, route):
        found = find_account(configuration, facts.key)
        if found is None:
            raise _missing(Code.UNKNOWN_KEY, age)
        check_proof(beliefs, now)
        account = found.name
        rank = route.priority if found.priority is None else found.priority
    seconds = DEFAULT_DEADLINE_SECONDS if facts.deadline is None else facts.deadline
    if route.timeout > 0:
        seconds = min(seconds, route.timeout)
    if seconds <= 0:
        raise PondpinError(Code.DEADLINE_IN_QUEUE)
    return Admitted(configuration, route, account, max(0, min(9, rank)), seconds)


def check_proof(beliefs: Beliefs, now: float) -> None:
    """Raise PondpinError when the last proof is too old to serve a key by."""
    if not beliefs.accepts_keys(now):
        detail = f"{beliefs.proof_age(now):.2f} s old"
        raise PondpinError(Code.NOT_PROVED, detail, retry_after=RETRY_SECONDS)


def _missing(code: Code, age: float) -> PondpinError:
    if age < SURE_SECONDS:
        return PondpinError(code)
    detail = f"{code.name}, but the configuration is {age:.2f} s old"
    return PondpinError(Code.NOT_PROVED, detail, retry_after=RETRY_SECONDS)
