"""Leaving, planned stops, replacement of all instances, frozen engines, cut-offs."""

import asyncio
import dataclasses

import msgspec

from pondpin.codes import Ran
from pondpin.standins.faults import Faults
from pondpin.tests.support import (
    KEY,
    MODEL,
    FleetCase,
    question,
    sample_document,
    sample_spec,
    wait_until,
)
from pondpin.tools.caller import Asked, Question


class LeavingTest(FleetCase):
    def submitted(self, name: str) -> int:
        return self.fleet.engines_by_name[name].model.totals.submitted

    def all_know(self, name: str) -> bool:
        return all(
            running.instance.fleet.by_name[name].leaving
            for running in self.fleet.entries_by_name.values()
        )

    async def leave_and_ask(self, name: str) -> None:
        """Once all know of the leaving, new work goes elsewhere."""
        await wait_until(lambda: self.all_know(name))
        before = self.submitted(name)
        for number in range(16):
            asked = await self.caller.ask(question(f"after leaving {number}"))
            self.assertTrue(asked.whole)
        self.assertEqual(self.submitted(name), before)

    def test_by_its_own_report(self) -> None:
        async def test() -> None:
            self.fleet.engines_by_name["e1"].state = "leaving"
            await self.leave_and_ask("e1")

        self.drive(test)

    def test_by_the_platforms_list(self) -> None:
        async def test() -> None:
            listed = tuple(
                type(item)(item.name, item.kind, item.address, item.data_center, "leaving")
                if item.name == "e1"
                else item
                for item in self.fleet.platform.instances
            )
            self.fleet.platform.set_instances(listed)
            await self.leave_and_ask("e1")

        self.drive(test)

    def test_by_a_peer_alone(self) -> None:
        async def test() -> None:
            b1 = self.fleet.entries_by_name["b1"].instance
            b1.http.blocked_endpoints.add(self.fleet.addresses_by_name["e1"])
            self.fleet.engines_by_name["e1"].state = "leaving"
            await wait_until(lambda: b1.fleet.by_name["e1"].leaving)

        self.drive(test)

    def test_by_an_answers_header(self) -> None:
        async def test() -> None:
            for running in self.fleet.entries_by_name.values():
                for controller in running.instance.controllers:
                    await controller.stop()
            for engine in ("e1", "e2", "e3"):
                self.fleet.engines_by_name[engine].state = "leaving"
            for number in range(8):
                asked = await self.caller.ask(question(f"number {number}"))
                self.assertTrue(asked.whole, asked.code)
            known = [
                state.name
                for running in self.fleet.entries_by_name.values()
                for state in running.instance.fleet.by_name.values()
                if state.leaving
            ]
            self.assertTrue(known)

        self.drive(test)

    def test_what_is_in_flight_ends_whole(self) -> None:
        async def test() -> None:
            asking = [
                asyncio.create_task(self.caller.ask(question(f"long {n}", max_tokens=200)))
                for n in range(8)
            ]
            engine = self.fleet.engines_by_name["e1"]
            await wait_until(lambda: len(engine.model.running) > 0)
            engine.state = "leaving"
            for asked in await asyncio.gather(*asking):
                self.assertTrue(asked.whole)
                self.assertEqual(asked.tries, 1)

        self.drive(test)

    def test_a_new_life_is_not_leaving(self) -> None:
        async def test() -> None:
            engine = self.fleet.engines_by_name["e1"]
            engine.state = "leaving"
            await wait_until(lambda: self.all_know("e1"))
            engine.die()
            engine.apply_faults(Faults())
            await wait_until(
                lambda: (
                    not any(
                        running.instance.fleet.by_name["e1"].leaving
                        for running in self.fleet.entries_by_name.values()
                    )
                )
            )

        self.drive(test)


class StopTest(FleetCase):
    def test_open_calls_are_answered_when_their_instance_stops(self) -> None:
        # Guards against calls that are cancelled like those of callers that left.
        async def test() -> None:
            a1 = self.fleet.entries_by_name["a1"].instance
            body = msgspec.json.encode(
                {"model": MODEL, "prompt": "long", "max_tokens": 1500, "stream": False}
            )
            headers = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
            url = f"http://{self.callers['a1']}/v1/completions"
            asking = [
                asyncio.create_task(self.client.call("POST", url, headers, body, timeout=10.0))
                for _ in range(3)
            ]
            await wait_until(lambda: len(a1.callers.serving) == len(asking))
            await a1.stop()
            for answer in await asyncio.gather(*asking):
                self.assertIn(answer.status, (502, 503))
                ran = {502: "outcome unknown", 503: "not run"}[answer.status]
                self.assertEqual(answer.headers["pondpin-ran"], ran)

        self.drive(test)


class PlannedStopTest(FleetCase):
    def test_open_streams_end_whole_on_the_stopping_instance(self) -> None:
        async def test() -> None:
            a1 = self.fleet.entries_by_name["a1"].instance
            asking = [
                asyncio.create_task(self.caller.ask(question(f"long {n}", max_tokens=150)))
                for n in range(6)
            ]
            await wait_until(lambda: a1.callers.open_calls >= 3)
            await a1.drain_and_stop()
            for asked in await asyncio.gather(*asking):
                self.assertTrue(asked.whole, asked.code)
                self.assertEqual((asked.resumes, asked.tries), (0, 1))

        self.drive(test)

    def test_a_resumed_stream_ends_whole_on_the_stopping_instance(self) -> None:
        async def test() -> None:
            entries = {name: item.instance for name, item in self.fleet.entries_by_name.items()}
            self.balancer.addresses = [self.callers["a1"]]
            asking = asyncio.create_task(self.caller.ask(question("long", max_tokens=1500)))
            engines = self.fleet.engines_by_name.values()
            await wait_until(
                lambda: any(item.offset > 5 for engine in engines for item in engine.model.running)
            )
            self.balancer.addresses = [self.callers["b1"]]
            await self.fleet.kill_entry("a1")
            await wait_until(lambda: len(entries["b1"].watchdog.attempts) == 1)
            await entries["b1"].drain_and_stop()
            asked = await asking
            self.assertTrue(asked.whole, asked.code)
            self.assertEqual(asked.resumes, 1)

        self.drive(test)

    async def replace_all(self) -> None:
        """Replace one instance after the other, as a platform with a balancer does."""
        for spec in self.fleet.spec.entries:
            running = self.fleet.entries_by_name[spec.name]
            running.instance.drain()
            self.balancer.mark_down(str(running.callers), 1e12)
            await running.instance.drain_and_stop()
            again = await self.fleet.start_entry(spec)
            await wait_until(lambda again=again: again.instance.ready)
            self.balancer.down_until_by_address.clear()

    def test_all_instances_are_replaced_under_load(self) -> None:
        async def test() -> None:
            stop = False
            done: list[Asked] = []

            async def load(worker: int) -> None:
                number = 0
                while not stop:
                    number += 1
                    done.append(
                        await self.caller.ask(question(f"{worker} {number}", max_tokens=20))
                    )

            workers = [asyncio.create_task(load(worker)) for worker in range(4)]
            try:
                await self.replace_all()
            finally:
                stop = True
            await asyncio.gather(*workers)
            self.assertGreater(len(done), 20)
            for asked in done:
                self.assertTrue(asked.whole, asked.code)
                self.assertFalse(asked.wrong)
            await self.nothing_held()

        self.drive(test)


class FrozenTest(FleetCase):
    def test_a_frozen_engine_loses_no_request(self) -> None:
        async def test() -> None:
            self.fleet.engines_by_name["e1"].apply_faults(Faults(frozen=True))
            asking = [self.caller.ask(question(f"number {n}")) for n in range(10)]
            for asked in await asyncio.gather(*asking):
                self.assertTrue(asked.whole, asked.code)
            self.fleet.engines_by_name["e1"].apply_faults(Faults())
            await self.nothing_held()

        spec = sample_spec()
        timing = dataclasses.replace(spec.timing, stall_floor=0.5, orphan_grace=0.5)
        self.drive(test, dataclasses.replace(spec, timing=timing))


class CutOffTest(FleetCase):
    def local(self, number: int, entry: str) -> Question:
        return question(f"{entry} {number}")

    def revisions(self) -> list[int]:
        return [item.instance.store.revision for item in self.fleet.entries_by_name.values()]

    def test_a_center_without_platform_follows_through_its_peers(self) -> None:
        async def test() -> None:
            self.fleet.cut_platform("dc-b")
            await self.fleet.publish(sample_document())
            await wait_until(lambda: self.revisions() == [2, 2])

        self.drive(test)

    def test_a_center_cut_off_from_all_serves_and_then_converges(self) -> None:
        async def test() -> None:
            self.fleet.cut_center("dc-b")
            self.fleet.cut_platform("dc-b")
            await self.fleet.publish(sample_document())
            await wait_until(lambda: self.revisions()[0] == 2)
            for entry in ("a1", "b1"):
                self.balancer.addresses = [self.callers[entry]]
                for number in range(6):
                    asked = await self.caller.ask(self.local(number, entry))
                    self.assertTrue(asked.whole, (entry, asked.code))
            self.assertEqual(self.revisions()[1], 1)
            self.fleet.join_centers()
            await wait_until(lambda: self.revisions() == [2, 2])

        self.drive(test)

    def test_a_token_of_the_other_side_is_unknown_and_runs_once_after_the_join(self) -> None:
        async def test() -> None:
            headers = {"authorization": f"Bearer {KEY}"}
            self.balancer.addresses = [self.callers["a1"]]
            token = (await self.once.fetch_tokens(KEY, 1))[0]
            self.fleet.cut_center("dc-b")
            url = f"http://{self.callers['b1']}/v1/services/dock/unlock"
            body = b'{"call":"bike-9"}'
            sent = headers | {"pondpin-token": token}
            answer = await self.client.call("POST", url, sent, body)
            self.assertEqual(answer.headers["pondpin-ran"], Ran.UNKNOWN.value)
            self.fleet.join_centers()
            answer = await self.client.call("POST", url, sent, body)
            self.assertEqual((answer.status, answer.headers["pondpin-ran"]), (200, "ran"))
            times = self.fleet.services_by_name["dock-1"].times_by_call
            self.assertEqual(times["bike-9"], 1)

        self.drive(test)
