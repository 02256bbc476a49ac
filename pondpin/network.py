"""Validated network addresses: IP addresses only, no host names."""

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parse 'IP:port' or '[IPv6]:port'; raises ValueError for a host name or an invalid port."""
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not of the form IP:port")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address; host names are refused") from None
    if not port_text.isdecimal() or not 0 <= int(port_text) <= MAX_PORT:
        raise ValueError(f"{port_text!r} is not a port between 0 and {MAX_PORT}")
    return Endpoint(host, int(port_text))


@dataclass(frozen=True, slots=True)
class Checked:
    """Annotates a string in a settings file with a check that raises ValueError."""

    check: Callable[[str], object]

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Pydantic's hook, for files that it validates."""
        # A relay validates its settings without pydantic and must not import it.
        from pydantic_core import core_schema

        return core_schema.no_info_after_validator_function(self._validate, handler(source))

    def _validate(self, text: str) -> str:
        self.check(text)
        return text


EndpointText = Annotated[str, Checked(parse_endpoint)]
