"""The bounds of the callers' server: by the configuration, and by the memory of the machine."""

from pondpin.http_server import ServerLimits
from pondpin.relay.model import RelayConfiguration

# A caller gets so long to send a body beyond the time for its head, in seconds.
SENDING_SECONDS = 10.0
# Bodies that are held at the same time take this share of an instance's memory.
BODIES_SHARE = 0.25
# Connections are kept for a little longer than callers are promised, in seconds.
IDLE_MARGIN_SECONDS = 2.0
MEBIBYTE = 1 << 20


def caller_limits(
    memory_mebibytes: float, configuration: RelayConfiguration | None
) -> ServerLimits:
    """The bounds in force; without a configuration those of every server."""
    held = int(memory_mebibytes * MEBIBYTE * BODIES_SHARE)
    if configuration is None:
        return ServerLimits(bodies_held_bytes=held)
    bounds = configuration.bounds
    return ServerLimits(
        body_bytes=bounds.body_bytes,
        bodies_held_bytes=held,
        header_bytes=bounds.header_bytes,
        send_seconds=bounds.header_seconds + SENDING_SECONDS,
        idle_seconds=bounds.idle_seconds + IDLE_MARGIN_SECONDS,
    )
