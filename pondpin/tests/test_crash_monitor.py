"""Calls of pondpin's own callers that end the engines which run them.

Story: the hole that relayed requests had stood here too: each repeat of such a prompt got three
engines, at whichever instance. Cause: nothing was remembered beyond a call's own attempts. Proof:
the first test ends 15 times an engine without it, 3 times with it.
"""

import unittest

from pondpin.codes import Code, Ran
from pondpin.crash_monitor import BROKEN_SECONDS, CrashMonitor
from pondpin.fleet import Fleet, UpstreamState
from pondpin.http_client import ConnectOutcome
from pondpin.quarantine import Verdict
from pondpin.standins.engine import Engine
from pondpin.tests.support import FakeClock, FleetCase, question, run_async, wait_until
from pondpin.tools.caller import Asked

DEADLY = "the same prompt again"
MOST_ENDED = 4


class DeadlyPromptTest(FleetCase):
    async def ask_deadly(self) -> Asked:
        return await self.caller.ask(question(DEADLY))

    def engines(self) -> list[Engine]:
        return list(self.fleet.engines_by_name.values())

    async def until_back(self) -> None:
        """Wait until the engines are back and every instance has polled them."""
        await wait_until(lambda: all(map(self.is_known, self.fleet.engines_by_name)))

    def is_known(self, name: str) -> bool:
        engine = self.fleet.engines_by_name[name]
        fleets = [item.instance.fleet for item in self.fleet.entries_by_name.values()]
        same = [fleet.by_name[name].incarnation == engine.incarnation for fleet in fleets]
        return not engine.faults.dead and all(same)

    def test_repeats_reach_few_engines_and_are_refused_truly(self) -> None:
        async def test() -> None:
            for engine in self.engines():
                engine.deadly_prompts = frozenset({DEADLY})
            asked = []
            for _ in range(8):
                asked.append(await self.ask_deadly())
                await self.until_back()
            deaths = sum(engine.deaths for engine in self.engines())
            self.assertLessEqual(deaths, MOST_ENDED)
            self.assertEqual((asked[-1].code, asked[-1].ran), (Code.QUARANTINED, Ran.NOT_RUN))
            other = await self.caller.ask(question("another one"))
            self.assertTrue(other.whole, other.code)

        self.drive(test)

    def test_peers_and_an_instance_that_starts_know_it(self) -> None:
        async def test() -> None:
            for engine in self.engines():
                engine.deadly_prompts = frozenset({DEADLY})
            for _ in range(4):
                await self.ask_deadly()
                await self.until_back()
            await self.fleet.kill_entry("b1")
            running = await self.fleet.start_entry(self.fleet.spec.entries[1])
            watch = running.instance.crashes
            await wait_until(lambda: bool(watch.quarantine.ends_by_identity))
            identity = next(iter(watch.quarantine.ends_by_identity))
            self.assertIs(watch.assess(identity).verdict, Verdict.QUARANTINED)

        self.drive(test)


class ProofTest(unittest.TestCase):
    """What proves an end, without sockets."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.answer = ConnectOutcome.CONNECTED
        self.watch = CrashMonitor(
            "a", Fleet("dc"), self.reach, lambda _: 0, lambda: None, self.clock
        )

    async def reach(self, host: str, port: int) -> ConnectOutcome:
        return self.answer

    def state(self, name: str = "e1") -> UpstreamState:
        upstream: object = type("Place", (), {"address": "127.0.0.1:1"})()
        return UpstreamState(name, upstream, {}, incarnation=1)  # type: ignore[arg-type]

    def look(self, state: UpstreamState) -> None:
        run_async(self.watch.check_liveness(1, (state,)))

    def ends(self) -> int:
        return len(self.watch.assess(1).ends)

    def test_a_break_alone_proves_nothing(self) -> None:
        self.look(self.state())
        self.clock.advance(BROKEN_SECONDS)
        self.watch.refresh()
        self.assertEqual(self.ends(), 0)

    def test_a_refused_connection_and_a_later_incarnation_prove_one_end(self) -> None:
        self.answer = ConnectOutcome.REFUSED
        state = self.state()
        self.look(state)
        state.incarnation = 2
        self.watch.refresh()
        self.assertEqual(self.ends(), 1)

    def test_a_later_incarnation_proves_it(self) -> None:
        state = self.state()
        self.look(state)
        state.incarnation = 2
        self.watch.refresh()
        self.assertEqual(self.ends(), 1)

    def test_an_upstream_that_leaves_proves_nothing(self) -> None:
        self.answer = ConnectOutcome.REFUSED
        state = self.state()
        state.listed_leaving = True
        self.look(state)
        self.assertEqual(self.ends(), 0)

    def test_what_is_told_is_taken_by_a_peer(self) -> None:
        self.answer = ConnectOutcome.REFUSED
        for name in ("e1", "e2", "e3"):
            self.look(self.state(name))
        peer = CrashMonitor("b", Fleet("dc"), self.reach, lambda _: 0, lambda: None, self.clock)
        for data in (self.watch.heartbeat_payload(), b"", b"\xff", self.watch.heartbeat_payload()):
            peer.apply_payload("a", data)
        self.assertIs(peer.assess(1).verdict, Verdict.QUARANTINED)
        self.assertEqual(len(peer.assess(1).ends), 3)

    def test_what_ended_whole_is_free_at_peers_too(self) -> None:
        self.answer = ConnectOutcome.REFUSED
        self.look(self.state())
        peer = CrashMonitor("b", Fleet("dc"), self.reach, lambda _: 0, lambda: None, self.clock)
        peer.apply_payload("a", self.watch.heartbeat_payload())
        self.assertEqual(len(peer.assess(1).ends), 1)
        self.watch.record_success(1)
        peer.apply_payload("a", self.watch.heartbeat_payload())
        self.assertEqual(len(peer.assess(1).ends), 0)


if __name__ == "__main__":
    unittest.main()
