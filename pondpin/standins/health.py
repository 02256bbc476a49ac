"""Health, readiness and metrics of the stand-ins, as every daemon has them."""

from typing import Any

from aioprometheus import Gauge, Registry
from aioprometheus.renderer import render

from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import WebServer

TEXT = {"content-type": "text/plain"}


class Health:
    """Serves /healthz, /readyz and /metrics."""

    def __init__(self, server: WebServer, name: str) -> None:
        self.registry = Registry()
        self._open: Any = Gauge(
            f"pondpin_{name}_tasks_open", "Tasks of the stand-in.", registry=self.registry
        )
        self._server = server
        server.route("/healthz", self._say_ok)
        server.route("/readyz", self._say_ok)
        server.route("/metrics", self._metrics)

    async def _say_ok(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.send(200, TEXT, b"ok\n")

    async def _metrics(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._open.set({}, len(self._server.tasks))
        content, headers = render(self.registry, [])
        reply.send(200, {name.lower(): value for name, value in headers.items()}, content)
