"""A bare pass-through of a stream on twisted.web, without any decision: the bound of the hop."""

import asyncio
from typing import Any

import msgspec

from pondpin.body_ends import BodyEnd
from pondpin.engine_client import HttpEngines
from pondpin.engine_protocol import StreamRequest
from pondpin.http_client import HttpClient
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.network import parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, stop_on_signals, wall_now


class _PassOn:
    """Writes each piece to the caller as it comes."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_data(self, data: bytes) -> None:
        """Take a piece."""
        self._reply.write(data)

    def on_end(self, end: BodyEnd) -> None:
        """The stream ended, perhaps early."""
        if end.is_framed:
            self._reply.finish()
        else:
            self._reply.truncate()
        self.ended.set_result(None)


class Bare:
    """Takes a completion, starts a stream on the one engine, passes its bytes on."""

    def __init__(self, reactor: Any, engine: str) -> None:
        self._engines = HttpEngines(HttpClient(reactor, 2.0))
        self._engine = engine
        self._count = 0
        self.server = WebServer(reactor)
        self.server.route("/v1/completions", self._complete)

    async def _complete(self, incoming: IncomingRequest, reply: Reply) -> None:
        body = msgspec.json.decode(incoming.body)
        self._count += 1
        request = StreamRequest(
            request=f"bare-{self._count}",
            attempt=0,
            instance="bare",
            incarnation=1,
            model=body["model"],
            prompt=body["prompt"],
            max_tokens=body["max_tokens"],
            priority=50,
            deadline=wall_now() + 100,
        )
        start = await self._engines.submit(self._engine, request)
        reply.start(200, {"content-type": "text/event-stream"})
        sink = _PassOn(reply)
        start.deliver(sink)
        await sink.ended


def bare(address: str, engine: str) -> ParsedCommand:
    """Run it on IP:port before an engine at IP:port."""

    async def work(reactor: Any) -> int:
        stop = stop_on_signals()
        served = Bare(reactor, engine)
        bound = served.server.listen(reactor, parse_endpoint(address))
        print(f"ready on {bound}", flush=True)
        await stop.wait()
        await served.server.close()
        return 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(bare, "measure_bare")
