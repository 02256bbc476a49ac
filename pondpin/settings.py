"""Settings of one entry instance: every key, its default and its unit."""

from pathlib import Path

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from pondpin.files import STRICT, decode_document
from pondpin.network import EndpointText
from pondpin.relay.mechanisms import Mechanism

MEBIBYTE = 1 << 20
MIN_KEY_LENGTH = 32


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Tls:
    """PEM files of one side of a TLS connection; they are read again when they change."""

    certificate: str
    key: str
    authority: str = ""
    require_client: bool = False


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Listener:
    """Where to listen, and with which TLS files; without tls, in plain text."""

    address: EndpointText
    tls: Tls | None = None


@dataclass(frozen=True, kw_only=True, config=STRICT)
class CallerLimits:
    """Bounds on what callers may send."""

    body_bytes: int = Field(default=64 * MEBIBYTE, gt=0)
    bodies_held_bytes: int = Field(default=96 * MEBIBYTE, gt=0)
    header_bytes: int = Field(default=16384, gt=0)
    send_seconds: float = Field(default=30.0, gt=0)
    idle_seconds: float = Field(default=75.0, gt=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Operator:
    """An operator's token, kept as the SHA-256 of its text, and its rights."""

    name: str
    token_sha256: str = Field(pattern="^[0-9a-f]{64}$")
    may_act: bool = False


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Platform:
    """The platform's service that publishes configuration and the instance list."""

    address: EndpointText
    watch_seconds: float = Field(default=30.0, gt=0)
    list_seconds: float = Field(default=2.0, gt=0)
    retry_seconds: float = Field(default=1.0, gt=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Peers:
    """The other entry instances."""

    listen: Listener
    known: tuple[EndpointText, ...] = ()
    heartbeat_seconds: float = Field(default=1.0, gt=0)
    lost_after_heartbeats: int = Field(default=4, ge=1)
    fan_out: int = Field(default=2, ge=1)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Timing:
    """Periods and time limits of the instance itself, in seconds."""

    load_poll: float = Field(default=0.5, gt=0)
    poll_timeout: float = Field(default=1.0, gt=0)
    connect_timeout: float = Field(default=1.0, gt=0)
    stall_floor: float = Field(default=2.0, gt=0)
    drain: float = Field(default=600.0, gt=0)
    answers_kept: float = Field(default=600.0, gt=0)
    orphan_grace: float = Field(default=5.0, ge=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class Settings:
    """All settings of an entry instance.

    shared_key signs cursors and call tokens; every instance of a deployment has the same.
    """

    instance: str = Field(pattern="^[a-z0-9][a-z0-9-]{0,40}$")
    data_center: str = Field(pattern="^[a-z0-9][a-z0-9-]{0,40}$")
    shared_key: str = Field(min_length=MIN_KEY_LENGTH)
    previous_shared_keys: tuple[str, ...] = ()
    callers: Listener
    operators: Listener
    operator_tokens: tuple[Operator, ...] = ()
    platform: Platform
    peers: Peers
    caller_limits: CallerLimits = Field(default_factory=lambda: CallerLimits())
    timing: Timing = Field(default_factory=lambda: Timing())
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    decisions_kept: int = Field(default=20000, ge=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class RelayPeers:
    """The other instances: documents over gRPC, digests as datagrams on the first of ports.

    Every instance uses the same ports.
    """

    documents: EndpointText
    known: tuple[EndpointText, ...] = ()
    ports: tuple[int, ...] = Field(min_length=1)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class RelayLimits:
    """Bounds of the deployment; retries_* count over all instances within a window.

    key_ms: how long a key that was taken away may still be served, in milliseconds.
    keys_need_proof: whether keys are refused once the configuration in force was not proved for
    that long; otherwise an instance that can read nothing goes on with what it knows.
    configuration_ms: how long after its publication a configuration must be in force everywhere, in
    milliseconds.
    """

    key_ms: float = Field(default=5000.0, gt=0)
    keys_need_proof: bool = True
    configuration_ms: float = Field(default=2000.0, ge=1000)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_allowance: float = Field(default=20.0, ge=0)
    retry_window_seconds: float = Field(default=10.0, gt=0)
    grace_seconds: float = Field(default=8.0, gt=0)
    memory_mebibytes: int = Field(default=300, gt=0)


@dataclass(frozen=True, kw_only=True, config=STRICT)
class RelaySettings:
    """All settings of an instance that relays opaque requests on a platform.

    ready: where the balancer asks whether to send connections. metrics_port 0 serves none.
    placement: predicted, or a baseline: least_outstanding, random. without: mechanisms that are
    switched off, to measure what they are worth.
    """

    instance: str = Field(min_length=1, max_length=80)
    data_center: str = Field(min_length=1)
    callers: EndpointText
    ready: EndpointText
    source: EndpointText
    peers: RelayPeers
    limits: RelayLimits = Field(default_factory=lambda: RelayLimits())
    metrics_port: int = Field(default=0, ge=0, le=65535)
    placement: str = Field(default="predicted", pattern="^(predicted|least_outstanding|random)$")
    without: tuple[Mechanism, ...] = ()


_RELAY_ADAPTER: TypeAdapter[RelaySettings] = TypeAdapter(RelaySettings)


def read_relay_settings(path: str) -> RelaySettings:
    """Read and check a relay's settings file; raises InvalidFileError or OSError."""
    return decode_document(_RELAY_ADAPTER, Path(path).read_bytes(), path)


_ADAPTER: TypeAdapter[Settings] = TypeAdapter(Settings)


def read_settings(path: str) -> Settings:
    """Read and check a settings file; raises InvalidFileError or OSError."""
    return decode_document(_ADAPTER, Path(path).read_bytes(), path)


def settings_schema() -> dict[str, object]:
    """JSON schema of the settings file."""
    return _ADAPTER.json_schema()
