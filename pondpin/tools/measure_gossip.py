"""Prints what digests cost and how old proofs get, by the size of the fleet, in simulated time."""

from dataclasses import dataclass

import fire

from pondpin.tools.gossip_fleet import GossipFleet

SIZES = (9, 30, 80, 195, 360)
# Instances are found and heard by then.
SETTLE_SECONDS = 15.0
LOOK_SECONDS = 0.25
LOOKS = 40


@dataclass(frozen=True, slots=True)
class GossipCost:
    """Bytes a second of one instance (with the headers of IP and UDP), reads a second of all
    instances, ages of proofs in seconds."""

    instances: int
    bytes_per_second: float
    reads_per_second: float
    median_age: float
    greatest_age: float


def measure(instances: int, centers: int, seed: int, scale: float = 1.0) -> GossipCost:
    """Play a fleet without work."""
    fleet = GossipFleet(centers, instances, seed, scale)
    fleet.play(SETTLE_SECONDS)
    sent, reads = fleet.bytes_out, fleet.reads
    ages: list[float] = []
    for _ in range(LOOKS):
        fleet.play(LOOK_SECONDS)
        ages += fleet.proof_ages()
    ages.sort()
    seconds = LOOKS * LOOK_SECONDS
    return GossipCost(
        instances=instances,
        bytes_per_second=(fleet.bytes_out - sent) / seconds / instances,
        reads_per_second=(fleet.reads - reads) / seconds,
        median_age=ages[len(ages) // 2],
        greatest_age=ages[-1],
    )


def main(centers: int = 3, seed: int = 1, scale: float = 1.0) -> None:
    """Print a line for each size; scale: how much longer than the shortest the bounds are."""
    print("instances  bytes/s each  reads/s all  proof age: median  greatest")
    for size in SIZES:
        cost = measure(size, centers, seed, scale)
        print(
            f"{cost.instances:9}  {cost.bytes_per_second:12.0f}  {cost.reads_per_second:11.1f}"
            f"  {cost.median_age:17.2f}  {cost.greatest_age:8.2f}"
        )


if __name__ == "__main__":
    fire.Fire(main)
