"""Calls of pondpin's own callers that crash the engines which run them.

Guards against repeats of such a prompt that each crash three engines, at any instance, because
only a call's own attempts were tracked: the first test then sees 15 crashes instead of 3.
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
MAX_DEATHS = 4


class DeadlyPromptTest(FleetCase):
    async def send_deadly(self) -> Asked:
        return await self.caller.ask(question(DEADLY))

    def engines(self) -> list[Engine]:
        return list(self.fleet.engines_by_name.values())

    async def wait_restarted(self) -> None:
        """Wait until the engines have restarted and every instance has polled them."""
        await wait_until(lambda: all(map(self.is_known, self.fleet.engines_by_name)))

    def is_known(self, name: str) -> bool:
        engine = self.fleet.engines_by_name[name]
        fleets = [item.instance.fleet for item in self.fleet.entries_by_name.values()]
        is_same = [fleet.by_name[name].incarnation == engine.incarnation for fleet in fleets]
        return not engine.faults.dead and all(is_same)

    def test_repeats_crash_few_engines_and_are_refused_as_not_run(self) -> None:
        async def test() -> None:
            for engine in self.engines():
                engine.deadly_prompts = frozenset({DEADLY})
            asked = []
            for _ in range(8):
                asked.append(await self.send_deadly())
                await self.wait_restarted()
            deaths = sum(engine.deaths for engine in self.engines())
            self.assertLessEqual(deaths, MAX_DEATHS)
            self.assertEqual((asked[-1].code, asked[-1].ran), (Code.QUARANTINED, Ran.NOT_RUN))
            other = await self.caller.ask(question("another one"))
            self.assertTrue(other.whole, other.code)

        self.drive(test)

    def test_a_starting_instance_learns_the_quarantine(self) -> None:
        async def test() -> None:
            for engine in self.engines():
                engine.deadly_prompts = frozenset({DEADLY})
            for _ in range(4):
                await self.send_deadly()
                await self.wait_restarted()
            await self.fleet.kill_entry("b1")
            running = await self.fleet.start_entry(self.fleet.spec.entries[1])
            monitor = running.instance.crashes
            await wait_until(lambda: bool(monitor.quarantine.ends_by_identity))
            identity = next(iter(monitor.quarantine.ends_by_identity))
            self.assertIs(monitor.assess(identity).verdict, Verdict.QUARANTINED)

        self.drive(test)


class DetectionTest(unittest.TestCase):
    """Detection of ends, without sockets."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.outcome = ConnectOutcome.CONNECTED
        self.monitor = CrashMonitor(
            "a", Fleet("dc"), self.try_connect, lambda _: 0, lambda: None, self.clock
        )

    async def try_connect(self, host: str, port: int) -> ConnectOutcome:
        return self.outcome

    def state(self, name: str = "e1") -> UpstreamState:
        upstream: object = type("Place", (), {"address": "127.0.0.1:1"})()
        return UpstreamState(name, upstream, {}, incarnation=1)  # type: ignore[arg-type]

    def check(self, state: UpstreamState) -> None:
        run_async(self.monitor.check_liveness(1, (state,)))

    def ends(self) -> int:
        return len(self.monitor.assess(1).ends)

    def test_a_broken_call_alone_is_no_end(self) -> None:
        self.check(self.state())
        self.clock.advance(BROKEN_SECONDS)
        self.monitor.refresh()
        self.assertEqual(self.ends(), 0)

    def test_a_refused_connection_and_a_later_incarnation_count_once(self) -> None:
        self.outcome = ConnectOutcome.REFUSED
        state = self.state()
        self.check(state)
        state.incarnation = 2
        self.monitor.refresh()
        self.assertEqual(self.ends(), 1)

    def test_a_later_incarnation_is_an_end(self) -> None:
        state = self.state()
        self.check(state)
        state.incarnation = 2
        self.monitor.refresh()
        self.assertEqual(self.ends(), 1)

    def test_a_leaving_upstream_is_no_end(self) -> None:
        self.outcome = ConnectOutcome.REFUSED
        state = self.state()
        state.listed_leaving = True
        self.check(state)
        self.assertEqual(self.ends(), 0)

    def test_a_peer_merges_the_payload(self) -> None:
        self.outcome = ConnectOutcome.REFUSED
        for name in ("e1", "e2", "e3"):
            self.check(self.state(name))
        peer = CrashMonitor(
            "b", Fleet("dc"), self.try_connect, lambda _: 0, lambda: None, self.clock
        )
        for data in (
            self.monitor.heartbeat_payload(),
            b"",
            b"\xff",
            self.monitor.heartbeat_payload(),
        ):
            peer.apply_payload("a", data)
        self.assertIs(peer.assess(1).verdict, Verdict.QUARANTINED)
        self.assertEqual(len(peer.assess(1).ends), 3)

    def test_a_success_clears_the_ends_at_peers(self) -> None:
        self.outcome = ConnectOutcome.REFUSED
        self.check(self.state())
        peer = CrashMonitor(
            "b", Fleet("dc"), self.try_connect, lambda _: 0, lambda: None, self.clock
        )
        peer.apply_payload("a", self.monitor.heartbeat_payload())
        self.assertEqual(len(peer.assess(1).ends), 1)
        self.monitor.record_success(1)
        peer.apply_payload("a", self.monitor.heartbeat_payload())
        self.assertEqual(len(peer.assess(1).ends), 0)


if __name__ == "__main__":
    unittest.main()
