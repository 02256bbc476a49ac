"""Choice of the upstream for a call of a plain service, as pure functions."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service upstream, with this instance's open calls and those that it reported."""

    id: str
    open_calls: int
    reported_calls: int
    is_local: bool


def choose_service(views: Sequence[ServiceView]) -> ServiceView:
    """The upstream with the fewest calls; a local one on a tie."""
    return min(
        views, key=lambda view: (view.open_calls + view.reported_calls, not view.is_local, view.id)
    )


def pin_upstream(key: str, configured: Sequence[str]) -> str:
    """The upstream of a caller's idempotency key, by rendezvous hashing.

    Hashes the configured names, not the live ones: every instance finds the same upstream
    without agreement on which are alive, and that upstream is the register of the key.
    """
    return max(
        configured, key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name)
    )
