"""Plays upstreams that name limits for all instances together, beside a load.

A whole platform on loopback in this process: 8 upstreams in three data centres, 66 requests/s for
18 s after the first word. Prints, by upstream, the worst 4 s over the aim (1.25 times what the
limit allows, and 3), what was used of the limits, the share of the requests that was served, and
bytes a second that instances sent each other.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.limits_kept import AIM, USERS_BOUND, most_over, used_share
from pondpin.tools.local_load import UPSTREAMS, LocalLoad

BEGIN_SECONDS = 2.0
PLAYED_SECONDS = 18.0
RATE = 66.0
# Where all are limited half as much is asked: 1.4 times what they take.
SCARCE_RATE = 33.0
# The first words and what was under way then are left out of what is used.
SETTLED_SECONDS = 4.0


class Play(LocalLoad):
    """One play; named_at: when the first limit was named."""

    named_at = 0.0

    def tell(self, what: str) -> str:
        """The play's figures in a line."""
        limited = [worker.wishes for worker in self.workers if worker.limit]
        aim = " ".join(f"{most_over(item, AIM):.1f}" for item in limited)
        users = max(most_over(item, USERS_BOUND) for item in limited)
        begin, end = self.named_at + SETTLED_SECONDS, self.named_at + PLAYED_SECONDS
        used = [used_share(item, begin, end) for item in limited]
        seconds = BEGIN_SECONDS + PLAYED_SECONDS
        digests = self.bytes_out / len(self.platform.entries) / seconds
        return (
            f"{self.route}, {what}: over the aim {aim}, over the users' bound {users:.1f}, used "
            f"{sum(used) / len(used):.2f}, {self.served_share:.3f} of {self.asked} served, "
            f"{digests:.0f} bytes a second of digests from each"
        )


def naming(*limits: str) -> Callable[[Play], Awaitable[None]]:
    """The first upstreams name these limits after a while."""

    async def name(play: Play) -> None:
        await asyncio.sleep(BEGIN_SECONDS)
        play.named_at = time.time()
        for worker, limit in zip(play.workers, limits, strict=False):
            worker.limit = limit

    return name


async def fall(play: Play) -> None:
    """Three name 6, and after a while 3."""
    await naming("6", "6", "6")(play)
    await asyncio.sleep(PLAYED_SECONDS / 2)
    for worker in play.workers[:3]:
        worker.limit = "3"


def measure(instances: int = 8, seeds: int = 1) -> ParsedCommand:
    """Play each load on seeds from 1 on."""
    three, all_eight = naming("1", "0.5", "6"), naming(*["3"] * UPSTREAMS)
    plays = (
        ("three name 1, 0.5, 6", "again", RATE, False, three),
        ("three name 1, 0.5, 6", "stream", RATE, False, three),
        ("the same, all callers at one", "again", RATE, True, three),
        ("all name 3", "again", SCARCE_RATE, False, all_eight),
        ("all name 3", "stream", SCARCE_RATE, False, all_eight),
        ("all name 3, all callers at one", "again", SCARCE_RATE, True, all_eight),
        ("three name 6, then 3", "again", RATE, False, fall),
    )

    async def play_all(reactor: Any) -> int:
        for what, route, rate, at_one, name_limits in plays:
            for seed in range(1, seeds + 1):
                play = Play(reactor, route, instances, seed, at_one)
                seconds = BEGIN_SECONDS + PLAYED_SECONDS
                gap = partial(play.rng.expovariate, rate)
                await play.play(name_limits(play), seconds, gap)
                print(play.tell(what), flush=True)
        return 0

    return ParsedCommand(lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_limits")
