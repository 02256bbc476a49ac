"""All instances together keep to a limit that an upstream names.

Guards against instances that each apply the limit on their own: the upstream names it in its
answers, every instance that forwarded one goes on with up to one request a second, and together
they send two or three. Users saw an upstream with a limit of one request a second receive 13
requests in 4 s from instances that knew the limit; 11 were allowed.
"""

import asyncio
import unittest

from pondpin.standins.limits_kept import AIM, USERS_BOUND, Bound, most_over, worst_over
from pondpin.standins.local_platform import LocalPlatform
from pondpin.standins.wishes import Wishes
from pondpin.standins.worker import Worker
from pondpin.tests.support import RelayTest, ask

# Two windows of the bounds.
LOAD_SECONDS = 8.0
CONCURRENCY = 8
LIMITS = ("1", "0.5", "6")


async def load(platform: LocalPlatform, route: str, seconds: float) -> list[int]:
    """Send CONCURRENCY requests at a time to the instances in turn; return their statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    statuses: list[int] = []

    async def send_requests(sender: int) -> None:
        number = 0
        while loop.time() < end:
            instance = (sender + number) % len(platform.entries)
            attempt = f"relay-{instance}.{route}{sender}n{number}"
            answer = await ask(platform, route, attempt, instance)
            statuses.append(answer.status)
            number += 1

    await asyncio.gather(*(send_requests(sender) for sender in range(CONCURRENCY)))
    return statuses


class IncidentTest(RelayTest):
    """The load that users saw, with limits on several upstreams and engines."""

    instances = 8
    engines = 8

    async def add_plain(self, platform: LocalPlatform) -> None:
        for number in range(2, 8):
            platform.add_worker(f"plain-{number}", "plain", number)
        await platform.until(
            lambda: all(len(entry.table.of_service("plain")) == 8 for entry in platform.entries)
        )

    def name_limits(self, platform: LocalPlatform, kind: str) -> list[Worker]:
        limited = [platform.workers_by_id[f"{kind}-{number}"] for number in range(len(LIMITS))]
        for worker, limit in zip(limited, LIMITS, strict=True):
            worker.limit = limit
        return limited

    def test_limits_are_kept_to_by_all_instances_together(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.add_plain(platform)
            for kind, route in (("plain", "again"), ("engine", "stream")):
                limited = self.name_limits(platform, kind)
                statuses = await load(platform, route, LOAD_SECONDS)
                with self.subTest(route):
                    self.assertEqual(set(statuses), {200})
                    for worker in limited:
                        self.assertTrue(worker.wishes.arrivals)
                    self.assertLessEqual(worst_over([item.wishes for item in limited]), 0.0)

        self.play(work)


class CheckTest(unittest.TestCase):
    """The bound checks that these tests, the soak and the measurements use."""

    def wishes(self, *arrivals: tuple[float, str, float | None]) -> Wishes:
        wishes = Wishes()
        for at, sender, limit in arrivals:
            wishes.note(sender, at, False, 0.0, limit)
        return wishes

    def test_aim_counts_all_requests_users_bound_counts_informed_senders(self) -> None:
        first = [(0.0, "a", 1.0)]
        later = [(5.0 + n / 10, "a" if n % 2 else "b", 1.0) for n in range(30)]
        wishes = self.wishes(*first, *later)
        self.assertEqual(most_over(wishes, AIM), 30 - 8)
        # Requests of b count from half a second after its first one.
        self.assertEqual(most_over(wishes, USERS_BOUND), 15 + 12 - 11)

    def test_requests_before_a_limit_is_binding_do_not_count(self) -> None:
        wishes = self.wishes(*((n / 10, "a", 1.0) for n in range(14)))
        self.assertEqual(most_over(wishes, AIM), float("-inf"))

    def test_raised_limit_applies_at_once_lowered_one_later_lifted_one_not(self) -> None:
        bound = Bound(1.0, 0.0, 0.0, 1.0)
        raised = self.wishes((0.0, "a", 1.0), *((5.0 + n, "a", 3.0) for n in range(8)))
        self.assertEqual(most_over(raised, bound), 1 - 4)
        lowered = self.wishes((0.0, "a", 3.0), (5.0, "a", 1.0), (5.95, "a", 1.0), (9.9, "a", 1.0))
        # 0.1 s at a limit of 3 and 3.9 s at 1, with two requests.
        self.assertAlmostEqual(most_over(lowered, bound), 2 - (0.1 * 3 + 3.9))
        lifted = self.wishes((0.0, "a", 1.0), (6.0, "a", None), *((6.1, "a", None),) * 9)
        self.assertAlmostEqual(most_over(lifted, bound), 1 - 4)

    def test_liveness_checks_and_reports_count_as_requests(self) -> None:
        wishes = self.wishes((0.0, "a", 1.0), (9.0, "a", 1.0))
        wishes.others += [8.0, 8.5]
        self.assertEqual(most_over(wishes, Bound(1.0, 0.0, 0.0, 0.0)), 3 - 4)


if __name__ == "__main__":
    unittest.main()
