"""What operators read and do at a relaying instance's metrics address."""

import msgspec

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import Incoming, Reply
from pondpin.http_server import WebServer
from pondpin.metrics import Metrics
from pondpin.relay.ports import Held, Holding

QUARANTINE_PATH = "/quarantine"


class Lifted(msgspec.Struct, frozen=True):
    """What lifting a request's quarantine changed: ends that counted and count no more."""

    identity: str
    ends: int


class HeldRequests(msgspec.Struct, frozen=True):
    """The requests that are suspected or quarantined."""

    requests: tuple[Held, ...]


def serve_operations(server: WebServer, metrics: Metrics, holding: Holding) -> None:
    """Serve metrics, the list of held requests, and the lifting of one by DELETE of its path."""

    async def show_metrics(incoming: Incoming, reply: Reply) -> None:
        content, headers = metrics.render(incoming.headers.get("accept", ""))
        reply.send(200, headers, content)

    async def show_or_lift(incoming: Incoming, reply: Reply) -> None:
        if incoming.method == "GET":
            reply.send_json(HeldRequests(holding.held()))
            return
        if incoming.method != "DELETE":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        name = incoming.path.removeprefix(QUARANTINE_PATH).strip("/")
        try:
            identity = int(name, 16)
        except ValueError:
            raise PondpinError(Code.INVALID_FIELD, f"{name!r} is no request's identity") from None
        reply.send_json(Lifted(name, holding.lift(identity)))

    server.route("/metrics", show_metrics)
    server.route(QUARANTINE_PATH, show_or_lift)
