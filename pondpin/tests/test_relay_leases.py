"""Memory leases: all or nothing, returned whatever happens."""

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
    """Answers orders as told; lost ones are taken all the same when they are kept."""

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
        self, host: str, port: int, lease: str, timeout: float, hear: HeadCallback
    ) -> bool:
        self.releases += 1
        self.held.discard(lease)
        return True


class LeasesTest(unittest.TestCase):
    @given(st.dictionaries(st.integers(80, 83), st.sampled_from(["held", "refused", "lost"])))
    def test_all_or_nothing_whatever_engines_say(self, answers: dict[int, str]) -> None:
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

    def test_names_are_never_used_twice(self) -> None:
        async def work() -> None:
            leases = LeaseManager(FakeEngines({}), "x", ListLog())
            first, _ = await leases.acquire("r", PLACES, 1000)
            second, _ = await leases.acquire("r", PLACES, 1000)
            assert first is not None
            assert second is not None
            names = [place.lease for group in (first, second) for place in group.places]
            self.assertEqual(len(set(names)), 8)

        run_async(work())

    def lapse(self, reading: float, begins_at: float, played: float) -> float:
        """Seconds after which the memory of a prompt that is sent now is free again."""
        until = 0.0

        async def work() -> None:
            loop = asyncio.get_running_loop()
            began = loop.time()

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
                    until = max(until, loop.time() + hold - began)
                    return LeaseResponse.HELD

            leases = LeaseManager(Engine({}), "x", ListLog())
            group, _ = await leases.acquire("r", PLACES[:1], 1000)
            assert group is not None
            keeping = leases.keep_alive(group, reading, lambda: loop.time() - began >= begins_at)
            keeper = asyncio.ensure_future(keeping)
            await asyncio.sleep(played)
            keeper.cancel()

        run_virtual(work())
        return until

    def test_memory_that_nothing_uses_is_free_in_time(self) -> None:
        # 9 s are allowed to memory that no request has used: an engine that takes a request and
        # never runs it kept 110,839 tokens of its helpers for 13.8 s.
        self.assertLess(self.lapse(2.0, begins_at=99.0, played=30.0), 9.0)
        self.assertGreater(self.lapse(2.0, begins_at=99.0, played=30.0), 8.0)

    def test_it_is_kept_while_an_answer_is_written(self) -> None:
        self.assertGreater(self.lapse(2.0, begins_at=3.0, played=30.0), 30.0)

    def test_a_prompt_that_takes_longer_to_read_has_its_time(self) -> None:
        self.assertGreater(self.lapse(9.0, begins_at=99.0, played=30.0), 12.0)

    def test_a_dead_holders_memory_is_soon_free(self) -> None:
        # 4 s are allowed to memory that is set aside for a request that ended.
        self.assertLess(HOLD_SECONDS, 4.0)
        self.assertLess(2 * RENEW_SECONDS, HOLD_SECONDS)
        self.assertTrue(asyncio.iscoroutinefunction(LeaseManager.keep_alive))


if __name__ == "__main__":
    unittest.main()
