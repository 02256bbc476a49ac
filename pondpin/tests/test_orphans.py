"""Orphans: work on engines whose holder will never end it."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.controllers.orphans import HolderView, orphan_cause
from pondpin.engine_protocol import HeldWork
from pondpin.standins.faults import Faults
from pondpin.tests.support import FleetCase, question, wait_until

GRACE = 5.0


def held_work(deadline: float = 100.0, incarnation: int = 5) -> HeldWork:
    return HeldWork(
        instance="a1", incarnation=incarnation, deadline=deadline, blocks=1, request="r", attempt=0
    )


class OrphanCauseTest(unittest.TestCase):
    def test_work_past_deadline_and_grace(self) -> None:
        holder = HolderView(is_self=False, newest_incarnation=5)
        self.assertEqual(orphan_cause(held_work(), holder, False, 104.0, GRACE), "")
        self.assertTrue(orphan_cause(held_work(), holder, False, 106.0, GRACE))

    def test_silent_holder_keeps_its_work(self) -> None:
        self.assertEqual(orphan_cause(held_work(), HolderView(False, 0), False, 50.0, GRACE), "")

    def test_newer_incarnation_of_the_holder(self) -> None:
        self.assertTrue(orphan_cause(held_work(), HolderView(False, 6), False, 50.0, GRACE))

    def test_unknown_own_work(self) -> None:
        self.assertTrue(orphan_cause(held_work(), HolderView(True, 5), False, 50.0, GRACE))
        self.assertEqual(orphan_cause(held_work(), HolderView(True, 5), True, 50.0, GRACE), "")

    @given(newest=st.integers(0, 5), now=st.floats(0, 100), known=st.booleans())
    def test_work_of_other_live_holders_is_kept(self, newest: int, now: float, known: bool) -> None:
        self.assertEqual(
            orphan_cause(held_work(), HolderView(False, newest), known, now, GRACE), ""
        )


class ReleaseTest(FleetCase):
    def test_work_of_a_killed_instance_is_released_after_its_restart(self) -> None:
        async def test() -> None:
            call = self.caller.ask(question("lost", max_tokens=1000, allowed=50.0))
            import asyncio

            task = asyncio.create_task(call)
            await wait_until(lambda: self.held_blocks() > 0)
            serving = next(
                name
                for name, item in self.fleet.entries_by_name.items()
                if item.instance.callers.open_calls
            )
            # Slow engines, so that the work doesn't end by itself.
            for engine in self.fleet.engines_by_name.values():
                engine.apply_faults(Faults(slow=40.0))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await self.fleet.kill_entry(serving)
            spec = next(item for item in self.fleet.spec.entries if item.name == serving)
            await self.fleet.start_entry(spec)
            await self.nothing_held()

        self.drive(test)
