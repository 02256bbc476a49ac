"""Refuses requests while every data centre that could take them is evacuated."""

import random

from pondpin.availability import BlockReason, find_unavailability
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.upstreams.table import UpstreamTable

# The end of an evacuation is known everywhere within this; retries are spread over 0.5 to 1.5 times
# this.
RETRY_SECONDS = 1.0


def check_evacuated(table: UpstreamTable, service: str, now: float, rng: random.Random) -> None:
    """Raise PondpinError if each upstream of a service is evacuated, or leaves."""
    states = table.of_service(service)
    cause = find_unavailability((state.availability for state in states), now)
    if cause is not None and cause.reason is BlockReason.EVACUATED:
        retry_after = RETRY_SECONDS * (0.5 + rng.random())
        raise PondpinError(Code.DATA_CENTERS_EVACUATED, service, retry_after=retry_after)
