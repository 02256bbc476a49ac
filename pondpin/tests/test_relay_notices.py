"""Notices in the answers of upstreams are obeyed.

Guards against two failures. An upstream announced in its answers that it was leaving, while the
store was unreachable and so the list could not show it; 12.8 s later an instance that had received
such an answer still sent it requests. And a full upstream that had answered 503 with a rest of 3 s
got up to six requests from the same instance in that time, while callers were refused although 13
of 18 engines were free. The instance read only the status and the load of an answer.

Each such answer is logged (`upstream_notice`), and its age at each placement (`placed`).
"""

import unittest

from pondpin.standins.local_platform import LocalPlatform
from pondpin.standins.wishes import windows_over, worst_rest
from pondpin.tests.support import RelayTest, ask

ROUTES = ("stream", "long", "once", "again")
REQUESTS = 24
REST = "3"


async def ask_all(platform: LocalPlatform, route: str, times: int = REQUESTS) -> list[int]:
    """Send requests one after the other, alternating between instances; return the statuses."""
    statuses = []
    for number in range(times):
        instance = number % len(platform.entries)
        attempt = f"relay-{instance}.{route}{number}"
        if route == "long":
            answer = await ask(platform, route, attempt, instance, x_token_usage="5000,500")
        else:
            answer = await ask(platform, route, attempt, instance)
        statuses.append(answer.status)
    return statuses


class NoticeTest(RelayTest):
    """The list shows all upstreams as ready; one engine and one plain upstream send notices."""

    instances = 2
    engines = 2

    def test_no_request_after_a_leaving_notice(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            leaving = [platform.workers_by_id[name] for name in ("engine-0", "plain-0")]
            for worker in leaving:
                worker.says_leaving = True
            for route in ROUTES:
                with self.subTest(route):
                    statuses = await ask_all(platform, route)
                    self.assertEqual(set(statuses), {200})
            for worker in leaving:
                with self.subTest(worker.id):
                    self.assertEqual(worker.wishes.late(0.0), 0)
                    self.assertLessEqual(len(worker.wishes.arrivals), len(platform.entries))

        self.play(work)

    def test_no_request_during_a_rest(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            resting = [platform.workers_by_id[name] for name in ("engine-0", "plain-0")]
            for worker in resting:
                worker.rest = REST
            for route in ROUTES:
                with self.subTest(route):
                    statuses = await ask_all(platform, route)
                    # A request that may be sent only once is refused with a retry time.
                    max_refused = len(platform.entries) if route == "once" else 0
                    self.assertLessEqual(sum(status != 200 for status in statuses), max_refused)
            for worker in resting:
                with self.subTest(worker.id):
                    self.assertEqual(windows_over([worker.wishes]), 0)
                    self.assertEqual(worst_rest([worker.wishes]), 0)
                    self.assertLessEqual(len(worker.wishes.arrivals), len(platform.entries))

        self.play(work)


if __name__ == "__main__":
    unittest.main()
