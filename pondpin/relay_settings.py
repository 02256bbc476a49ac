"""Settings of a relay instance: every key, its default and its unit.

msgspec alone validates them: importing pydantic took 0.1 of the 0.5 s of a start.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from pondpin.network import EndpointText, parse_endpoint
from pondpin.relay.mechanisms import Mechanism
from pondpin.strict_decoding import decode_strictly

PLACEMENT_PATTERN = "^(predicted|least_outstanding|random)$"


@dataclass(frozen=True, kw_only=True)
class RelayPeers:
    """Communication with peers: documents over HTTP, digests as datagrams on the first of ports.

    Every instance uses the same ports.
    """

    documents: EndpointText
    known: tuple[EndpointText, ...] = ()
    ports: Annotated[tuple[int, ...], Meta(min_length=1)]

    @property
    def has_remote_peers(self) -> bool:
        """Whether the settings list instances on other hosts."""
        own = parse_endpoint(self.documents).host
        return any(parse_endpoint(address).host != own for address in self.known)


@dataclass(frozen=True, kw_only=True)
class RelayLimits:
    """Limits of the deployment; retry_* apply to all instances together, within a window.

    key_ms: how long a revoked key may still be served, in milliseconds.
    keys_need_proof: refuse keys when the configuration in force was not proved fresh for that long;
    otherwise an instance that can't read the source continues with what it has.
    configuration_ms: within this time after its publication a configuration must be in force on all
    instances, in milliseconds.
    evacuation_ms: the same for an order to evacuate a data centre; 0: such orders are not read.
    cold_overage, cold_tolerance: a cold upstream gets at most its published rate times cold_overage
    plus cold_tolerance requests in any second, from all instances together.
    """

    key_ms: Annotated[float, Meta(gt=0)] = 5000.0
    keys_need_proof: bool = True
    configuration_ms: Annotated[float, Meta(ge=1000)] = 2000.0
    evacuation_ms: Annotated[float, Meta(ge=0)] = 0.0
    cold_overage: Annotated[float, Meta(ge=1)] = 1.0
    cold_tolerance: Annotated[float, Meta(ge=0)] = 0.0
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.2
    retry_allowance: Annotated[float, Meta(ge=0)] = 20.0
    retry_window_seconds: Annotated[float, Meta(gt=0)] = 10.0
    grace_seconds: Annotated[float, Meta(gt=0)] = 8.0
    memory_mebibytes: Annotated[int, Meta(gt=0)] = 300


@dataclass(frozen=True, kw_only=True)
class RelaySettings:
    """All settings of an instance that relays opaque requests on a platform.

    ready: address of the load balancer's readiness check. metrics_port: 0 for no metrics.
    identity_key: a secret that all instances share, the key of request identities' digests.
    placement: predicted, or a baseline: least_outstanding, random. without: mechanisms that are
    disabled, to measure their effect.
    """

    instance: Annotated[str, Meta(min_length=1, max_length=80)]
    data_center: Annotated[str, Meta(min_length=1)]
    callers: EndpointText
    ready: EndpointText
    source: EndpointText
    peers: RelayPeers
    limits: RelayLimits = field(default_factory=lambda: RelayLimits())
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    identity_key: Annotated[str, Meta(max_length=200)] = ""
    placement: Annotated[str, Meta(pattern=PLACEMENT_PATTERN)] = "predicted"
    without: tuple[Mechanism, ...] = ()


def read_relay_settings(path: str) -> RelaySettings:
    """Read and check a relay's settings file; raises InvalidFileError or OSError."""
    return decode_strictly(RelaySettings, Path(path).read_bytes(), path)
