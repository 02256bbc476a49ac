"""Tests of stall timeouts, of waiting for a silent stream, and of the retry budget."""

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from pondpin.body_ends import BodyEnd, ConnectionEnd, Framing
from pondpin.relay.attempts.attempt import AttemptRunner
from pondpin.relay.attempts.event_sink import EventSink
from pondpin.relay.call import Progress
from pondpin.relay.choosing.engine_choice import EngineChoice
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.choosing.retry_window import MIN_INSTANCES, RetryBounds, RetryWindow
from pondpin.relay.choosing.stall_timeouts import StallTimeouts, stall_timeouts_for
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, ResponseHead
from pondpin.relay.passed_events import PassedEvents
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.tests.test_relay_planner import make_call
from pondpin.tools.virtual_time import run_virtual

WHOLE = BodyEnd(Framing.CHUNKED, ConnectionEnd.OPEN, is_framed=True)

ENGINE = UpstreamState(ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False))
PLAN = Plan(ENGINE, (), EngineChoice("e0", (), 0.02, 0, 0.1, 0.0, 2), 9)
POLICY = RelayPolicy()
NO_TIMEOUTS = StallTimeouts(None, None)


class StallTimeoutsTest(unittest.TestCase):
    def test_a_stream_that_can_be_retried_has_timeouts(self) -> None:
        timeouts = stall_timeouts_for(make_call(5000), PLAN, POLICY, True)
        assert (
            timeouts.first_event_seconds is not None
            and timeouts.gap_seconds is not None
            and timeouts.query_seconds is not None
        )
        self.assertLess(timeouts.query_seconds, timeouts.first_event_seconds)
        self.assertLess(timeouts.gap_seconds, make_call(5000).caller_timeout)

    def test_the_last_attempt_has_no_timeouts(self) -> None:
        self.assertEqual(stall_timeouts_for(make_call(5000), PLAN, POLICY, False), NO_TIMEOUTS)

    def test_a_request_that_must_not_be_repeated_has_no_timeouts(self) -> None:
        call = make_call(5000)
        call = replace(call, route=replace(call.route, resumable=False))
        self.assertEqual(stall_timeouts_for(call, PLAN, POLICY, True), NO_TIMEOUTS)

    def test_no_timeouts_with_retries_disabled(self) -> None:
        policy = RelayPolicy(without=frozenset({Mechanism.SECOND_TRIES}))
        self.assertEqual(stall_timeouts_for(make_call(5000), PLAN, policy, True), NO_TIMEOUTS)


class ScriptedObserver:
    """An observer of a busy upstream that answers status queries."""

    def __init__(self, can_retry: bool) -> None:
        self._may_retry = can_retry

    def on_head(self, head: ResponseHead) -> None: ...

    def on_first_event(self) -> None: ...

    def on_data(self, now: float) -> None: ...

    def busy_until(self, now: float) -> float:
        return 0.0

    def is_partitioned(self, now: float) -> bool:
        return False

    async def query_status(self) -> bool:
        return True

    def withhold_reason(self, connection: Any) -> str:
        return ""

    def may_retry(self) -> bool:
        return self._may_retry


class WaitForEndTest(unittest.TestCase):
    def wait(
        self, can_retry: bool, timeouts: StallTimeouts, progress: Progress | None = None
    ) -> tuple[bool | None, float]:
        """Wait for a stream that ends after three seconds of silence."""

        async def work() -> tuple[bool | None, float]:
            loop = asyncio.get_running_loop()
            http: Any = None
            dialect: Any = None
            call = make_call(5000)
            state = progress or Progress(events=3)
            observer = ScriptedObserver(can_retry)
            sink = EventSink(call, state, loop.time, lambda: None, observer)
            loop.call_later(3.0, sink.on_end, WHOLE)
            started_at = loop.time()
            attempts = AttemptRunner(http, dialect, loop.time)
            is_complete = await attempts.wait_for_end(call, sink, state, timeouts, observer)
            self.response_end = sink.response_end
            return is_complete, loop.time() - started_at

        result: tuple[bool | None, float] = run_virtual(work())
        return result

    def test_a_silent_stream_is_abandoned_if_it_can_be_retried(self) -> None:
        is_complete, seconds = self.wait(True, StallTimeouts(1.0, 1.0, 0.5))
        self.assertIsNone(is_complete)
        self.assertAlmostEqual(seconds, 1.0, 3)

    def test_a_silent_stream_is_awaited_if_it_cannot_be_retried(self) -> None:
        is_complete, seconds = self.wait(False, StallTimeouts(1.0, 1.0, 0.5))
        self.assertIs(is_complete, True)
        self.assertAlmostEqual(seconds, 3.0, 3)

    def test_a_silence_of_the_upstream_is_no_standstill_of_the_instance(self) -> None:
        self.wait(False, StallTimeouts(None, None, None))
        assert self.response_end is not None
        self.assertIsNone(self.response_end.gap_ended_at)

    def test_a_silent_stream_is_awaited_if_it_cannot_be_resumed(self) -> None:
        progress = Progress(events=3, head_sent=True, passed=PassedEvents(ends_unnumbered=True))
        is_complete, seconds = self.wait(True, StallTimeouts(1.0, 1.0, 0.5), progress)
        self.assertIs(is_complete, True)
        self.assertAlmostEqual(seconds, 3.0, 3)


class RetryBudgetTest(unittest.TestCase):
    def test_checking_the_budget_does_not_spend_it(self) -> None:
        window = RetryWindow(RetryBounds(0.0, 2.0 * MIN_INSTANCES, 10.0))
        for _ in range(9):
            self.assertTrue(window.has_budget(5.0, 1))
        while window.spend(5.0, 1):
            pass
        self.assertFalse(window.has_budget(5.0, 1))
        self.assertTrue(window.has_budget(15.1, 1))


if __name__ == "__main__":
    unittest.main()
