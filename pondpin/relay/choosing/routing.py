"""Finds a request's route, account and service."""

import math
from collections.abc import Sequence

from pondpin.relay.model import ClientAccount, RelayConfiguration, Route, ServiceShare


def find_route(configuration: RelayConfiguration, host: str, path: str) -> Route | None:
    """The route of the host with the longest prefix that begins the path."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def find_account(configuration: RelayConfiguration, key: str) -> ClientAccount | None:
    """The account that holds a key."""
    return configuration.accounts_by_key.get(key) if key else None


def needs_key(configuration: RelayConfiguration, route: Route) -> bool:
    """Whether the route's requests carry a key."""
    return bool(configuration.accounts_by_key) and not route.public


def service_gap_target(configuration: RelayConfiguration, service: str) -> float:
    """The strictest target of pauses among the streams that share a service, in seconds."""
    return configuration.shortest_gap_by_service.get(service, math.inf)


def pick_service(shares: Sequence[ServiceShare], draw: float) -> str:
    """The service that a draw between 0 and 1 falls on."""
    total = sum(share.weight for share in shares)
    point = draw * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
