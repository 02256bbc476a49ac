"""The published source is restored from an older copy and reuses revisions."""

import asyncio
import unittest

from pondpin.tools.document_fleet import TEN_MEGABIT, DocumentFleet
from pondpin.tools.restore_fleet import RestoreFleet
from pondpin.tools.virtual_time import run_virtual

SETTLE_SECONDS = 6.0
# The interval between the operator's writes.
WRITE_SECONDS = 0.7
# The time limit from a version's confirmation until it is in force on all instances.
APPLY_SECONDS = 1.0


async def write_versions(fleet: DocumentFleet, first: int, last: int) -> None:
    """Publish versions and give each time to spread."""
    for version in range(first, last + 1):
        fleet.publish(version)
        await asyncio.sleep(WRITE_SECONDS)


class RestoreTest(unittest.TestCase):
    def test_config_written_after_store_restore_is_applied(self) -> None:
        async def scenario() -> None:
            fleet = DocumentFleet(3, instances=8, routes=20, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            await write_versions(fleet, 2, 6)
            copy = fleet.store.copy()
            await write_versions(fleet, 7, 10)
            await asyncio.sleep(APPLY_SECONDS)
            fleet.store.restore(copy)
            await asyncio.sleep(WRITE_SECONDS)
            fleet.publish(11)
            seconds = await fleet.seconds_until_in_force(11)
            await fleet.stop()
            self.assertLess(seconds, APPLY_SECONDS)

        run_virtual(scenario())

    def test_copy_of_the_version_in_force_leaves_no_instance_behind(self) -> None:
        async def scenario() -> None:
            fleet = DocumentFleet(3, instances=8, routes=20, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            await write_versions(fleet, 2, 4)
            await asyncio.sleep(APPLY_SECONDS)
            fleet.store.restore(fleet.store.copy())
            await asyncio.sleep(SETTLE_SECONDS)
            now = asyncio.get_running_loop().time()
            for member in fleet.members:
                publication = member.publication
                self.assertEqual(publication.behind_seconds(now), 0.0)
                self.assertEqual(publication.in_force.epoch, fleet.store.epoch)
            await fleet.stop()

        run_virtual(scenario())

    def test_instances_neither_revert_nor_stay_behind_through_repeated_restores(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assertEqual(run_restores(8, seed, seconds=20.0), [])

    def test_large_fleet_follows_restores(self) -> None:
        self.assertEqual(run_restores(195, seed=1, seconds=6.0), [])


def run_restores(instances: int, seed: int, seconds: float) -> list[str]:
    """Run restores among other faults; returns the violations."""

    async def scenario() -> list[str]:
        fleet = RestoreFleet(3, instances, routes=20, rate=TEN_MEGABIT, seed=seed)
        await fleet.start(SETTLE_SECONDS)
        await fleet.play(seconds)
        await fleet.stop()
        return fleet.faults

    violations: list[str] = run_virtual(scenario())
    return violations


if __name__ == "__main__":
    unittest.main()
