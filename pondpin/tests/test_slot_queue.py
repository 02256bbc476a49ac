"""The queue of one upstream's slots: each test names the failure that it guards against."""

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.overload.slot_queue import SlotQueue
from pondpin.overload.slots import SlotDecision, SlotOutcome, SlotRequest, SlotScheduler

HOLD = 1.0
GRANTED, WAITING, REFUSED = SlotOutcome.GRANTED, SlotOutcome.WAITING, SlotOutcome.REFUSED


def ask(
    key: int, rank: int = 0, account: int = 1, wait: float = 0.9, is_return: bool = False
) -> SlotRequest:
    return SlotRequest(key, rank, account, HOLD, wait, is_return)


def outcomes(decisions: tuple[SlotDecision, ...]) -> dict[int, SlotOutcome]:
    return {decision.key: decision.outcome for decision in decisions}


class HugeLoadTest(unittest.TestCase):
    def test_a_huge_reported_load_takes_no_memory(self) -> None:
        """Guards against an instance that runs out of memory as an upstream reports its load."""
        queue = SlotQueue(2, HOLD)
        queue.request(ask(1), 0.0)
        queue.observe_load(10**12, 0, 0.1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(outcomes(queue.request(ask(2, wait=5.0), 0.2)), {2: WAITING})
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, 1 << 20)


class OrderTest(unittest.TestCase):
    """Two slots; a third request waits half a second or more for one of them."""

    def setUp(self) -> None:
        self.queue: SlotScheduler = SlotQueue(2, HOLD)
        self.queue.request(ask(1, account=9), 0.0)
        self.queue.request(ask(2, account=9), 0.5)

    def test_free_slots_are_granted_at_once(self) -> None:
        """Guards against a mechanism that is noticed while capacity suffices."""
        status = self.queue.status(0.5)
        self.assertEqual((status.granted, status.waiting), (2, 0))

    def test_urgent_request_displaces_the_last_in_order(self) -> None:
        """Guards against ranks that have no effect once the queue is full."""
        self.assertEqual(outcomes(self.queue.request(ask(3, rank=2), 0.5)), {3: WAITING})
        self.assertEqual(
            outcomes(self.queue.request(ask(4, rank=0), 0.6)), {4: WAITING, 3: REFUSED}
        )
        self.assertEqual(outcomes(self.queue.release(1, 1.0)), {4: GRANTED})

    def test_account_under_its_share_displaces_one_over_it(self) -> None:
        """Guards against a small account that is refused because another one is over its share."""
        self.queue.request(ask(3, account=9), 0.5)
        self.assertEqual(
            outcomes(self.queue.request(ask(4, account=1), 0.6)), {4: WAITING, 3: REFUSED}
        )
        self.assertEqual(
            outcomes(self.queue.request(ask(5, account=9, wait=0.7), 0.7)), {5: REFUSED}
        )

    def test_return_goes_before_new_requests_of_its_rank(self) -> None:
        """Guards against callers that return as told and are refused again."""
        self.queue.request(ask(3, account=1), 0.5)
        self.assertEqual(
            outcomes(self.queue.request(ask(4, account=9, is_return=True), 0.6)),
            {4: WAITING, 3: REFUSED},
        )

    def test_refused_requests_do_not_charge_their_account(self) -> None:
        """Guards against an account that is starved for all that it was refused."""
        for key in range(3, 50):
            self.queue.request(ask(key, account=9, wait=0.0), 0.5)
        granted: list[int] = []
        for number in range(20):
            now = 1.0 + number / 2
            for account in (9, 1):
                self.queue.request(ask(100 + 10 * number + account, account=account), now)
            ended = (1, 2)[number] if number < 2 else granted[number - 2]
            granted += [
                decision.key
                for decision in self.queue.release(ended, now)
                if decision.outcome is GRANTED
            ]
        self.assertEqual(len(granted), 20)
        self.assertAlmostEqual(sum(key % 10 == 9 for key in granted), 10, delta=1)

    def test_withdrawn_request_is_forgotten(self) -> None:
        """Guards against slots granted to callers that have gone."""
        self.queue.request(ask(3), 0.5)
        self.queue.release(3, 0.6)
        self.assertEqual(self.queue.release(1, 1.0), ())
        self.assertEqual(self.queue.status(1.0).waiting, 0)

    def test_repeated_request_changes_nothing(self) -> None:
        """Guards against a datagram delivered twice that takes two slots."""
        self.assertEqual(outcomes(self.queue.request(ask(1, account=9), 0.6)), {1: GRANTED})
        self.queue.request(ask(3), 0.6)
        self.assertEqual(outcomes(self.queue.request(ask(3), 0.6)), {3: WAITING})
        status = self.queue.status(0.6)
        self.assertEqual((status.granted, status.waiting), (2, 1))

    def test_repeat_of_an_overdue_request_is_decided_once(self) -> None:
        """Guards against a request that is refused and granted in the same call."""
        self.queue.request(ask(3), 0.5)
        decisions = self.queue.request(ask(3), 3.9)
        self.assertEqual([decision.outcome for decision in decisions], [REFUSED])
        self.queue.request(ask(4, wait=9.0), 4.0)
        self.queue.request(ask(5, wait=9.0), 4.0)
        self.queue.request(ask(6, wait=9.0), 4.0)
        decisions = self.queue.request(ask(6, wait=9.0), 7.5)
        self.assertEqual([decision.outcome for decision in decisions], [GRANTED])

    def test_request_with_other_owners_waits_for_short_queues_only(self) -> None:
        """Guards against a request that waits long here while another upstream is free."""
        other = SlotRequest(3, 0, 1, HOLD, 0.9, is_last=False)
        self.queue.request(ask(4, account=1), 0.5)
        self.assertEqual(outcomes(self.queue.request(other, 0.55)), {3: REFUSED})
        self.assertEqual(
            outcomes(self.queue.request(ask(5, account=1, wait=0.99), 0.55)), {5: WAITING}
        )

    def test_less_urgent_request_is_not_granted_ahead(self) -> None:
        """Guards against a slot promised to a less urgent request just before an urgent one."""
        queue = SlotQueue(2, 0.1)
        self.assertEqual(queue.ahead, 1)
        for key in (1, 2):
            queue.request(SlotRequest(key, 0, 1, 0.1, 0.2), 0.0)
        self.assertEqual(
            outcomes(queue.request(SlotRequest(3, 2, 1, 0.1, 0.2), 0.01)), {3: WAITING}
        )
        self.assertEqual(
            outcomes(queue.request(SlotRequest(4, 0, 1, 0.1, 0.2), 0.02)), {4: GRANTED}
        )


class LapseTest(unittest.TestCase):
    def test_grant_that_is_never_released_expires(self) -> None:
        """Guards against slots that stay occupied for an instance that has ended."""
        queue = SlotQueue(1, HOLD)
        queue.request(ask(1), 0.0)
        queue.expire(2.9)
        self.assertEqual(queue.status(2.9).granted, 1)
        queue.request(ask(2, wait=5.0), 2.9)
        self.assertEqual(outcomes(queue.expire(3.0)), {2: GRANTED})

    def test_short_grants_are_kept_for_half_a_second(self) -> None:
        """Guards against short requests whose end is late being granted twice."""
        queue = SlotQueue(1, 0.01)
        queue.request(SlotRequest(1, 0, 1, 0.01, 1.0), 0.0)
        queue.expire(0.4)
        self.assertEqual(queue.status(0.4).granted, 1)
        queue.expire(0.5)
        self.assertEqual(queue.status(0.5).granted, 0)

    def test_holds_that_grow_are_learned_from_late_ends(self) -> None:
        """Guards against an estimate that stays too short because each grant expires first."""
        queue = SlotQueue(1, HOLD)
        for key in range(200):
            queue.request(ask(key), key * 10.0)
            queue.release(key, key * 10.0 + 5.0)
        self.assertAlmostEqual(queue.status(2000.0).hold_seconds, 5.0, delta=0.5)

    def test_request_that_waited_too_long_is_refused(self) -> None:
        """Guards against callers that learn of a refusal only when their time is over."""
        queue = SlotQueue(1, HOLD)
        queue.request(ask(1), 0.0)
        queue.request(ask(2, wait=1.5), 0.0)
        self.assertEqual(outcomes(queue.expire(1.6)), {2: REFUSED})


class ReportedLoadTest(unittest.TestCase):
    def test_requests_without_a_grant_occupy_slots(self) -> None:
        """Guards against a new owner that grants slots which its predecessor's grants still use."""
        queue = SlotQueue(2, HOLD)
        queue.observe_load(2, 0, 0.0)
        self.assertEqual(outcomes(queue.request(ask(1, wait=0.1), 0.0)), {1: REFUSED})
        queue.observe_load(1, 0, 0.5)
        self.assertEqual(outcomes(queue.request(ask(2, wait=0.1), 0.5)), {2: GRANTED})

    def test_report_from_before_a_grant_is_no_evidence(self) -> None:
        """Guards against a report under way while a slot changes hands counting it twice."""
        queue = SlotQueue(2, HOLD)
        queue.request(ask(1), 0.0)
        queue.request(ask(2), 0.0)
        queue.release(1, 1.0)
        queue.request(ask(3), 1.0)
        queue.observe_load(2, 0, 1.001)
        self.assertEqual(queue.status(1.001).ungranted, 0)
        # A report of one request may date from before the new grant, or from after it.
        queue.observe_load(1, 0, 1.002)
        self.assertEqual(queue.status(1.002).ungranted, 0)

    def test_load_without_reports_is_forgotten(self) -> None:
        """Guards against slots that stay occupied by requests that ended unseen."""
        queue = SlotQueue(2, HOLD)
        queue.observe_load(4, 3, 0.0)
        queue.expire(3.0)
        self.assertEqual(outcomes(queue.request(ask(1), 3.0)), {1: GRANTED})


OPERATION = st.tuples(
    st.sampled_from(["ask", "ask", "ask", "repeat", "release", "expire", "load"]),
    st.integers(0, 40),
    st.integers(0, 2),
    st.integers(0, 3),
    st.floats(0.0, 3.0),
    st.floats(0.0, 1.0),
    st.booleans(),
)


class RandomOperationsTest(unittest.TestCase):
    @given(st.integers(1, 6), st.lists(OPERATION, max_size=120))
    def test_invariants(
        self, slots: int, work: list[tuple[str, int, int, int, float, float, bool]]
    ) -> None:
        """Guards against too many grants, requests without or with two decisions, and leaks."""
        queue = SlotQueue(slots, HOLD)
        final: dict[int, SlotOutcome] = {}
        open_keys: set[int] = set()
        now = 0.0

        def apply(decisions: tuple[SlotDecision, ...]) -> None:
            for decision in decisions:
                if decision.outcome is not WAITING:
                    self.assertNotIn(decision.key, final)
                    self.assertIn(decision.key, open_keys)
                    final[decision.key] = decision.outcome
                    open_keys.discard(decision.key)

        for number, (what, index, rank, account, wait, step, is_return) in enumerate(work):
            now += step
            before = queue.status(now)
            if what == "ask":
                open_keys.add(number)
                decisions = queue.request(ask(number, rank, account, wait, is_return), now)
                self.assertEqual(decisions[0].key, number)
                apply(decisions)
            elif what == "repeat":
                if index in open_keys:
                    apply(queue.request(ask(index, rank, account, wait), now))
            elif what == "release":
                open_keys.discard(index)
                apply(queue.release(index, now))
            elif what == "load":
                apply(queue.observe_load(index % 8, index % 5, now))
            else:
                apply(queue.expire(now))
            status = queue.status(now)
            # One of 6 slots of 1 s is granted ahead.
            most = slots + queue.ahead
            self.assertLessEqual(status.granted, max(before.granted, most))
            self.assertTrue(
                status.granted + status.ungranted <= most or status.granted <= before.granted
            )
            self.assertEqual(status.waiting, len(open_keys))
            # Work conservation: nobody waits while a slot is free.
            self.assertTrue(status.waiting == 0 or status.granted + status.ungranted >= slots)
        now += 1000.0
        apply(queue.expire(now))
        for _ in range(len(work)):
            now += 1000.0
            apply(queue.expire(now))
        status = queue.status(now)
        self.assertEqual((status.granted, status.waiting, open_keys), (0, 0, set()))


if __name__ == "__main__":
    unittest.main()
