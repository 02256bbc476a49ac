"""The whole path: callers, entry instances, engines, services, platform."""

import asyncio
import dataclasses

import msgspec

from pondpin.calls import Snapshot
from pondpin.codes import Code, Ran
from pondpin.network import Endpoint
from pondpin.standins.faults import Faults
from pondpin.tests.support import (
    KEY,
    OTHER_KEY,
    FleetCase,
    question,
    sample_document,
    sample_spec,
    wait_until,
)


class WholePathTest(FleetCase):
    def test_answers_are_whole_and_right_for_every_length(self) -> None:
        async def test() -> None:
            for size in (10, 5_000, 200_000, 1_200_000):
                asked = await self.caller.ask(question("x" * size))
                self.assertTrue(asked.whole, asked.code)
                self.assertFalse(asked.wrong)
            await self.nothing_held()

        self.drive(test)

    def test_a_killed_engine_costs_no_request(self) -> None:
        async def test() -> None:
            questions = [question(f"question {i}", max_tokens=150) for i in range(12)]
            asking = [asyncio.create_task(self.caller.ask(item)) for item in questions]
            engine = self.fleet.engines_by_name["e1"]
            await wait_until(lambda: len(engine.model.running) > 0)
            engine.die()
            for asked in await asyncio.gather(*asking):
                self.assertTrue(asked.whole, asked.code)
                self.assertFalse(asked.wrong)
            await self.nothing_held()

        self.drive(test)

    def test_not_run_is_not_said_of_a_request_whose_engines_all_died(self) -> None:
        async def test() -> None:
            asking = asyncio.create_task(self.caller.ask(question("doomed", max_tokens=500)))
            engines = self.fleet.engines_by_name.values()
            await wait_until(lambda: any(engine.model.running for engine in engines))
            for engine in engines:
                engine.die()
            asked = await asking
            self.assertFalse(asked.whole)
            self.assertIs(asked.ran, Ran.UNKNOWN)

        self.drive(test)

    def test_a_refused_resume_does_not_make_it_not_run(self) -> None:
        async def test() -> None:
            engines = self.fleet.engines_by_name.values()
            for engine in engines:
                engine.apply_faults(Faults(slow=500.0))
            asking = asyncio.create_task(self.caller.ask(question("no token yet")))
            await wait_until(lambda: any(engine.model.running for engine in engines))
            for engine in engines:
                # Restarted at once: it is there, and does not know the stream.
                engine.die()
                engine.apply_faults(Faults())
            asked = await asking
            self.assertFalse(asked.whole)
            self.assertIs(asked.ran, Ran.UNKNOWN)

        document = sample_document(policy={"attempts": 1})
        self.drive(test, dataclasses.replace(sample_spec(), document=document))

    def test_a_stream_is_resumed_elsewhere_after_its_instance_died(self) -> None:
        async def test() -> None:
            asking = asyncio.create_task(self.caller.ask(question("long answer", max_tokens=300)))
            entries = self.fleet.entries_by_name
            await wait_until(
                lambda: any(item.instance.callers.open_calls for item in entries.values())
            )
            await asyncio.sleep(0)
            serving = next(
                name for name, item in entries.items() if item.instance.callers.open_calls
            )
            engines = self.fleet.engines_by_name.values()
            await wait_until(
                lambda: any(item.offset > 5 for engine in engines for item in engine.model.running)
            )
            await self.fleet.kill_entry(serving)
            asked = await asking
            self.assertTrue(asked.whole, asked.code)
            self.assertFalse(asked.wrong)
            self.assertGreaterEqual(asked.resumes, 1)

        self.drive(test)

    def test_frames_that_are_late_doubled_or_foreign_do_no_harm(self) -> None:
        async def test() -> None:
            for engine in self.fleet.engines_by_name.values():
                engine.faults.duplicate_frames = True
                engine.faults.reorder_frames = True
            for number in range(6):
                asked = await self.caller.ask(question(f"number {number}", max_tokens=60))
                self.assertTrue(asked.whole)
                self.assertFalse(asked.wrong)
            dropped = sum(
                sum(item.instance.watchdog.dropped.values())
                for item in self.fleet.entries_by_name.values()
            )
            self.assertGreater(dropped, 0)

        self.drive(test)

    def test_a_caller_that_leaves_gives_back_its_memory(self) -> None:
        async def test() -> None:
            asking = asyncio.create_task(self.caller.ask(question("leaver", max_tokens=5_000)))
            await wait_until(lambda: self.held_blocks() > 0)
            asking.cancel()
            await self.nothing_held()

        self.drive(test)


class AdapterTest(FleetCase):
    def test_a_request_goes_where_its_adapter_is_loaded(self) -> None:
        async def test() -> None:
            for number in range(4):
                asked = await self.caller.ask(question(f"number {number}", model="rider-tl"))
                self.assertTrue(asked.whole, asked.code)
            engines = self.fleet.engines_by_name
            submitted = {name: item.model.totals.submitted for name, item in engines.items()}
            self.assertEqual(submitted, {"e1": 0, "e2": 0, "e3": 0, "e4": 4})
            asked = await self.caller.ask(question(model="rider-en"))
            self.assertIs(asked.code, Code.NO_UPSTREAM)

        spec = sample_spec()
        last = dataclasses.replace(spec.engines[3], adapters=("rider-tl",))
        adapters = {name: {"model": "rider"} for name in ("rider-tl", "rider-en")}
        changed = dataclasses.replace(
            spec,
            engines=(*spec.engines[:3], last),
            document=sample_document(adapters=adapters),
        )
        self.drive(test, changed)

    def test_the_stand_in_exports_and_imports_its_cache(self) -> None:
        async def test() -> None:
            await self.caller.ask(question("prefix " * 2000))
            engines = self.fleet.engines_by_name
            source = next(name for name, item in engines.items() if item.model.cache)
            target = next(name for name, item in engines.items() if not item.model.cache)
            urls = {
                name: f"http://{self.fleet.addresses_by_name[name]}/v1/kv"
                for name in (source, target)
            }
            exported = await self.client.call("GET", urls[source])
            await self.client.call("POST", urls[target], body=exported.body)
            self.assertEqual(set(engines[target].model.cache), set(engines[source].model.cache))

        self.drive(test)


class OnceTest(FleetCase):
    async def post(self, entry: str, token: str, key: str = KEY) -> tuple[int, dict[str, str]]:
        headers = {"authorization": f"Bearer {key}", "pondpin-token": token}
        url = f"http://{self.callers[entry]}/v1/services/dock/unlock"
        answer = await self.client.call("POST", url, headers, b'{"call":"bike-7"}')
        return answer.status, answer.headers

    def times(self) -> int:
        return self.fleet.services_by_name["dock-1"].times_by_call.get("bike-7", 0)

    def test_a_token_runs_once_whichever_instance_gets_it(self) -> None:
        async def test() -> None:
            token = (await self.once.fetch_tokens(KEY, 1))[0]
            tries = [self.post(name, token) for name in ("a1", "b1", "a1", "b1")]
            for status, headers in await asyncio.gather(*tries):
                self.assertEqual(status, 200)
                self.assertEqual(headers["pondpin-ran"], "ran")
            self.assertEqual(self.times(), 1)

        self.drive(test)

    def test_a_lost_answer_is_unknown_and_never_run_again(self) -> None:
        async def test() -> None:
            service = self.fleet.services_by_name["dock-1"]
            service.faults.drop_after = 1
            token = (await self.once.fetch_tokens(KEY, 1))[0]
            for name in ("a1", "b1"):
                status, headers = await self.post(name, token)
                self.assertEqual(status, 502)
                self.assertEqual(headers["pondpin-ran"], "outcome unknown")
            self.assertEqual(self.times(), 1)

        self.drive(test)

    def test_not_run_stays_true_for_its_token(self) -> None:
        async def test() -> None:
            service = self.fleet.services_by_name["dock-1"]
            port = service.server.port.getHost().port
            await service.stop()
            token = (await self.once.fetch_tokens(KEY, 1))[0]
            status, headers = await self.post("a1", token)
            self.assertEqual((status, headers["pondpin-ran"]), (502, "not run"))
            self.assertEqual(self.times(), 0)
            service.server.listen(self.fleet.reactor, Endpoint("127.0.0.1", port))
            # Another try may still be on its way: it must not run after 'not run' was told.
            following = headers["pondpin-next-token"]
            status, headers = await self.post("b1", token)
            self.assertEqual((status, headers["pondpin-ran"]), (409, "not run"))
            self.assertEqual(self.times(), 0)
            status, headers = await self.post("b1", following)
            self.assertEqual((status, headers["pondpin-ran"]), (200, "ran"))
            self.assertEqual(self.times(), 1)

        self.drive(test)

    def test_a_dead_issuer_makes_the_outcome_unknown(self) -> None:
        async def test() -> None:
            url = f"http://{self.callers['a1']}/v1/tokens"
            answer = await self.client.call("POST", url, {"authorization": f"Bearer {KEY}"}, b"{}")
            token = msgspec.json.decode(answer.body)["tokens"][0]
            await self.fleet.kill_entry("a1")
            status, headers = await self.post("b1", token)
            self.assertEqual((status, headers["pondpin-ran"]), (503, Ran.UNKNOWN.value))
            self.assertEqual(self.times(), 0)

        self.drive(test)

    def test_a_token_of_another_account_is_refused(self) -> None:
        async def test() -> None:
            token = (await self.once.fetch_tokens(KEY, 1))[0]
            status, _ = await self.post("a1", token, OTHER_KEY)
            self.assertEqual(status, 400)
            self.assertEqual(self.times(), 0)

        self.drive(test)


class ConfigurationTest(FleetCase):
    def revisions(self) -> set[int]:
        return {item.instance.store.revision for item in self.fleet.entries_by_name.values()}

    def test_a_refused_revision_leaves_the_last_good_one(self) -> None:
        async def test() -> None:
            entries = self.fleet.entries_by_name.values()
            await self.fleet.publish(sample_document(rules="none"))
            await wait_until(lambda: all(item.instance.store.rejected for item in entries))
            self.assertEqual(self.revisions(), {1})
            await self.fleet.publish(sample_document())
            await wait_until(lambda: self.revisions() == {3})

        self.drive(test)

    def test_a_stale_platform_takes_nothing_back(self) -> None:
        async def test() -> None:
            await self.fleet.publish(sample_document())
            await wait_until(lambda: self.revisions() == {2})
            self.fleet.platform.faults.stale = True
            await self.fleet.kill_entry("a1")
            await self.fleet.start_entry(self.fleet.spec.entries[0])
            await wait_until(lambda: self.revisions() == {2})

        self.drive(test)

    def test_config_written_after_platform_restore_is_applied(self) -> None:
        async def test() -> None:
            platform = self.fleet.platform
            for version in (2, 3):
                await self.fleet.publish(sample_document(version=version))
            copy = platform.copy()
            for version in (4, 5, 6):
                await self.fleet.publish(sample_document(version=version))
            await wait_until(lambda: self.versions() == {6})
            await platform.restore(copy)
            await wait_until(lambda: all(self.left_out()))
            # The copy replaces nothing.
            self.assertEqual(self.versions(), {6})
            await self.fleet.publish(sample_document(version=7))
            await wait_until(lambda: self.versions() == {7})
            self.assertLess(platform.revision, 6)

        self.drive(test)

    def test_copy_without_versions_replaces_nothing_that_followed_it(self) -> None:
        async def test() -> None:
            platform = self.fleet.platform
            copy = platform.copy()
            await self.fleet.publish(sample_document(policy={"queue_limit": 7}))
            await wait_until(lambda: self.queue_limits() == {7})
            await platform.restore(copy)
            await wait_until(lambda: all(self.left_out()))
            self.assertEqual(self.queue_limits(), {7})
            await self.fleet.publish(sample_document(policy={"queue_limit": 8}))
            await wait_until(lambda: self.queue_limits() == {8})

        self.drive(test)

    def versions(self) -> set[int]:
        return {snapshot.configuration.version for snapshot in self.snapshots()}

    def queue_limits(self) -> set[int]:
        return {snapshot.configuration.policy.queue_limit for snapshot in self.snapshots()}

    def left_out(self) -> list[int]:
        entries = self.fleet.entries_by_name.values()
        return [item.instance.store.ignored_position for item in entries]

    def snapshots(self) -> list[Snapshot]:
        entries = self.fleet.entries_by_name.values()
        found = [item.instance.store.snapshot for item in entries]
        return [snapshot for snapshot in found if snapshot is not None]

    def test_serving_goes_on_while_the_platform_is_down(self) -> None:
        async def test() -> None:
            self.fleet.platform.faults.down = True
            asked = await self.caller.ask(question())
            self.assertEqual(asked.code, Code.OK)
            await self.fleet.kill_entry("b1")
            running = await self.fleet.start_entry(self.fleet.spec.entries[1])
            await wait_until(lambda: running.instance.store.revision == 1)

        self.drive(test)
