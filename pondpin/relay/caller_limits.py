"""Limits of the callers' server, from the configuration and the memory of the machine."""

from pondpin.http_server import ServerLimits
from pondpin.relay.model import RelayConfiguration

# Time for a body, in addition to the time for its headers.
BODY_SEND_SECONDS = 10.0
# Share of the instance's memory for request bodies held at once.
BODY_MEMORY_SHARE = 0.25
# Connections stay open for a little longer than the idle timeout that callers are told.
IDLE_MARGIN_SECONDS = 2.0
BYTES_PER_MEBIBYTE = 1 << 20


def caller_limits(
    memory_mebibytes: float, configuration: RelayConfiguration | None
) -> ServerLimits:
    """The limits in force; the defaults of a server without a configuration."""
    held_bytes = int(memory_mebibytes * BYTES_PER_MEBIBYTE * BODY_MEMORY_SHARE)
    if configuration is None:
        return ServerLimits(bodies_held_bytes=held_bytes)
    bounds = configuration.bounds
    return ServerLimits(
        body_bytes=bounds.body_bytes,
        bodies_held_bytes=held_bytes,
        header_bytes=bounds.header_bytes,
        send_seconds=bounds.header_seconds + BODY_SEND_SECONDS,
        idle_seconds=bounds.idle_seconds + IDLE_MARGIN_SECONDS,
    )
