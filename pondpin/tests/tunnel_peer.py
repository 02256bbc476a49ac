"""A peer that opens tunnels for a test's sender; as a module, in a process of its own."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

from pondpin.http_client import DirectConnector
from pondpin.metrics import Metrics
from pondpin.relay.paths.tunnel_server import TunnelFactory, TunnelServer
from pondpin.relay.peers.digests import PeerRecord
from pondpin.request_identity import derive_key
from pondpin.runtime import steady_now
from pondpin.tests.support import ListLog, prepare, the_loop

HOST = "127.0.0.1"
KEY = derive_key("known to all instances")
SENDER = "relay-0"
SENDER_BOOT = 5
PEER_BOOT = 7
CONNECT_SECONDS = 1.0


def make_server(reactor: Any) -> TunnelServer:
    """A peer for which all upstreams are listed."""
    state: Any = SimpleNamespace(availability=SimpleNamespace(evacuated=False))
    sender = PeerRecord(SENDER, SENDER_BOOT, HOST, 1, 1, steady_now(), "north", True)
    return TunnelServer(
        key=KEY,
        boot=PEER_BOOT,
        direct=DirectConnector(reactor, CONNECT_SECONDS),
        find_peer=lambda name: sender,
        find_upstream=lambda endpoint: state,
        is_unreachable=lambda endpoint: False,
        reaches_others=mock.Mock(),
        is_stopping=lambda: False,
        metrics=Metrics("relay-1", "north"),
        log=ListLog(),
        clock=steady_now,
    )


def main() -> None:
    """Listen, print the port and serve until the process is ended."""
    prepare()
    loop, reactor = the_loop()
    port = reactor.listenTCP(0, TunnelFactory(make_server(reactor)), interface=HOST)
    print(port.getHost().port, flush=True)
    loop.run_forever()


if __name__ == "__main__":
    main()
