"""Every notice of an upstream on every path of requests, with one instance and with three.

Each cell sends requests on one path while some upstreams give one notice, and checks what reached
them. A check before a send, or a route, that is added without its cells fails a test.
"""

import ast
import inspect
import textwrap
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from pondpin.codes import Code
from pondpin.http_streams import CallFailedError
from pondpin.notices import Notice
from pondpin.relay.attempts.send_checks import SendChecks
from pondpin.relay.entry import RelayEntry
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.standins.limits_kept import worst_over
from pondpin.standins.local_platform import LocalPlatform, sample_configuration
from pondpin.standins.wishes import Wishes, windows_over
from pondpin.standins.worker import Worker, WorkerFault
from pondpin.tests.support import RelayTest, ask
from pondpin.tests.test_relay_notice_paths import code_of, state_of
from pondpin.upstream_limits import LimitReport, apply_limit

REQUEST_COUNT = 18


@dataclass(frozen=True, slots=True)
class NoticeCase:
    """A notice, the check that enforces it, and how far the requests exceeded it."""

    name: str
    check: str
    apply: Callable[[Worker], None]
    violations: Callable[[Wishes], float]


@dataclass(frozen=True, slots=True)
class RequestPath:
    """A kind of request; fault: what its first attempt meets at another upstream."""

    name: str
    route: str
    tokens: str = ""
    fault: WorkerFault = WorkerFault.NONE


def leave(worker: Worker) -> None:
    worker.says_leaving = True


def rest(worker: Worker) -> None:
    worker.rest = "60"


def limit(worker: Worker) -> None:
    worker.limit = "0.5"


def late_sends(wishes: Wishes) -> float:
    return wishes.late(0.0)


def sends_in_rests(wishes: Wishes) -> float:
    return windows_over([wishes])


def sends_over_limit(wishes: Wishes) -> float:
    return worst_over([wishes])


NOTICE_CASES = (
    NoticeCase("leaves", "upstream_reason", leave, late_sends),
    NoticeCase("wants rest", "upstream_reason", rest, sends_in_rests),
    NoticeCase("names a limit", "_permit_reason", limit, sends_over_limit),
)
# Checks that enforce no notice: see `test_relay_rules` and `test_relay_quarantine`.
OTHER_CHECKS = {"_key_reason", "quarantine_reason"}
REQUEST_PATHS = (
    RequestPath("plain, may be repeated", "again"),
    RequestPath("plain, may not", "once"),
    RequestPath("a stream", "stream"),
    RequestPath("a long prompt on several, with leases", "long", "460000,500"),
    RequestPath("a second try", "again", fault=WorkerFault.ERROR),
    RequestPath("a stream taken up again", "stream", fault=WorkerFault.CUT),
)


def send_checks() -> set[str]:
    """The names of the checks before a send."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(SendChecks.withhold_reason)))
    chains = [node for node in ast.walk(tree) if isinstance(node, ast.BoolOp)]
    calls = [item.func for chain in chains for item in chain.values if isinstance(item, ast.Call)]
    return {call.attr if isinstance(call, ast.Attribute) else ast.unparse(call) for call in calls}


class MatrixTest(RelayTest):
    instances = 3
    engines = 4

    def test_every_check_and_route_has_its_cells(self) -> None:
        self.assertEqual(send_checks(), {case.check for case in NOTICE_CASES} | OTHER_CHECKS)
        routes = {route["name"] for route in sample_configuration()["routes"]}
        self.assertEqual({path.route for path in REQUEST_PATHS}, routes)

    def test_every_notice_is_respected_on_every_path(self) -> None:
        for case in NOTICE_CASES:
            for path in REQUEST_PATHS:
                for instances in (1, 3):
                    with self.subTest(f"{case.name}, {path.name}, {instances}"):
                        self.play(partial(self.cell, case, path, instances))

    async def cell(
        self, case: NoticeCase, path: RequestPath, instances: int, platform: LocalPlatform
    ) -> None:
        notifying = [platform.workers_by_id[name] for name in ("engine-0", "plain-0")]
        others = [item for item in platform.workers_by_id.values() if item not in notifying]
        for worker in notifying:
            case.apply(worker)
        for number in range(REQUEST_COUNT):
            for worker in others:
                worker.faults = [path.fault] if number % 2 and path.fault.value != "none" else []
            instance = number % instances
            attempt = f"relay-{instance}.{number}"
            try:
                if path.tokens:
                    await ask(platform, path.route, attempt, instance, x_token_usage=path.tokens)
                else:
                    await ask(platform, path.route, attempt, instance)
            except CallFailedError:
                # Both attempts of a stream met the fault.
                continue
        for worker in notifying:
            self.assertLessEqual(case.violations(worker.wishes), 0.0)


class AllLimitedTest(RelayTest):
    """All upstreams are limited: a request that gets no permit in time is refused at once."""

    instances = 2

    def test_a_refusal_says_when_the_first_permit_comes(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.limit = "0.1"
            answers = [await ask(platform, "again", f"relay-{n % 2}.{n}", n % 2) for n in range(12)]
            refused = [answer for answer in answers if answer.status != 200]
            self.assertTrue(refused)
            for answer in refused:
                self.assertEqual(code_of(answer), Code.UPSTREAMS_LIMITED.name)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            runs = sum(
                sum(item.runs_by_attempt.values()) for item in platform.workers_by_id.values()
            )
            self.assertEqual(runs, len(answers) - len(refused))

        self.play(work)

    def test_a_lifted_limit_is_noticed_while_others_are_free(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = platform.workers_by_id["plain-0"]
            worker.limit = "2"
            for number in range(6):
                await ask(platform, "again", f"relay-0.{number}")
            entries = platform.entries
            await platform.until(
                lambda: all(state_of(entry, "plain-0").is_limited for entry in entries)
            )
            worker.limit = ""
            number = 6
            while any(state_of(entry, "plain-0").is_limited for entry in entries):
                number += 1
                answer = await ask(platform, "again", f"relay-0.{number}")
                self.assertEqual(answer.status, 200)

        self.play(work)

    def test_a_limit_of_zero_is_lifted_by_a_check(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for name in ("plain-0", "plain-1"):
                platform.workers_by_id[name].limit = "0"
            await ask(platform, "again", "relay-0.a")
            await ask(platform, "again", "relay-0.b")
            states = [state_of(entry, "plain-0") for entry in platform.entries]
            await platform.until(lambda: all(state.is_limited for state in states))
            answer = await ask(platform, "again", "relay-0.c")
            self.assertEqual(code_of(answer), Code.UPSTREAMS_LIMITED.name)
            for name in ("plain-0", "plain-1"):
                platform.workers_by_id[name].limit = ""
            await platform.until(lambda: not any(state.is_limited for state in states))
            self.assertEqual((await ask(platform, "again", "relay-0.d")).status, 200)

        self.play(work)


class CombinationTest(RelayTest):
    """A limit combined with other notices and events of the same upstream."""

    instances = 1

    def set_limit(self, entry: RelayEntry, name: str = "plain-0") -> UpstreamState:
        state = state_of(entry, name)
        now = entry.handler.clock()
        apply_limit(
            entry.table.availability_table, state.life, LimitReport(2.0, now, now, "test"), now
        )
        return state

    def limited_ids(self, entry: RelayEntry) -> list[str]:
        return [state.id for state in entry.gossip.limits.issuer.limited_upstreams("plain", ())]

    def test_an_upstream_that_leaves_or_rests_issues_no_permits(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for notice in (Notice(rest=60.0), Notice(is_leaving=True)):
                state = self.set_limit(entry)
                self.assertEqual(self.limited_ids(entry), ["plain-0"])
                now = entry.handler.clock()
                entry.table.availability_table.apply_notice(state.life, notice, "test", now)
                self.assertEqual(self.limited_ids(entry), [])
                entry.table.availability_table.by_life[state.life].rest = None

        self.play(work)

    def test_an_ejected_upstream_waits_for_its_check(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            state = self.set_limit(entry)
            state.needs_probe = True
            self.assertEqual(self.limited_ids(entry), [])
            await platform.until(lambda: not state.needs_probe)
            self.assertEqual(self.limited_ids(entry), ["plain-0"])

        self.play(work)

    def test_a_limit_belongs_to_the_life_and_survives_a_lapse_and_a_reload(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            listed = self.set_limit(entry).listed
            entry.table.apply_list([], ["plain-0"])
            entry.table.apply_list([listed], [])
            entry.reload(entry.settings)
            self.assertEqual(self.limited_ids(entry), ["plain-0"])
            later = ListedUpstream(
                listed.id, listed.service, listed.host, listed.port, "north", 8, False, born=7
            )
            entry.table.apply_list([later], [])
            self.assertEqual(self.limited_ids(entry), [])

        self.play(work)


if __name__ == "__main__":
    unittest.main()
