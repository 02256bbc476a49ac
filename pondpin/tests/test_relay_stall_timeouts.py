"""How long an attempt may be silent."""

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from pondpin.relay.attempts.attempt import AttemptRunner, EventSink
from pondpin.relay.call import Progress
from pondpin.relay.choosing.engine_choice import EngineChoice
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.choosing.retry_window import MIN_INSTANCES, RetryBounds, RetryWindow
from pondpin.relay.choosing.stall_timeouts import StallTimeouts, stall_timeouts_for
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, ResponseHead
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.tests.test_relay_planner import make_call
from pondpin.tools.virtual_time import run_virtual

ENGINE = UpstreamState(ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False))
PLAN = Plan(ENGINE, (), EngineChoice("e0", (), 0.02, 0, 0.1, 0.0, 2), 9)
POLICY = RelayPolicy()
ENDLESS = StallTimeouts(None, None)


class PatienceTest(unittest.TestCase):
    def test_a_silent_stream_is_left_while_another_upstream_may_take_it(self) -> None:
        found = stall_timeouts_for(make_call(5000), PLAN, POLICY, True)
        assert (
            found.first_event_seconds is not None
            and found.gap_seconds is not None
            and found.query_seconds is not None
        )
        self.assertLess(found.query_seconds, found.first_event_seconds)
        self.assertLess(found.gap_seconds, make_call(5000).caller_timeout)

    def test_silence_does_not_end_the_last_attempt(self) -> None:
        self.assertEqual(stall_timeouts_for(make_call(5000), PLAN, POLICY, False), ENDLESS)

    def test_what_may_not_be_repeated_is_never_left(self) -> None:
        call = make_call(5000)
        call = replace(call, route=replace(call.route, resumable=False))
        self.assertEqual(stall_timeouts_for(call, PLAN, POLICY, True), ENDLESS)

    def test_without_second_tries_every_attempt_is_the_last(self) -> None:
        policy = RelayPolicy(without=frozenset({Mechanism.SECOND_TRIES}))
        self.assertEqual(stall_timeouts_for(make_call(5000), PLAN, policy, True), ENDLESS)


class ScriptedWatcher:
    """A watcher of a busy upstream that answers its report."""

    def __init__(self, may_go_elsewhere: bool) -> None:
        self._may_go_elsewhere = may_go_elsewhere

    def on_head(self, head: ResponseHead) -> None: ...

    def on_first_event(self) -> None: ...

    def on_data(self, now: float) -> None: ...

    def busy_until(self, now: float) -> float:
        return 0.0

    def is_partitioned(self, now: float) -> bool:
        return False

    async def query_status(self) -> bool:
        return True

    def withhold_reason(self) -> str:
        return ""

    def may_retry(self) -> bool:
        return self._may_go_elsewhere


class SilenceTest(unittest.TestCase):
    def wait(self, may_go_elsewhere: bool, patience: StallTimeouts) -> tuple[bool | None, float]:
        """Wait for a stream whose last event comes after a pause of three seconds."""

        async def work() -> tuple[bool | None, float]:
            loop = asyncio.get_running_loop()
            http: Any = None
            dialect: Any = None
            call = make_call(5000)
            progress = Progress(events=3)
            watcher = ScriptedWatcher(may_go_elsewhere)
            sink = EventSink(call, progress, loop.time, lambda: None, watcher)
            loop.call_later(3.0, sink.on_end, True)
            began = loop.time()
            attempts = AttemptRunner(http, dialect, loop.time)
            whole = await attempts.wait_for_end(call, sink, progress, patience, watcher)
            return whole, loop.time() - began

        found: tuple[bool | None, float] = run_virtual(work())
        return found

    def test_a_silent_stream_is_left_when_another_upstream_may_take_it(self) -> None:
        whole, seconds = self.wait(True, StallTimeouts(1.0, 1.0, 0.5))
        self.assertIsNone(whole)
        self.assertAlmostEqual(seconds, 1.0, 3)

    def test_it_is_waited_for_when_none_may_take_it_any_more(self) -> None:
        whole, seconds = self.wait(False, StallTimeouts(1.0, 1.0, 0.5))
        self.assertIs(whole, True)
        self.assertAlmostEqual(seconds, 3.0, 3)


class RetryShareTest(unittest.TestCase):
    def test_looking_spends_nothing(self) -> None:
        window = RetryWindow(RetryBounds(0.0, 2.0 * MIN_INSTANCES, 10.0))
        for _ in range(9):
            self.assertTrue(window.has_budget(5.0, 1))
        while window.spend(5.0, 1):
            pass
        self.assertFalse(window.has_budget(5.0, 1))
        self.assertTrue(window.has_budget(15.1, 1))


if __name__ == "__main__":
    unittest.main()
