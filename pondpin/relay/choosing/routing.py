"""Lookup of a request's route, account and service."""

import math
from collections.abc import Sequence

from pondpin.relay.model import ClientAccount, RelayConfiguration, Route, ServiceShare


def find_route(configuration: RelayConfiguration, host: str, path: str) -> Route | None:
    """Find the route of the host with the longest matching path prefix."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_account(configuration: RelayConfiguration, key: str) -> ClientAccount | None:
    """Find the account of an API key."""
    return configuration.accounts_by_key.get(key)


def needs_key(configuration: RelayConfiguration, route: Route) -> bool:
    """Whether requests of the route need an API key."""
    return configuration.keys_required and not route.public


def service_gap_target(configuration: RelayConfiguration, service: str) -> float:
    """The smallest gap target among the routes of a service, in seconds; infinite if none."""
    return configuration.shortest_gap_by_service.get(service, math.inf)


def pick_service(shares: Sequence[ServiceShare], draw: float) -> str:
    """Pick a service by weight with a random draw in [0, 1)."""
    total = sum(share.weight for share in shares)
    point = draw * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
