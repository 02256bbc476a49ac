"""How long an attempt may be silent."""

import unittest
from dataclasses import replace

from pondpin.relay.engine_choice import EngineChoice
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream
from pondpin.relay.patience import Patience, patience_for
from pondpin.relay.planner import Plan, RelayPolicy
from pondpin.relay.retry_window import FEWEST_SHARERS, RetryBounds, RetryWindow
from pondpin.relay.upstreams import UpstreamState
from pondpin.tests.test_relay_planner import make_call

ENGINE = UpstreamState(ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False))
PLAN = Plan(ENGINE, (), EngineChoice("e0", (), 0.02, 0, 0.1, 0.0, 2), 9)
POLICY = RelayPolicy()
ENDLESS = Patience(None, None)


class PatienceTest(unittest.TestCase):
    def test_a_silent_stream_is_left_while_another_upstream_may_take_it(self) -> None:
        found = patience_for(make_call(5000), PLAN, POLICY, True)
        assert found.first is not None and found.gap is not None and found.ask is not None
        self.assertLess(found.ask, found.first)
        self.assertLess(found.gap, make_call(5000).patience)

    def test_silence_does_not_end_the_last_attempt(self) -> None:
        self.assertEqual(patience_for(make_call(5000), PLAN, POLICY, False), ENDLESS)

    def test_what_may_not_be_repeated_is_never_left(self) -> None:
        call = make_call(5000)
        call = replace(call, route=replace(call.route, resumable=False))
        self.assertEqual(patience_for(call, PLAN, POLICY, True), ENDLESS)

    def test_without_second_tries_every_attempt_is_the_last(self) -> None:
        policy = RelayPolicy(without=frozenset({Mechanism.SECOND_TRIES}))
        self.assertEqual(patience_for(make_call(5000), PLAN, policy, True), ENDLESS)


class RetryShareTest(unittest.TestCase):
    def test_looking_spends_nothing(self) -> None:
        window = RetryWindow(RetryBounds(0.0, 2.0 * FEWEST_SHARERS, 10.0))
        for _ in range(9):
            self.assertTrue(window.has_left(5.0, 1))
        while window.spend(5.0, 1):
            pass
        self.assertFalse(window.has_left(5.0, 1))
        self.assertTrue(window.has_left(15.1, 1))


if __name__ == "__main__":
    unittest.main()
