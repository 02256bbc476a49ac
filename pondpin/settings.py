"""Settings of one entry instance: every key, its default and its unit."""

from pathlib import Path

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from pondpin.network import EndpointText
from pondpin.pydantic_decoding import STRICT, decode_document

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


_ADAPTER: TypeAdapter[Settings] = TypeAdapter(Settings)


def read_settings(path: str) -> Settings:
    """Read and check a settings file; raises InvalidFileError or OSError."""
    return decode_document(_ADAPTER, Path(path).read_bytes(), path)


def settings_schema() -> dict[str, object]:
    """JSON schema of the settings file."""
    return _ADAPTER.json_schema()
