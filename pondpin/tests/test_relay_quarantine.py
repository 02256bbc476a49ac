"""A request that ends the workers that run it.

Users saw: repeats of one request kept reaching workers, each ending two of them, 19 and 35 in all
on two occasions; streams beside it lost their worker, went to the next one and lost that too.
Order: a prompt reaches a worker, which ends 0.1 s later; the instance sends it to a second one,
which ends; the caller gets 502 and asks again, at any instance; and so on, while ended workers come
back after three seconds.
Cause: nothing was remembered of a request beyond its own attempts, and nobody told the others.
Proof: of 40 ended workers that the logs named, 37 had exactly one request that had not begun to be
answered, and it was the same request at both workers of a pair.
"""

import unittest

from pondpin.http_client import Answer
from pondpin.http_streams import CallFailedError
from pondpin.standins.local_platform import ENGINES, PLAIN, LocalPlatform
from pondpin.tests.support import RelayTest, ask

DEADLY = b"the same prompt again"
REPEATS = 12
# Three prove it, and one more may have begun meanwhile.
MOST_ENDED = 4


def make_deadly(platform: LocalPlatform) -> None:
    for worker in platform.workers_by_id.values():
        worker.deadly = frozenset({DEADLY})


def crashes(platform: LocalPlatform) -> int:
    return sum(worker.crashes for worker in platform.workers_by_id.values())


async def ask_deadly(platform: LocalPlatform, route: str, number: int) -> Answer | None:
    """A repeat at the next instance; None when the answer broke off."""
    instance = number % len(platform.entries)
    try:
        return await ask(platform, route, f"deadly-{number}", instance, body=DEADLY)
    except CallFailedError:
        return None


class IncidentTest(RelayTest):
    instances = 3
    engines = 8

    def repeat(self, route: str) -> None:
        async def work(platform: LocalPlatform) -> None:
            for number in range(2, 8):
                platform.add_worker(f"plain-{number}", PLAIN, number)
            await platform.until(
                lambda: all(
                    len(entry.table.of_service(PLAIN)) == 8
                    and len(entry.table.of_service(ENGINES)) == 8
                    for entry in platform.entries
                )
            )
            make_deadly(platform)
            for number in range(REPEATS):
                await ask_deadly(platform, route, number)
            self.assertLessEqual(crashes(platform), MOST_ENDED)
            for number in range(6):
                answer = await ask(platform, route, f"other-{number}", number % 3, body=b"other")
                self.assertEqual(answer.status, 200)

        self.play(work)

    def test_repeats_of_a_deadly_stream_reach_few_workers(self) -> None:
        self.repeat("stream")

    def test_repeats_of_a_deadly_plain_request_reach_few_workers(self) -> None:
        self.repeat("again")


if __name__ == "__main__":
    unittest.main()
