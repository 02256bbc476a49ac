"""Memory leases: acquired all or none, always released."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.http_streams import CallFailedError
from pondpin.relay.ports import HeadCallback, LeaseResponse, PartAssignment
from pondpin.relay.upstreams.leases import HOLD_SECONDS, RENEW_SECONDS, LeaseManager
from pondpin.tests.support import ListLog, run_async
from pondpin.tools.virtual_time import run_virtual

PLACES = tuple(PartAssignment(f"i-{number}", "10.0.0.1", 80 + number) for number in range(4))


class FakeEngines:
    """Answers by port; a "lost" answer still holds the lease."""

    def __init__(self, answers: dict[int, str]) -> None:
        self.answers = answers
        self.held: set[str] = set()
        self.releases = 0

    async def reserve(
        self,
        host: str,
        port: int,
        lease: str,
        tokens: int,
        hold: float,
        timeout: float,
        hear: HeadCallback,
    ) -> LeaseResponse:
        answer = self.answers.get(port, "held")
        if answer == "refused":
            return LeaseResponse.REFUSED
        self.held.add(lease)
        if answer == "lost":
            raise CallFailedError("no answer", sent=True)
        return LeaseResponse.HELD

    async def release(
        self,
        host: str,
        port: int,
        upstream: str,
        lease: str,
        timeout: float,
        hear: HeadCallback,
    ) -> bool:
        self.releases += 1
        self.held.discard(lease)
        return True


class LeasesTest(unittest.TestCase):
    @given(st.dictionaries(st.integers(80, 83), st.sampled_from(["held", "refused", "lost"])))
    def test_group_is_acquired_fully_or_released(self, answers: dict[int, str]) -> None:
        async def work() -> None:
            engines = FakeEngines(answers)
            leases = LeaseManager(engines, "x", ListLog())
            group, failed = await leases.acquire("r", PLACES, 1000)
            if group is None:
                self.assertTrue(failed)
            else:
                self.assertEqual(len(engines.held), 4)
                leases.release(group)
            await leases.wait_released()
            self.assertEqual(engines.held, set())

        run_async(work())

    def test_lease_names_are_unique(self) -> None:
        async def work() -> None:
            leases = LeaseManager(FakeEngines({}), "x", ListLog())
            first, _ = await leases.acquire("r", PLACES, 1000)
            second, _ = await leases.acquire("r", PLACES, 1000)
            assert first is not None
            assert second is not None
            names = [place.lease for group in (first, second) for place in group.places]
            self.assertEqual(len(set(names)), 8)

        run_async(work())

    def lease_end(self, forecast: float, first_event_at: float, run_seconds: float) -> float:
        """Seconds until the memory of a prompt that is sent now is free again."""
        until = 0.0

        async def work() -> None:
            loop = asyncio.get_running_loop()
            started_at = loop.time()

            class Engine(FakeEngines):
                async def reserve(
                    self,
                    host: str,
                    port: int,
                    lease: str,
                    tokens: int,
                    hold: float,
                    timeout: float,
                    hear: HeadCallback,
                ) -> LeaseResponse:
                    nonlocal until
                    until = max(until, loop.time() + hold - started_at)
                    return LeaseResponse.HELD

            leases = LeaseManager(Engine({}), "x", ListLog())
            group, _ = await leases.acquire("r", PLACES[:1], 1000)
            assert group is not None
            renewal = leases.keep_alive(
                group, forecast, lambda: loop.time() - started_at >= first_event_at
            )
            task = asyncio.ensure_future(renewal)
            await asyncio.sleep(run_seconds)
            task.cancel()

        run_virtual(work())
        return until

    def test_unused_memory_is_freed(self) -> None:
        # The deployments allow 9 s for unused memory. An engine that accepted a request and never
        # ran it held 110,839 tokens of its helpers for 13.8 s.
        self.assertLess(self.lease_end(2.0, first_event_at=99.0, run_seconds=30.0), 9.0)
        self.assertGreater(self.lease_end(2.0, first_event_at=99.0, run_seconds=30.0), 8.0)

    def test_lease_is_renewed_after_the_first_event(self) -> None:
        self.assertGreater(self.lease_end(2.0, first_event_at=3.0, run_seconds=30.0), 30.0)

    def test_longer_forecast_extends_the_unused_timeout(self) -> None:
        self.assertGreater(self.lease_end(9.0, first_event_at=99.0, run_seconds=30.0), 12.0)

    def test_memory_of_a_dead_holder_is_freed(self) -> None:
        # The deployments allow 4 s for memory that is reserved for an ended request.
        self.assertLess(HOLD_SECONDS, 4.0)
        self.assertLess(2 * RENEW_SECONDS, HOLD_SECONDS)
        self.assertTrue(asyncio.iscoroutinefunction(LeaseManager.keep_alive))


if __name__ == "__main__":
    unittest.main()
