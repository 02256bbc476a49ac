"""Plays upstreams that say in their answers that they leave, or ask for rest, beside a load.

A whole platform on loopback in this process: 8 upstreams in three data centres, 50 requests/s for
14 s. Prints requests later than 2 s after the answer that told of leaving, rests with more than two
requests, the most in one, and the share of the requests that were served.
"""

import asyncio
from typing import Any

from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.wishes import windows_over, worst_rest
from pondpin.tools.local_load import SERVICE_BY_ROUTE, UPSTREAMS, LocalLoad

CONCERNED = 3
PLAYED_SECONDS = 14.0
GAP_SECONDS = 0.02
BEGIN_SECONDS = 2.0
FULL_SECONDS = 9.0
REST = "3"
# Half of the upstreams rest by turns: the other half after so long.
TURN_SECONDS = 3.0
LATE_SECONDS = 2.0


class Play(LocalLoad):
    """One play of 14 seconds."""

    def tell(self, what: str) -> str:
        """The play's figures in a line."""
        wishes = [worker.wishes for worker in self.workers]
        late = sum(item.late(LATE_SECONDS) for item in wishes)
        return (
            f"{self.route}, {what}: {late} late, {windows_over(wishes)} rests with over two, "
            f"{worst_rest(wishes)} in the worst, {self.served_share:.3f} of {self.asked} served"
        )


async def leave(play: Play) -> None:
    """Some say that they leave; the list says nothing."""
    await asyncio.sleep(BEGIN_SECONDS)
    for worker in play.workers[:CONCERNED]:
        worker.says_leaving = True


async def rest(play: Play) -> None:
    """Some turn all away for a while."""
    await asyncio.sleep(BEGIN_SECONDS)
    for worker in play.workers[:CONCERNED]:
        worker.rest = REST
    await asyncio.sleep(FULL_SECONDS)
    for worker in play.workers:
        worker.rest = ""


async def rest_by_turns(play: Play) -> None:
    """Half of them turn all away, then the other half."""
    await asyncio.sleep(BEGIN_SECONDS)
    half = UPSTREAMS // 2
    for number in range(int(FULL_SECONDS / TURN_SECONDS)):
        for place, worker in enumerate(play.workers):
            worker.rest = REST if (place < half) == (number % 2 == 0) else ""
        await asyncio.sleep(TURN_SECONDS)
    for worker in play.workers:
        worker.rest = ""


FAULTS = {"three leave": leave, "three want rest": rest, "half by turns": rest_by_turns}


def measure(instances: int = 1, seeds: int = 1) -> ParsedCommand:
    """Play each fault on both routes, on seeds from 1 on."""

    async def play_all(reactor: Any) -> int:
        for route in SERVICE_BY_ROUTE:
            for name, fault in FAULTS.items():
                for seed in range(1, seeds + 1):
                    play = Play(reactor, route, instances, seed)
                    await play.play(fault(play), PLAYED_SECONDS, lambda: GAP_SECONDS)
                    print(play.tell(name), flush=True)
        return 0

    return ParsedCommand(lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_notices")
