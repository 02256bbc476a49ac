"""A relaying instance with links to the workers that a control connection cuts."""

import asyncio
from typing import Any

from pondpin.launch import serve_relay
from pondpin.network import parse_endpoint
from pondpin.relay_settings import read_relay_settings
from pondpin.runtime import ParsedCommand, run, set_up_logs
from pondpin.standins.partitions import Cut, PartitionableReactor


async def serve(reactor: Any, path: str, control: str, workers: str) -> int:
    """Serve with links that follow the lines received at the control address."""
    links = PartitionableReactor(reactor, lambda host, port: host == workers)

    async def follow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        links.set_cut(Cut((await reader.readline()).decode().strip()))
        writer.close()

    place = parse_endpoint(control)
    async with await asyncio.start_server(follow, place.host, place.port):
        return await serve_relay(links, read_relay_settings(path), path)


def instance(settings: str, control: str, workers: str) -> ParsedCommand:
    """Run an instance; control: address for cuts; workers: the host that cuts concern."""
    set_up_logs("info")
    return ParsedCommand(lambda: run(lambda reactor: serve(reactor, settings, control, workers)))
