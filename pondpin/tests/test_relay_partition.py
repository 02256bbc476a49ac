"""Instances that are partitioned from all upstreams, while callers and peers reach them."""

import asyncio

from pondpin.http_client import HttpResponse
from pondpin.http_streams import CallFailedError
from pondpin.standins.local_platform import LocalPlatform
from pondpin.standins.partitions import Cut
from pondpin.tests.support import RelayTest, ask

# Callers' first tries are served at 0.97 of the share at other instances from 1 s after the cut.
SERVED_SHARE = 0.97
SETTLED_SECONDS = 1.0
REQUESTS = 30
ROUTES = ("again", "once", "stream")


async def try_once(platform: LocalPlatform, route: str, name: str, instance: int) -> int:
    """Send a caller's first try; returns its status, 0 if its connection broke."""
    try:
        answer: HttpResponse = await ask(platform, route, name, instance, body=name.encode())
    except CallFailedError:
        return 0
    return answer.status


async def served(platform: LocalPlatform, route: str, instance: int, name: str) -> int:
    """How many of REQUESTS first tries at an instance are served."""
    statuses = []
    for number in range(REQUESTS):
        statuses.append(await try_once(platform, route, f"{name}{route}{number}", instance))
    return statuses.count(200)


class PartitionTest(RelayTest):
    instances = 3

    def test_instance_cut_from_all_upstreams_serves_first_tries(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for cut in (Cut.RESET, Cut.REFUSE, Cut.SILENT):
                for route in ROUTES:
                    await served(platform, route, 0, f"{cut.value}-before")
                platform.cut_from_workers(0, cut)
                await asyncio.gather(
                    *(try_once(platform, route, f"{cut.value}-at-{route}", 0) for route in ROUTES)
                )
                await asyncio.sleep(SETTLED_SECONDS)
                for route in ROUTES:
                    with self.subTest(cut=cut, route=route):
                        count = await served(platform, route, 0, cut.value)
                        self.assertGreaterEqual(count, SERVED_SHARE * REQUESTS)
                platform.cut_from_workers(0, Cut.NONE)
                await asyncio.sleep(SETTLED_SECONDS)

        self.play(work)
