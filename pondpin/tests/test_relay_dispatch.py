"""When a planned request is sent, and when it waits or is refused."""

import random
import unittest
from dataclasses import replace

from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.dispatch import REPLAN_SECONDS, DispatchDecision, Dispatcher, QueueEntry
from pondpin.relay.choosing.engine_choice import EngineChoice
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.choosing.prefill_queue import PrefillQueue, QueuedPrompt
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.tests.test_relay_planner import NOW, make_call

LEAD = UpstreamState(ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False))
# A prompt of 200,000 tokens on four engines that are free: one second of reading each.
FREE = EngineChoice("e0", (), 1.0, 0, 1.1, 0.0, 2)


class TurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = NOW
        self.calendar = PrefillQueue()
        self.told = 0
        self.settled = True
        self.turns = Dispatcher(
            self.calendar, lambda: self.now, random.Random(1), self.tell, lambda: self.settled
        )
        self.call: RelayCall = make_call(200_000, 3.0, 0.8)

    def tell(self) -> None:
        self.told += 1

    def judge(self, choice: EngineChoice, turn: QueueEntry | None = None) -> DispatchDecision:
        return self.turns.decide(self.call, Progress(), self.plan(choice), turn)

    def plan(self, choice: EngineChoice, is_long: bool = True) -> Plan:
        return Plan(LEAD, (), choice, 9, is_long)

    def test_on_free_engines_it_is_sent(self) -> None:
        self.assertIs(self.judge(FREE), DispatchDecision.SEND)

    def test_it_waits_for_engines_and_behind_others(self) -> None:
        self.assertIs(self.judge(replace(FREE, start_delay=0.4)), DispatchDecision.QUEUE)
        self.calendar.add(QueuedPrompt(7, 1.0, NOW))
        self.assertIs(self.judge(FREE), DispatchDecision.QUEUE)

    def test_in_the_calendar_it_goes_when_it_is_first(self) -> None:
        plan = self.plan(FREE)
        turn = self.turns.update_queue(self.call, Progress(), plan, None, DispatchDecision.QUEUE)
        assert turn is not None
        self.assertEqual(self.told, 1)
        self.assertIs(self.judge(FREE, turn), DispatchDecision.SEND)
        self.calendar.add(QueuedPrompt(7, 1.0, NOW + 0.5))
        self.assertIs(self.judge(FREE, turn), DispatchDecision.QUEUE)
        self.assertFalse(self.turns.should_replan(turn, self.now))
        self.now += REPLAN_SECONDS
        self.assertTrue(self.turns.should_replan(turn, NOW))
        self.assertIsNone(
            self.turns.update_queue(self.call, Progress(), plan, turn, DispatchDecision.HOLD)
        )
        self.assertEqual([item.key for item in self.calendar.queued(self.now)], [7])

    def test_it_is_held_while_others_lose_more_than_it_earns(self) -> None:
        self.assertIs(self.judge(replace(FREE, interference=0.5)), DispatchDecision.SEND)
        self.assertIs(self.judge(replace(FREE, interference=8.0)), DispatchDecision.HOLD)
        # Soon it won't be surely in time any more: a loss below its own worth is taken.
        self.now += 1.0
        self.assertIs(self.judge(replace(FREE, interference=8.0)), DispatchDecision.SEND)
        self.assertIs(self.judge(replace(FREE, interference=80.0)), DispatchDecision.HOLD)

    def test_what_comes_for_nobody_is_refused(self) -> None:
        self.assertIs(self.judge(replace(FREE, first_event_seconds=9.6)), DispatchDecision.REFUSE)

    def test_a_stream_with_events_counts_its_patience_anew(self) -> None:
        self.now += 9.8
        progress = Progress(events=3, last_event_at=self.now - 0.1)
        self.call = replace(self.call, deadline=NOW + 30.0)
        verdict = self.turns.decide(self.call, progress, self.plan(FREE), None)
        self.assertIs(verdict, DispatchDecision.SEND)

    def test_a_stream_that_has_begun_goes_on_at_once(self) -> None:
        # Its caller gives up within seconds, and half an answer is worth nothing.
        progress = Progress(events=13, last_event_at=self.now - 1.4)
        busy = replace(FREE, start_delay=0.9, interference=80.0, first_event_seconds=9.9)
        verdict = self.turns.decide(self.call, progress, self.plan(busy), None)
        self.assertIs(verdict, DispatchDecision.SEND)

    def test_before_peers_are_known_long_prompts_wait(self) -> None:
        self.settled = False
        self.assertIs(self.judge(FREE), DispatchDecision.HOLD)
        light = self.turns.decide(self.call, Progress(), self.plan(FREE, is_long=False), None)
        self.assertIs(light, DispatchDecision.SEND)


if __name__ == "__main__":
    unittest.main()
