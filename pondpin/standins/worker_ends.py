"""How a stand-in worker's life ends so that its connections close in order."""

import asyncio
import enum

from pondpin.standins.worker import Worker

# The port of a worker that closes its connections first is open for this long after them.
PORT_SECONDS = 0.05


class WorkerEnd(enum.StrEnum):
    """What is found at a worker's address when its connections have closed.

    SUCCESSOR: a worker with another id. REBORN: its next life, under its id if it says its start.
    SILENT: what accepts and answers nothing.
    """

    PORT_FIRST = "port first"
    CONNECTIONS_FIRST = "connections first"
    SUCCESSOR = "successor"
    REBORN = "reborn"
    SILENT = "silent"


async def end_worker(worker: Worker, end: WorkerEnd) -> None:
    """Close a worker's connections in order, as the kernel does for a process that was killed."""
    worker.crashes += 1
    if end is WorkerEnd.PORT_FIRST:
        await worker.server.close()
    elif end is WorkerEnd.REBORN and worker.born is not None:
        worker.born += 1
    elif end in (WorkerEnd.SUCCESSOR, WorkerEnd.REBORN):
        worker.id = f"{worker.id}-successor"
    else:
        worker.is_silent = True
    for channel in list(worker.server.channels):
        inner = channel._channel
        if inner.transport is not None:
            inner.loseConnection()
    if end is WorkerEnd.CONNECTIONS_FIRST:
        await asyncio.sleep(PORT_SECONDS)
        await worker.server.close()
