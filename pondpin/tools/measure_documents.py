"""Prints how long a change of the configuration takes to be in force everywhere, and its bytes.

In virtual time, on links of one rate; idle instances in three data centres.
"""

import asyncio
from dataclasses import dataclass

import fire

from pondpin.tools.document_fleet import TEN_MEGABIT, DocumentFleet
from pondpin.tools.virtual_time import run_virtual

# Routes that are in force, and routes that are added.
CASES = ((250, 1), (250, 1400), (2500, 1), (2500, 1400))
SETTLE_SECONDS = 12.0
IDLE_SECONDS = 3.0
CENTERS = 3


@dataclass(frozen=True, slots=True)
class DocumentCost:
    """What a change cost: seconds until in force everywhere, failed fetches, bytes that the busiest
    instance sent and all sent for documents, bytes a second that came to an idle one.
    """

    seconds: float
    failed: int
    busiest: int
    sent: int
    idle: float


async def measure(instances: int, routes: int, more: int, rate: float, seed: int) -> DocumentCost:
    """Play one change."""
    fleet = DocumentFleet(CENTERS, instances, routes, rate, seed)
    await fleet.start(SETTLE_SECONDS)
    came = sum(member.downlink.carried for member in fleet.members)
    await asyncio.sleep(IDLE_SECONDS)
    idle = sum(member.downlink.carried for member in fleet.members) - came
    before = [member.uplink.carried for member in fleet.members]
    failed = fleet.failed_fetches
    fleet.publish(2, more)
    seconds = await fleet.seconds_until_in_force(2)
    sent = [member.uplink.carried - was for member, was in zip(fleet.members, before, strict=True)]
    await fleet.stop()
    return DocumentCost(
        seconds=seconds,
        failed=fleet.failed_fetches - failed,
        busiest=max(sent),
        sent=sum(sent),
        idle=idle / IDLE_SECONDS / instances,
    )


def main(instances: int = 80, rate: float = TEN_MEGABIT, seed: int = 1) -> None:
    """Print a line for each case; rate is that of each link, in bytes a second."""
    print("routes  added  in force after, s  failed  busiest sent  all sent  idle, bytes/s each")
    for routes, more in CASES:
        cost: DocumentCost = run_virtual(measure(instances, routes, more, rate, seed))
        print(
            f"{routes:6}  {more:5}  {cost.seconds:17.2f}  {cost.failed:6}  {cost.busiest:12}"
            f"  {cost.sent:8}  {cost.idle:18.0f}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(main)
