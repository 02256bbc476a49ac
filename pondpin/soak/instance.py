"""python -m pondpin.soak.instance: a relaying instance whose links to the workers can be cut."""

import asyncio
import gc
import signal
from typing import Any

from pondpin.launch import serve_relay
from pondpin.network import Endpoint, parse_endpoint
from pondpin.relay_settings import read_relay_settings
from pondpin.runtime import ParsedCommand, run, run_command, set_up_logs
from pondpin.standins.partitions import Cut, PartitionableReactor


async def serve(reactor: Any, path: str, control: Endpoint, workers: str) -> int:
    """Serve with links that follow the lines received at the control address."""
    links = PartitionableReactor(reactor, lambda host, port: host == workers)

    async def follow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        links.set_cut(Cut((await reader.readline()).decode().strip()))
        writer.close()

    server = await asyncio.start_server(follow, control.host, control.port)
    async with server:
        return await serve_relay(links, read_relay_settings(path), path)


def instance(settings: str, control: str, workers: str) -> ParsedCommand:
    """Run an instance; control: address for cuts; workers: the host that cuts concern."""
    set_up_logs("info")
    return ParsedCommand(
        lambda: run(lambda reactor: serve(reactor, settings, parse_endpoint(control), workers))
    )


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    run_command(instance, "pondpin-soak-instance")
