"""Sends questions at their times, whatever the answers do (open loop)."""

import asyncio
from collections.abc import Callable, Sequence

from pondpin.clocks import Clock
from pondpin.tools.caller import Asked, Caller
from pondpin.tools.traffic import Arrival


async def send_all(
    caller: Caller,
    arrivals: Sequence[Arrival],
    clock: Clock,
    on_done: Callable[[Asked], None] | None = None,
) -> list[Asked]:
    """Send each question at its time; returns what came of all, in order of arrival."""
    started = clock()
    tasks: list[asyncio.Task[Asked]] = []
    for arrival in arrivals:
        wait = started + arrival.at - clock()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.get_running_loop().create_task(caller.ask(arrival.question))
        if on_done is not None:
            task.add_done_callback(lambda done: on_done(done.result()))
        tasks.append(task)
    return list(await asyncio.gather(*tasks))
