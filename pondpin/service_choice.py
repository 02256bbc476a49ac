"""Chooses the upstream of a plain service's call: pure functions."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service upstream: calls open from here and as it reports, and whether it is local."""

    id: str
    open_calls: int
    reported_calls: int
    is_local: bool


def choose_service(views: Sequence[ServiceView]) -> ServiceView:
    """The one with the fewest open calls; local ones first among equals."""
    return min(
        views, key=lambda view: (view.open_calls + view.reported_calls, not view.is_local, view.id)
    )


def pin_upstream(key: str, configured: Sequence[str]) -> str:
    """The upstream that a caller's idempotency key belongs to, by rendezvous hashing.

    Over the configured names, not the live ones: every instance finds the same upstream
    without agreeing on who is alive, and that upstream is the register of the key.
    """
    return max(
        configured, key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name)
    )
