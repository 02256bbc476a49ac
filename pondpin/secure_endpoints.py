"""TLS client connections for https URLs; separate, so that relays don't load TLS libraries."""

from pathlib import Path
from typing import Any

from twisted.internet.endpoints import wrapClientTLS
from twisted.internet.ssl import Certificate, optionsForClientTLS
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from pondpin.http_client import DirectConnector, NumericEndpoints


@implementer(IAgentEndpointFactory)
class SecureEndpoints(NumericEndpoints):
    """Connects by IP address; authority: PEM file of the CA that must have signed certificates."""

    def __init__(self, reactor: Any, connect_timeout: float, authority: str) -> None:
        super().__init__(DirectConnector(reactor, connect_timeout))
        self._authority = authority

    def endpointForURI(self, uri: Any) -> Any:
        """See IAgentEndpointFactory."""
        endpoint = super().endpointForURI(uri)
        if uri.scheme != b"https":
            return endpoint
        host = uri.host.decode("ascii").strip("[]")
        trusted = Certificate.loadPEM(Path(self._authority).read_bytes())
        return wrapClientTLS(optionsForClientTLS(host, trustRoot=trusted), endpoint)
