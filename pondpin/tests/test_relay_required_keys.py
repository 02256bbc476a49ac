"""Whether requests need an API key, by the configuration alone."""

import asyncio
import json
import random
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_client import HttpResponse
from pondpin.platform.documents import PlatformDecoder
from pondpin.relay.attempts.admission import AdmissionState, admit
from pondpin.relay.model import RequestMetadata
from pondpin.relay.published.freshness import Proof, PublishedVersion
from pondpin.standins.local_platform import (
    HOST,
    KEY,
    PLAIN,
    TENANT,
    LocalPlatform,
    sample_configuration,
    sample_route,
)
from pondpin.tests.support import RelayTest, ask, runs

NOW = 1000.0
NEVER_A_KEY = "never-a-key"
OTHER_KEY = "other-key"
NO_KEYS: dict[str, Any] = {"tenants": [{"name": TENANT, "apiKeys": [], "priority": 1}]}
NO_TENANTS: dict[str, Any] = {"tenants": []}
WITHOUT_KEYS = (NO_KEYS, NO_TENANTS)
SLOW_ROUTES = [sample_route("again", "safe", PLAIN, targetLatencyMs=9000)]


def tenant(*keys: object, name: str = TENANT) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), "priority": 1}


def admits(document: dict[str, Any], key: str, path: str = "/again/x") -> str | None:
    """The account under which a document admits a request; None if it refuses it."""
    configuration = PlatformDecoder().configuration(json.dumps(document).encode())
    state = AdmissionState(configuration, Proof(PublishedVersion(1), NOW), 4.6)
    metadata = RequestMetadata("a1", HOST, key, 4.0, 0, 0, "")
    try:
        return admit(state, metadata, path, NOW).account
    except PondpinError as error:
        assert error.code in (Code.UNKNOWN_KEY, Code.UNKNOWN_PATH), error.code
        return None


class DecodedRuleTest(unittest.TestCase):
    def test_a_tenant_without_keys_requires_a_key(self) -> None:
        for changes in WITHOUT_KEYS:
            for key in (KEY, NEVER_A_KEY, ""):
                self.assertIsNone(admits(sample_configuration(**changes), key))

    def test_without_a_list_of_tenants_no_key_is_required(self) -> None:
        document = sample_configuration()
        del document["tenants"]
        self.assertEqual(admits(document, ""), "")

    def test_a_public_route_needs_no_key(self) -> None:
        routes = [sample_route("again", "safe", PLAIN, public=True)]
        self.assertEqual(admits(sample_configuration(routes=routes, **NO_KEYS), ""), "")

    def test_odd_keys_match_nothing(self) -> None:
        tenants: list[dict[str, Any]] = [
            tenant("", "  ", None, 7, ["k"], KEY, "shared"),
            tenant("shared", OTHER_KEY, name="second"),
        ]
        document = sample_configuration(tenants=tenants)
        for key in ("", "  ", "7", "None", "k", "shared"):
            self.assertIsNone(admits(document, key), repr(key))
        self.assertEqual(admits(document, KEY), TENANT)
        self.assertEqual(admits(document, OTHER_KEY), "second")

    def test_documents_without_a_valid_list_of_tenants_are_rejected(self) -> None:
        invalid: tuple[Any, ...] = (
            None,
            {},
            "none",
            [None],
            [{"apiKeys": []}],
            [{"name": "a", "apiKeys": 1}],
        )
        for tenants in invalid:
            with self.assertRaises(ValueError, msg=repr(tenants)):
                PlatformDecoder().configuration(
                    json.dumps(sample_configuration(tenants=tenants)).encode()
                )


KEYS = ("a", "b", "c")
TENANTS = st.lists(
    st.builds(
        lambda name, keys: tenant(*keys, name=name),
        st.sampled_from(("one", "two")),
        st.lists(st.sampled_from(KEYS), max_size=3, unique=True),
    ),
    max_size=3,
)


class RemovalTest(unittest.TestCase):
    """Whatever is removed from a document, no request runs that was refused before."""

    @given(TENANTS, st.randoms(use_true_random=False))
    def test_removing_tenants_or_keys_admits_no_further_request(
        self, tenants: list[dict[str, Any]], rng: random.Random
    ) -> None:
        document = sample_configuration(tenants=tenants)
        before = {key: admits(document, key) for key in (*KEYS, NEVER_A_KEY, "")}
        smaller = sample_configuration(tenants=remove_one(tenants, rng))
        for key, account in before.items():
            # A key of several tenants belongs to the one that is left.
            if account is None and not is_ambiguous(tenants, key):
                self.assertIsNone(admits(smaller, key), key)

    @given(st.sampled_from(("routes", "services")), st.integers(0, 9))
    def test_removing_routes_or_services_admits_no_further_request(
        self, field: str, number: int
    ) -> None:
        document = sample_configuration(**NO_KEYS)
        items = document[field]
        smaller = document | {field: [item for item in items if item is not items[number % 2]]}
        for name in ("again", "once", "stream", "unknown"):
            for key in (KEY, ""):
                self.assertIsNone(admits(smaller, key, f"/{name}/x"))


def remove_one(tenants: list[dict[str, Any]], rng: random.Random) -> list[dict[str, Any]]:
    """Remove a tenant, or a key of one."""
    smaller = [item | {"apiKeys": list(item["apiKeys"])} for item in tenants]
    if not smaller:
        return smaller
    chosen = rng.choice(smaller)
    if chosen["apiKeys"] and rng.random() < 0.5:
        chosen["apiKeys"].pop(rng.randrange(len(chosen["apiKeys"])))
    else:
        smaller = [item for item in smaller if item is not chosen]
    return smaller


def is_ambiguous(tenants: list[dict[str, Any]], key: str) -> bool:
    return sum(key in item["apiKeys"] for item in tenants) > 1


class RequiredKeysTest(RelayTest):
    instances = 2

    async def apply(self, platform: LocalPlatform, **changes: Any) -> None:
        """Publish a version, and wait until all instances have it in force."""
        revision = platform.publish(2, **changes)
        await platform.until(
            lambda: all(item.publication.revision == revision for item in platform.entries)
        )

    async def check_all_refused(self, platform: LocalPlatform) -> None:
        before = sum(len(worker.seen) for worker in platform.workers_by_id.values())
        for instance in range(len(platform.entries)):
            for key in (KEY, NEVER_A_KEY, ""):
                for route in ("once", "again", "stream"):
                    answer = await ask(
                        platform, route, instance=instance, authorization=f"Bearer {key}"
                    )
                    self.assertEqual(answer.status, 401)
        seen = sum(len(worker.seen) for worker in platform.workers_by_id.values())
        self.assertEqual(seen, before)

    def test_requests_without_a_valid_key_are_refused_after_the_last_key_went(self) -> None:
        # Guards against "no key is left" being read as "no key is needed".
        for changes in WITHOUT_KEYS:

            async def work(platform: LocalPlatform, changes: Any = changes) -> None:
                self.assertEqual((await ask(platform, "again")).status, 200)
                await self.apply(platform, **changes)
                await self.check_all_refused(platform)

            self.play(work)

    def test_an_instance_that_starts_without_any_key_left_refuses(self) -> None:
        for changes in WITHOUT_KEYS:

            async def work(platform: LocalPlatform, changes: Any = changes) -> None:
                await self.apply(platform, **changes)
                entry = platform.entries[1]
                await entry.stop()
                await platform.restart_instance(1)
                await platform.until(lambda: platform.entries[1].ready)
                await self.check_all_refused(platform)

            self.play(work)

    def test_a_waiting_request_is_not_sent_after_the_last_key_went(self) -> None:
        for changes in WITHOUT_KEYS:

            async def work(platform: LocalPlatform, changes: Any = changes) -> None:
                await self.apply(platform, routes=SLOW_ROUTES)
                call = await self.make_wait(platform)
                await self.apply(platform, routes=SLOW_ROUTES, **changes)
                await self.end_wait(platform)
                self.assertIn((await call).status, (401, 503))
                self.assertEqual(runs(platform, "waits"), 0)

            self.play(work)

    def test_a_request_admitted_without_keys_is_not_sent_once_they_are_required(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            routes = [sample_route("again", "safe", PLAIN, public=True, targetLatencyMs=9000)]
            await self.apply(platform, routes=routes)
            call = await self.make_wait(platform)
            await self.apply(platform, routes=SLOW_ROUTES)
            await self.end_wait(platform)
            self.assertEqual((await call).status, 503)
            self.assertEqual(runs(platform, "waits"), 0)

        self.play(work)

    def test_a_waiting_request_whose_key_moved_is_not_sent_under_its_former_account(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.apply(platform, routes=SLOW_ROUTES)
            call = await self.make_wait(platform)
            await self.apply(
                platform, routes=SLOW_ROUTES, tenants=[tenant(), tenant(KEY, name="second")]
            )
            await self.end_wait(platform)
            answer = await call
            self.assertEqual(answer.status, 503)
            self.assertEqual(json.loads(answer.body)["error"]["name"], "ACCOUNT_CHANGED")
            self.assertEqual(runs(platform, "waits"), 0)
            self.assertEqual((await ask(platform, "again", "later")).status, 200)
            seen = [item for worker in platform.workers_by_id.values() for item in worker.seen]
            accounts = {
                item.headers["x-tenant"] for item in seen if item.headers["x-attempt-id"] == "later"
            }
            self.assertEqual(accounts, {"second"})

        self.play(work)

    async def make_wait(self, platform: LocalPlatform) -> "asyncio.Task[HttpResponse]":
        """Send a request that waits for the rest that all upstreams asked for.

        Its route's target must be far off.
        """
        for worker in platform.workers_by_id.values():
            worker.rest = "2"
        await ask(platform, "again", "rests")
        call = asyncio.create_task(ask(platform, "again", "waits"))
        handler = platform.entries[0].handler
        await platform.until(lambda: bool(handler.open_requests))
        return call

    async def end_wait(self, platform: LocalPlatform) -> None:
        for worker in platform.workers_by_id.values():
            worker.rest = ""


if __name__ == "__main__":
    unittest.main()
