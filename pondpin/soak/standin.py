"""Runs the store's or a worker's stand-in as a process that the soak can steer and audit."""

import asyncio
import time
from collections import deque
from typing import Any

import msgspec

from pondpin.http_reply import IncomingRequest, Reply
from pondpin.network import parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, stop_on_signals
from pondpin.standins.published_store import PublishedStore, StoreFault
from pondpin.standins.store_state import StoreCopy
from pondpin.standins.worker import Worker, WorkerFault
from pondpin.standins.worker_ends import WorkerEnd, end_worker

# Workers of the users are back after some seconds.
RETURN_SECONDS = 2.0
# The store is copied this often, and the last copies are kept.
COPY_SECONDS = 0.5
KEPT_COPIES = 12
# Responses of workers that end with their connection.
UNFRAMED_SHARE = 0.4


class Put(msgspec.Struct, frozen=True):
    """An item to be written; no value deletes it."""

    key: str
    value: Any = None


class Restore(msgspec.Struct, frozen=True):
    """Be away for some seconds and come back from a copy that is some seconds old."""

    age: float
    away: float


class Steer(msgspec.Struct, frozen=True):
    """What a worker does from now on; with born it crashes and starts again under its id.

    deadly: bodies of requests that end it when it runs them, and deadly_segments the same for
    segments of prompts; it is back after a while.
    """

    faults: tuple[str, ...] = ()
    draining: bool = False
    born: int | None = None
    deadly: tuple[str, ...] = ()
    deadly_segments: tuple[str, ...] = ()


class Say(msgspec.Struct, frozen=True):
    """What a worker's answers say from now on: that it leaves, the rest that it wants, and the
    requests a second that it takes from all instances.
    """

    leaves: bool = False
    rest: str = ""
    limit: str = ""


class End(msgspec.Struct, frozen=True):
    """The end of a worker's life; it is back after a while."""

    how: WorkerEnd


class Death(msgspec.Struct, frozen=True):
    """A run of a deadly body or segment: when it began, in Unix seconds."""

    body: str
    began: float


class Audit(msgspec.Struct, frozen=True):
    """What a worker saw: runs by attempt, requests meant for other ids, leases still held.

    deaths: deadly requests that it began to run; unframed, unframed_cut: responses without a
    length, and those of them whose connection closed early; arrivals: what reached each of its
    lives, as sender, moment in Unix seconds, whether it said that it leaves, the rest that it asked
    for and the limit that it named, and whether no head came; others: when anything else came,
    liveness checks and the like.
    """

    runs: dict[str, int]
    leases: int
    working: int
    misdirected: dict[str, int]
    deaths: tuple[Death, ...]
    born: int | None
    unframed: int = 0
    unframed_cut: int = 0
    arrivals: tuple[tuple[tuple[str, float, bool, float, float | None, bool], ...], ...] = ()
    others: tuple[tuple[float, ...], ...] = ()


def store(address: str) -> ParsedCommand:
    """Run a store."""

    async def serve(reactor: Any) -> int:
        stop = stop_on_signals()
        standin = PublishedStore(reactor=reactor)
        copies: deque[tuple[float, StoreCopy]] = deque(maxlen=KEPT_COPIES)
        back = asyncio.Event()
        back.set()

        async def copy_again_and_again() -> None:
            while True:
                if back.is_set():
                    copies.append((time.monotonic(), standin.copy()))
                await asyncio.sleep(COPY_SECONDS)

        async def restore(incoming: IncomingRequest, reply: Reply) -> None:
            order = msgspec.json.decode(incoming.body, type=Restore)
            wanted = time.monotonic() - order.age
            standin.fail(StoreFault.RESET)
            back.clear()
            await asyncio.sleep(order.away)
            _, copy = min(copies, key=lambda item: abs(item[0] - wanted))
            standin.restore(copy)
            copies.clear()
            copies.append((time.monotonic(), copy))
            standin.fail(StoreFault.NONE)
            back.set()
            reply.send_json({"epoch": standin.epoch})

        async def put(incoming: IncomingRequest, reply: Reply) -> None:
            await back.wait()
            item = msgspec.json.decode(incoming.body, type=Put)
            if item.value is None:
                standin.delete(item.key)
            else:
                standin.put(item.key, item.value)
            reply.send_json({"revision": standin.revision})

        standin.server.route("/soak/put", put)
        standin.server.route("/soak/restore", restore)
        standin.listen(parse_endpoint(address))
        copying = asyncio.create_task(copy_again_and_again())
        await stop.wait()
        copying.cancel()
        return 0

    return ParsedCommand(lambda: run(serve))


def worker(address: str, name: str, events: int, event_ms: int) -> ParsedCommand:
    """Run a worker."""

    async def serve(reactor: Any) -> int:
        stop = stop_on_signals()
        standin = Worker(reactor, str(name), events=events, event_seconds=event_ms / 1000)
        standin.unframed_share = UNFRAMED_SHARE
        place = parse_endpoint(address)
        loop = asyncio.get_running_loop()

        def come_back() -> None:
            standin.id = str(name)
            standin.start_again(time.time_ns() // 1_000_000)
            if standin.server.port is None:
                standin.listen(place)

        standin.on_crash = lambda: loop.call_later(RETURN_SECONDS, come_back)

        async def steer(incoming: IncomingRequest, reply: Reply) -> None:
            order = msgspec.json.decode(incoming.body, type=Steer)
            if order.born is not None:
                reply.send_json({})
                asyncio.get_running_loop().call_soon(standin.start_again, order.born)
                return
            standin.faults = [WorkerFault(fault) for fault in order.faults]
            standin.draining = order.draining
            standin.deadly = frozenset(body.encode() for body in order.deadly)
            standin.deadly_segments = frozenset(order.deadly_segments)
            reply.send_json({})

        async def audit(incoming: IncomingRequest, reply: Reply) -> None:
            runs = dict(standin.runs_by_attempt)
            misdirected = dict(standin.misdirected_by_id)
            reply.send_json(
                Audit(
                    runs,
                    len(standin.held_leases()),
                    standin.working,
                    misdirected,
                    tuple(Death(body.decode(), at) for body, at in standin.deadly_runs),
                    standin.born,
                    standin.unframed_runs,
                    standin.unframed_cut,
                    tuple(
                        tuple(
                            (
                                item.sender,
                                item.at,
                                item.leaves,
                                item.rest,
                                item.limit,
                                item.silent,
                            )
                            for item in life.arrivals
                        )
                        for life in (*standin.ended_wishes, standin.wishes)
                    ),
                    tuple(tuple(life.others) for life in (*standin.ended_wishes, standin.wishes)),
                )
            )

        async def end(incoming: IncomingRequest, reply: Reply) -> None:
            order = msgspec.json.decode(incoming.body, type=End)
            reply.send_json({})
            loop.call_later(RETURN_SECONDS, come_back)
            await end_worker(standin, order.how)

        async def say(incoming: IncomingRequest, reply: Reply) -> None:
            wish = msgspec.json.decode(incoming.body, type=Say)
            standin.says_leaving, standin.rest = wish.leaves, wish.rest
            standin.limit = wish.limit
            reply.send_json({})

        standin.server.route("/soak/steer", steer)
        standin.server.route("/soak/audit", audit)
        standin.server.route("/soak/say", say)
        standin.server.route("/soak/end", end)
        standin.listen(place)
        await stop.wait()
        await asyncio.sleep(0)
        return 0

    return ParsedCommand(lambda: run(serve))


if __name__ == "__main__":
    run_command({"store": store, "worker": worker}, "pondpin-soak-standin")
