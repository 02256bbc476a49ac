"""pondpin-platform: a stand-in for the platform's read-only configuration service."""

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import JSON, IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.network import Endpoint, parse_endpoint
from pondpin.platform_protocol import (
    CONFIGURATION_PATH,
    EPOCH_HEADER,
    INSTANCES_PATH,
    REVISION_HEADER,
    InstanceList,
    ListedInstance,
)
from pondpin.runtime import ParsedCommand, run, run_command, steady_now, stop_on_signals
from pondpin.standins.faults import Faults
from pondpin.standins.health import Health

READS_PER_SECOND = 2000
FILE_POLL_SECONDS = 0.5
VALUE_LIMIT = 1 << 20


@dataclass
class ReadLimit:
    """Counts reads, and waiting watches as one each, in windows of a second."""

    per_second: int = READS_PER_SECOND
    window: int = 0
    used: int = 0
    waiting: int = 0
    refused: int = 0
    reads: int = 0

    def take(self, now: float) -> bool:
        """Count one read; False when it is over the limit."""
        if int(now) != self.window:
            self.window, self.used = int(now), self.waiting
        if self.used >= self.per_second:
            self.refused += 1
            return False
        self.used += 1
        self.reads += 1
        return True


@dataclass
class Platform:
    """Publishes one value with a revision, and a list of instances that lags."""

    reactor: Any
    list_lag: float = 1.0
    document: bytes = b""
    revision: int = 0
    # 0: it names no epoch.
    epoch: int = 0
    instances: tuple[ListedInstance, ...] = ()
    faults: Faults = field(default_factory=Faults)
    limit: ReadLimit = field(default_factory=ReadLimit)
    cut_off: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Set up the server."""
        self.changed = asyncio.Condition()
        self.listed = self.instances
        self.stale_copy = (self.revision, self.document)
        self.server = WebServer(self.reactor)
        self.server.route(CONFIGURATION_PATH, self._value)
        self.server.route(INSTANCES_PATH, self._instances)
        self.server.route("/faults", self._set_faults)
        self.server.route("/publish", self._publish)
        Health(self.server, "platform")

    async def publish(self, document: bytes) -> int:
        """Publish a new value; returns its revision."""
        self.stale_copy = (self.revision, self.document)
        self.document = document
        self.revision += 1
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def copy(self) -> tuple[int, bytes]:
        """Copy the value with its revision, to be restored later."""
        return self.revision, self.document

    async def restore(self, copy: tuple[int, bytes]) -> None:
        """Come back from a copy: what was published since is gone, and a new epoch begins."""
        self.revision, self.document = copy
        self.stale_copy = copy
        self.epoch += 1
        async with self.changed:
            self.changed.notify_all()

    def set_instances(self, instances: tuple[ListedInstance, ...]) -> None:
        """Change the list; readers see it after the lag."""
        self.instances = instances
        self.reactor.callLater(self.list_lag, self._show_list, instances)

    def _show_list(self, instances: tuple[ListedInstance, ...]) -> None:
        self.listed = instances

    def _gate(self, reply: Reply) -> bool:
        if self.faults.down:
            reply.abort()
            return False
        if not self.limit.take(steady_now()):
            reply.send_json({"error": "too many reads"}, 429)
            return False
        return True

    async def _value(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not self._gate(reply):
            return
        after = int(incoming.query.get("after", "-1"))
        epoch = int(incoming.query.get("epoch", "0"))
        wait = min(60.0, float(incoming.query.get("wait", "0")))
        await self._wait_above(after, epoch, wait, reply)
        if self.faults.down:
            reply.abort()
            return
        revision, document = (
            self.stale_copy if self.faults.stale else (self.revision, self.document)
        )
        headers = {REVISION_HEADER: str(revision), "content-type": JSON}
        if self.epoch:
            headers[EPOCH_HEADER] = str(self.epoch)
        if revision <= after and epoch == self.epoch:
            reply.send(304, headers, b"")
        else:
            reply.send(200, headers, document)

    async def _wait_above(self, after: int, epoch: int, wait: float, reply: Reply) -> None:
        """Hold a watch until a newer revision or another epoch is there, its time is over or its
        caller left.
        """

        def is_over() -> bool:
            return self.revision > after or self.epoch != epoch or reply.is_closed

        self.limit.waiting += 1
        try:
            async with asyncio.timeout(wait):
                async with self.changed:
                    await self.changed.wait_for(is_over)
        except TimeoutError:
            return
        finally:
            self.limit.waiting -= 1

    async def _instances(self, incoming: IncomingRequest, reply: Reply) -> None:
        if self._gate(reply):
            reply.send_json(InstanceList(self.listed))

    async def _set_faults(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.faults = msgspec.json.decode(incoming.body, type=Faults)
        reply.send_json(self.faults)

    async def _publish(self, incoming: IncomingRequest, reply: Reply) -> None:
        if incoming.method != "POST" or len(incoming.body) > VALUE_LIMIT:
            raise PondpinError(Code.BODY_TOO_LARGE)
        reply.send_json({"revision": await self.publish(incoming.body)})

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Listen."""
        self.listed = self.instances
        return self.server.listen(self.reactor, endpoint)

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.close()
        for task in list(self.server.tasks):
            task.cancel()

    async def follow_file(self, path: Path) -> None:
        """Publish a file whenever its content changes."""
        while True:
            document = path.read_bytes()
            if document != self.document:
                await self.publish(document)
            await asyncio.sleep(FILE_POLL_SECONDS)


def read_instances(path: str) -> tuple[ListedInstance, ...]:
    """Read the list of instances from a JSON file."""
    if not path:
        return ()
    return msgspec.convert(json.loads(Path(path).read_text()), InstanceList).instances


def platform(address: str, configuration: str, instances: str = "") -> ParsedCommand:
    """Publish a configuration file on IP:port; the file is followed while it changes."""

    async def work(reactor: Any) -> int:
        stop = stop_on_signals()
        served = Platform(reactor, instances=read_instances(instances))
        bound = await served.start(parse_endpoint(address))
        served.server.spawn(served.follow_file(Path(configuration)))
        print(f"pondpin-platform ready on {bound}", flush=True)
        await stop.wait()
        await served.stop()
        return 0

    return ParsedCommand(lambda: run(work))


def main() -> None:
    """Entry point of pondpin-platform."""
    run_command(platform, "pondpin-platform")


if __name__ == "__main__":
    main()
