"""One table: what an upstream may say, by every way to it, to one instance and to several.

Each cell plays requests of one way while an upstream says one thing, and checks what reached it. A
guard of the send, or a route, that is added without its cells fails.
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
from pondpin.limits import LimitWord, hear_limit
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

ASKED = 18


@dataclass(frozen=True, slots=True)
class Word:
    """What an upstream says, how often that may be exceeded, and the guard that keeps to it."""

    name: str
    guard: str
    say: Callable[[Worker], None]
    over: Callable[[Wishes], float]


@dataclass(frozen=True, slots=True)
class Way:
    """How requests get to upstreams; fault: what their first try meets at another upstream."""

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


def late(wishes: Wishes) -> float:
    return wishes.late(0.0)


def in_rests(wishes: Wishes) -> float:
    return windows_over([wishes])


def over_limit(wishes: Wishes) -> float:
    return worst_over([wishes])


WORDS = (
    Word("leaves", "upstream_reason", leave, late),
    Word("wants rest", "upstream_reason", rest, in_rests),
    Word("names a limit", "_permit_reason", limit, over_limit),
)
# Guards that keep to no word of an upstream: `test_relay_rules` and `test_relay_quarantine`.
OTHER_GUARDS = {"_key_reason", "quarantine_reason"}
WAYS = (
    Way("plain, may be repeated", "again"),
    Way("plain, may not", "once"),
    Way("a stream", "stream"),
    Way("a long prompt on several, with leases", "long", "460000,500"),
    Way("a second try", "again", fault=WorkerFault.ERROR),
    Way("a stream taken up again", "stream", fault=WorkerFault.CUT),
)


def guards() -> set[str]:
    """The names of the checks that a send asks, in the order of its list."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(SendChecks.withhold_reason)))
    chains = [node for node in ast.walk(tree) if isinstance(node, ast.BoolOp)]
    calls = [item.func for chain in chains for item in chain.values if isinstance(item, ast.Call)]
    return {call.attr if isinstance(call, ast.Attribute) else ast.unparse(call) for call in calls}


class TableTest(RelayTest):
    instances = 3
    engines = 4

    def test_every_guard_and_route_has_its_cells(self) -> None:
        self.assertEqual(guards(), {word.guard for word in WORDS} | OTHER_GUARDS)
        routes = {route["name"] for route in sample_configuration()["routes"]}
        self.assertEqual({way.route for way in WAYS}, routes)

    def test_every_word_is_kept_to_on_every_way(self) -> None:
        for word in WORDS:
            for way in WAYS:
                for instances in (1, 3):
                    with self.subTest(f"{word.name}, {way.name}, {instances}"):
                        self.play(partial(self.cell, word, way, instances))

    async def cell(self, word: Word, way: Way, instances: int, platform: LocalPlatform) -> None:
        speaking = [platform.workers_by_id[name] for name in ("engine-0", "plain-0")]
        others = [item for item in platform.workers_by_id.values() if item not in speaking]
        for worker in speaking:
            word.say(worker)
        for number in range(ASKED):
            for worker in others:
                worker.faults = [way.fault] if number % 2 and way.fault.value != "none" else []
            instance = number % instances
            attempt = f"relay-{instance}.{number}"
            try:
                if way.tokens:
                    await ask(platform, way.route, attempt, instance, x_token_usage=way.tokens)
                else:
                    await ask(platform, way.route, attempt, instance)
            except CallFailedError:
                # Both tries of a stream met the fault.
                continue
        for worker in speaking:
            self.assertLessEqual(word.over(worker.wishes), 0.0)


class AllLimitedTest(RelayTest):
    """Nobody else is there: what has no permit in time is refused, truthfully and at once."""

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

    def test_a_lifted_limit_is_heard_where_others_are_free(self) -> None:
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

    def test_a_limit_of_nothing_is_lifted_by_a_check(self) -> None:
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


class PairsTest(RelayTest):
    """A limit beside what else may be said or happen of the same upstream."""

    instances = 1

    def name_limit(self, entry: RelayEntry, name: str = "plain-0") -> UpstreamState:
        state = state_of(entry, name)
        now = entry.handler.clock()
        hear_limit(entry.table.standings, state.life, LimitWord(2.0, now, now, "test"), now)
        return state

    def limited(self, entry: RelayEntry) -> list[str]:
        return [state.id for state in entry.gossip.limits.issuer.limited_upstreams("plain", ())]

    def test_who_leaves_or_rests_hands_out_nothing(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            for notice in (Notice(rest=60.0), Notice(leaves=True)):
                state = self.name_limit(entry)
                self.assertEqual(self.limited(entry), ["plain-0"])
                now = entry.handler.clock()
                entry.table.standings.hear(state.life, notice, "test", now)
                self.assertEqual(self.limited(entry), [])
                entry.table.standings.by_life[state.life].rest = None

        self.play(work)

    def test_an_ejected_one_waits_for_its_check(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            state = self.name_limit(entry)
            state.needs_probe = True
            self.assertEqual(self.limited(entry), [])
            await platform.until(lambda: not state.needs_probe)
            self.assertEqual(self.limited(entry), ["plain-0"])

        self.play(work)

    def test_it_belongs_to_the_life_and_survives_a_lapse_and_a_reload(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            listed = self.name_limit(entry).listed
            entry.table.apply_list([], ["plain-0"])
            entry.table.apply_list([listed], [])
            entry.reload(entry.settings)
            self.assertEqual(self.limited(entry), ["plain-0"])
            later = ListedUpstream(
                listed.id, listed.service, listed.host, listed.port, "north", 8, False, born=7
            )
            entry.table.apply_list([later], [])
            self.assertEqual(self.limited(entry), [])

        self.play(work)


if __name__ == "__main__":
    unittest.main()
