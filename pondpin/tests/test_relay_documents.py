"""How published documents travel: to all instances in time, at a cost that fits their links."""

import asyncio
import unittest

from pondpin.http_streams import CallFailedError
from pondpin.platform.store import PlatformStore
from pondpin.relay.reader import READ_SECONDS
from pondpin.tools.document_fleet import (
    CONFIGURATION_KEY,
    TEN_MEGABIT,
    DocumentFleet,
    Link,
    SimulatedHttp,
    SimulatedStore,
    random_routes,
)
from pondpin.tools.virtual_time import run_virtual

# Instances know each other and their first configuration by then.
SETTLE_SECONDS = 12.0
# The shortest bound of a deployment, from the moment that a change was confirmed.
APPLY_SECONDS = 2.0
# About the largest configuration that a store takes, a megabyte.
MOST_ROUTES = 3900


class SpreadTest(unittest.TestCase):
    def test_a_large_configuration_is_in_force_everywhere_in_time(self) -> None:
        async def work() -> None:
            fleet = DocumentFleet(3, instances=40, routes=2500, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            failed = fleet.failed_fetches
            fleet.publish(2, more_routes=1400)
            seconds = await fleet.seconds_until_in_force(2)
            await fleet.stop()
            self.assertLess(seconds, APPLY_SECONDS)
            self.assertEqual(fleet.failed_fetches - failed, 0)

        run_virtual(work())


class ReadingTest(unittest.TestCase):
    def test_a_proof_does_not_cost_a_configuration(self) -> None:
        async def work() -> None:
            fleet = DocumentFleet(1, instances=1, routes=1000, rate=TEN_MEGABIT, seed=1)
            await fleet.start(SETTLE_SECONDS)
            (member,) = fleet.members
            reads, carried = member.reader.reads, member.downlink.carried
            await asyncio.sleep(SETTLE_SECONDS)
            await fleet.stop()
            proof = member.publication.proof
            assert proof is not None
            self.assertLess(proof.age(asyncio.get_running_loop().time()), APPLY_SECONDS)
            self.assertGreater(member.reader.reads - reads, 5)
            _, value = fleet.store.value_by_key[CONFIGURATION_KEY]
            self.assertLess(member.downlink.carried - carried, len(value))

        run_virtual(work())

    def test_a_read_that_goes_on_is_not_given_up(self) -> None:
        async def work() -> None:
            store = SimulatedStore()
            store.put(CONFIGURATION_KEY, {"routes": random_routes(MOST_ROUTES, 1)})
            source = PlatformStore(SimulatedHttp(store, Link(TEN_MEGABIT)), "store:1")
            item = await source.read_configuration(READ_SECONDS)
            assert item is not None
            self.assertEqual(item.value, store.value_by_key[CONFIGURATION_KEY][1])

        run_virtual(work())

    def test_a_silent_store_is_given_up(self) -> None:
        async def work() -> None:
            http = SimulatedHttp(SimulatedStore(), Link(TEN_MEGABIT))
            http.silent = True
            with self.assertRaises(CallFailedError):
                await PlatformStore(http, "store:1").read_configuration(READ_SECONDS)

        run_virtual(work())


if __name__ == "__main__":
    unittest.main()
