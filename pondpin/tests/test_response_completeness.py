"""Evidence that responses of upstreams are complete."""

import asyncio
import itertools
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from pondpin.body_ends import BodyEnd, ConnectionEnd, Framing
from pondpin.http_streams import CallFailedError
from pondpin.relay.attempts.completeness import (
    IDENTIFY_SECONDS,
    STANDSTILL_SECONDS,
    Completeness,
)
from pondpin.relay.attempts.identity_checks import SETTLE_SECONDS, IdentityChecks
from pondpin.relay.attempts.reading_gaps import STALL_SECONDS, ReadingGaps
from pondpin.relay.attempts.retries import Retries
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.model import EngineReport, ListedUpstream, RouteKind
from pondpin.relay.response_ends import Doubt, Evidence, Identity, ResponseEnd, describe_end
from pondpin.relay.upstreams.prober import IDENTIFY_SECONDS as LONGEST_SECONDS
from pondpin.relay.upstreams.prober import Prober
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.tests.test_relay_planner import make_call
from pondpin.tools.virtual_time import run_virtual

CHUNKED = BodyEnd(Framing.CHUNKED, ConnectionEnd.OPEN, is_framed=True)
CLOSED = BodyEnd(Framing.CLOSE_DELIMITED, ConnectionEnd.CLOSED, is_framed=False)
AT = 50.0


def make_state(name: str, born: int | None = None) -> UpstreamState:
    return UpstreamState(ListedUpstream(name, "engines", name, 80, "north", 8, False, born))


LEAD, HELPER = make_state("10.0.0.1"), make_state("10.0.0.2")


def end_of(body: BodyEnd, silence: float = 0.0, **fields: Any) -> ResponseEnd:
    return replace(describe_end(body, AT, AT - silence, 3), **fields)


class VerifyTest(unittest.TestCase):
    def verify(
        self,
        found: ResponseEnd,
        lead: Identity = Identity.SAME,
        holder: Identity | None = None,
        call: RelayCall | None = None,
    ) -> AttemptEnd:
        """Verify the end of a response of LEAD; holder: what HELPER answers to its release."""
        self.asked: list[str] = []

        async def identify(state: UpstreamState, path: str, seconds: float) -> Identity:
            self.asked.append(state.id)
            self.waited = seconds
            return lead

        async def release() -> Identity:
            if holder is None:
                await asyncio.sleep(60.0)
            return holder or Identity.NO_ANSWER

        async def work() -> AttemptEnd:
            if found.leases:
                found.releases = {HELPER.endpoint: asyncio.ensure_future(release())}
            completeness = Completeness(identify, lambda: AT + 0.01)
            end = AttemptEnd(EndKind.DONE, response_end=found)
            plan = Plan(LEAD, (HELPER,), None, 2)
            return await completeness.verify(call or make_call(5000), plan, end)

        verified: AttemptEnd = run_virtual(work())
        return verified

    def assert_doubt(self, end: AttemptEnd, doubt: Doubt) -> None:
        assert end.response_end is not None
        self.assertEqual((end.kind, end.response_end.doubt), (EndKind.BROKEN, doubt))
        self.assertIs(end.response_end.evidence, Evidence.NONE)

    def assert_evidence(self, end: AttemptEnd, evidence: Evidence) -> None:
        assert end.response_end is not None
        self.assertEqual((end.kind, end.response_end.evidence), (EndKind.DONE, evidence))

    def test_framed_response_needs_no_check(self) -> None:
        self.assert_evidence(self.verify(end_of(CHUNKED)), Evidence.FRAMING)
        self.assertEqual(self.asked, [])

    def test_close_delimited_response_is_complete_if_its_upstream_still_lives(self) -> None:
        end = self.verify(end_of(CLOSED))
        self.assert_evidence(end, Evidence.SAME_LIFE)
        self.assertEqual(self.asked, [LEAD.id])
        assert end.response_end is not None and end.response_end.evidence_at is not None
        self.assertGreater(end.response_end.evidence_at, AT)

    def test_call_that_must_not_run_twice_waits_until_its_deadline(self) -> None:
        call = make_call(5000)
        self.verify(end_of(CLOSED), call=replace(call, deadline=AT + 3.0))
        self.assertEqual(self.waited, IDENTIFY_SECONDS)
        route = replace(call.route, kind=RouteKind.UNSAFE, resumable=False)
        self.verify(end_of(CLOSED), call=replace(call, deadline=AT + 3.0, route=route))
        self.assertAlmostEqual(self.waited, 2.89)

    def test_response_of_a_lost_upstream_is_not_complete(self) -> None:
        for identity, doubt in (
            (Identity.OTHER, Doubt.OTHER_LIFE),
            (Identity.REFUSED, Doubt.REFUSED),
            (Identity.NO_ANSWER, Doubt.NO_ANSWER),
        ):
            end = self.verify(end_of(CLOSED), identity)
            self.assert_doubt(end, doubt)
            self.assertIsNone(end.failed_endpoint)

    def leased(self, body: BodyEnd, silence: float = 0.0) -> ResponseEnd:
        return end_of(body, silence, leases=2, held_until=AT + 1.0)

    def test_response_that_lost_a_holder_of_its_memory_is_not_complete(self) -> None:
        for body in (CHUNKED, CLOSED):
            for holder, doubt in (
                (Identity.REFUSED, Doubt.REFUSED),
                (Identity.OTHER, Doubt.OTHER_LIFE),
            ):
                end = self.verify(self.leased(body), holder=holder)
                self.assert_doubt(end, doubt)
                self.assertEqual(end.failed_endpoint, HELPER.endpoint)

    def test_only_a_framed_end_needs_no_answer_of_a_holder(self) -> None:
        for holder in (Identity.NO_ANSWER, None):
            end = self.verify(self.leased(CHUNKED), holder=holder)
            self.assert_evidence(end, Evidence.FRAMING)
            self.assertEqual(self.asked, [])
            self.assert_evidence(
                self.verify(self.leased(CLOSED), holder=holder), Evidence.SAME_LIFE
            )
            self.assertEqual(self.asked, [HELPER.id, LEAD.id])
            end = self.verify(self.leased(CLOSED), Identity.NO_ANSWER, holder)
            self.assert_doubt(end, Doubt.NO_ANSWER)
            self.assertEqual(end.failed_endpoint, HELPER.endpoint)

    def test_response_whose_holders_answer_is_complete(self) -> None:
        end = self.verify(self.leased(CHUNKED), holder=Identity.SAME)
        self.assert_evidence(end, Evidence.FRAMING)
        end = self.verify(self.leased(CLOSED), holder=Identity.SAME)
        self.assert_evidence(end, Evidence.SAME_LIFE)

    def test_response_whose_lease_lapsed_is_not_complete(self) -> None:
        for body in (CHUNKED, CLOSED):
            end = self.verify(end_of(body, leases=2, held_until=AT), holder=Identity.SAME)
            self.assert_doubt(end, Doubt.LEASE_LAPSED)

    def test_response_that_stood_still_before_its_end_is_not_complete(self) -> None:
        for body in (CHUNKED, CLOSED):
            end = self.verify(self.leased(body, STANDSTILL_SECONDS + 0.01), holder=Identity.SAME)
            self.assert_doubt(end, Doubt.STOOD_STILL)

    def test_response_that_was_not_read_just_before_its_end_is_not_complete(self) -> None:
        for body in (CHUNKED, CLOSED):
            found = self.leased(body)
            found.gap_ended_at = AT - STANDSTILL_SECONDS + 0.01
            self.assert_doubt(self.verify(found, holder=Identity.SAME), Doubt.UNSEEN)
            found = self.leased(body)
            found.gap_ended_at = AT - STANDSTILL_SECONDS - 0.01
            self.assertEqual(self.verify(found, holder=Identity.SAME).kind, EndKind.DONE)

    def test_response_without_leases_may_end_after_a_silence(self) -> None:
        self.assert_evidence(self.verify(end_of(CHUNKED, 5.0)), Evidence.FRAMING)

    def test_stream_with_all_its_events_is_complete(self) -> None:
        whole = 800
        lost = Identity.REFUSED
        end = self.verify(end_of(CLOSED, events=whole, leases=2, held_until=0.0), lost)
        self.assert_evidence(end, Evidence.LAST_EVENT)
        self.assert_doubt(self.verify(end_of(CLOSED, events=whole - 1), lost), Doubt.REFUSED)
        self.assert_doubt(self.verify(end_of(CLOSED, events=None), lost), Doubt.REFUSED)

    def test_events_before_a_callers_resumption_are_not_counted(self) -> None:
        call = make_call(5000)
        call = replace(call, metadata=replace(call.metadata, resume_after="4"))
        end = self.verify(end_of(CLOSED, events=800), Identity.REFUSED, call=call)
        self.assert_doubt(end, Doubt.REFUSED)

    def test_stream_of_unknown_length_has_no_last_event(self) -> None:
        call = make_call(5000)
        call = replace(call, metadata=replace(call.metadata, answer_tokens=0))
        end = self.verify(end_of(CLOSED, events=800), Identity.REFUSED, call=call)
        self.assert_doubt(end, Doubt.REFUSED)


# Of sums of times.
ROUNDING_SECONDS = 1e-6


class BlameTest(unittest.TestCase):
    def test_doubts_about_leases_and_silences_speak_against_no_lead(self) -> None:
        handler: Any = SimpleNamespace(
            connector=SimpleNamespace(blames_upstream=lambda upstream, path: True)
        )
        retries, plan = Retries(handler), Plan(LEAD, (), None, 1)
        for doubt in Doubt:
            found = end_of(CLOSED, doubt=doubt)
            end = AttemptEnd(EndKind.BROKEN, response_end=found)
            expected = doubt not in (Doubt.LEASE_LAPSED, Doubt.STOOD_STILL, Doubt.UNSEEN)
            self.assertIs(retries.blames_upstream(plan, end, Progress()), expected, doubt)


class ReadingGapsTest(unittest.TestCase):
    def test_pauses_and_standstills_hide_a_silence(self) -> None:
        gaps = ReadingGaps(0.0)
        for now in (0.2, 0.4, 0.6):
            gaps.poll(now)
        self.assertIsNone(gaps.last_end(0.7))
        gaps.pause()
        self.assertEqual(gaps.last_end(0.8), 0.8)
        gaps.resume(0.9)
        self.assertEqual(gaps.last_end(1.0), 0.9)
        self.assertEqual(gaps.last_end(1.0 + STALL_SECONDS), 1.0 + STALL_SECONDS)
        gaps.poll(1.6)
        self.assertEqual(gaps.last_end(1.7), 1.0 + STALL_SECONDS)


class SharedChecksTest(unittest.TestCase):
    def play(self, delays: tuple[float, ...], states: tuple[UpstreamState, ...]) -> list[float]:
        """Check at moments; the answers come after 0.05 s. Returns when each was sent."""
        sent_at: list[float] = []

        async def work() -> None:
            loop = asyncio.get_running_loop()
            began = loop.time()

            async def ask(state: UpstreamState, path: str) -> Identity:
                sent_at.append(loop.time() - began)
                await asyncio.sleep(0.05)
                return Identity.SAME

            checks = IdentityChecks(ask)

            async def check(delay: float, state: UpstreamState) -> None:
                await asyncio.sleep(delay)
                ended_at = loop.time() - began
                before = len(sent_at)
                await checks.check(state, "/healthz", 1.0)
                settled_at = ended_at + SETTLE_SECONDS - ROUNDING_SECONDS
                self.assertTrue(any(at >= settled_at for at in sent_at[before:]))

            await asyncio.gather(*itertools.starmap(check, zip(delays, states, strict=True)))

        run_virtual(work())
        return sent_at

    def test_responses_that_end_together_share_a_check(self) -> None:
        self.assertEqual(len(self.play((0.0, 0.001, 0.004), (LEAD, LEAD, LEAD))), 1)

    def test_response_that_ends_after_a_check_was_sent_gets_another(self) -> None:
        self.assertEqual(len(self.play((0.0, 0.02), (LEAD, LEAD))), 2)

    def test_silent_upstream_is_awaited_for_a_bounded_time(self) -> None:
        async def work() -> tuple[Identity, float]:
            async def ask(state: UpstreamState, path: str) -> Identity:
                await asyncio.sleep(60.0)
                return Identity.SAME

            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await IdentityChecks(ask).check(LEAD, "/healthz", 1.5)
            return answer, loop.time() - began

        self.assertEqual(run_virtual(work()), (Identity.NO_ANSWER, 1.5))

    def test_upstreams_share_no_check(self) -> None:
        self.assertEqual(len(self.play((0.0, 0.0), (LEAD, HELPER))), 2)

    def test_cancelled_request_leaves_a_shared_check_to_the_others(self) -> None:
        async def work() -> Identity:
            async def ask(state: UpstreamState, path: str) -> Identity:
                await asyncio.sleep(0.05)
                return Identity.SAME

            checks = IdentityChecks(ask)
            first, second = (
                asyncio.ensure_future(checks.check(LEAD, "/healthz", 1.0)) for _ in range(2)
            )
            await asyncio.sleep(0.01)
            first.cancel()
            return await second

        self.assertIs(run_virtual(work()), Identity.SAME)


class ScriptedPort:
    """Answers to checks of identity: an id, an error, or silence for None."""

    def __init__(self, *answers: str | CallFailedError | None, born: int | None = None) -> None:
        self._answers = list(answers)
        self._born = born
        self.calls = 0

    async def is_healthy(self, *arguments: Any) -> bool:
        raise NotImplementedError

    async def identify(self, host: str, port: int, path: str, upstream: str, on_head: Any) -> str:
        self.calls += 1
        answer = self._answers.pop(0)
        if answer is None:
            await asyncio.sleep(60.0)
        if isinstance(answer, CallFailedError):
            raise answer
        assert answer is not None
        return answer

    async def read_report(self, *arguments: Any) -> EngineReport:
        return EngineReport(0, 0, self._born)


class IdentifyTest(unittest.TestCase):
    def identify(self, port: ScriptedPort, state: UpstreamState = LEAD) -> Identity:
        nothing: Any = None
        sent: list[UpstreamState] = []
        prober = Prober(nothing, port, port, nothing, nothing, lambda: AT, sent.append)
        found: Identity = run_virtual(prober.identify(state, "/healthz"))
        self.assertGreaterEqual(len(sent), port.calls)
        return found

    def test_only_the_expected_id_is_the_same_life(self) -> None:
        self.assertIs(self.identify(ScriptedPort(LEAD.id)), Identity.SAME)
        self.assertIs(self.identify(ScriptedPort("i-other")), Identity.OTHER)
        self.assertIs(self.identify(ScriptedPort("")), Identity.NO_ANSWER)

    def test_upstream_that_keeps_its_id_is_told_by_its_start(self) -> None:
        state = make_state("10.0.0.3", born=7)
        for born, identity in ((7, Identity.SAME), (8, Identity.OTHER), (None, Identity.OTHER)):
            self.assertIs(self.identify(ScriptedPort(state.id, born=born), state), identity)

    def test_refusal_and_silence_are_no_answer_of_the_life(self) -> None:
        refused = CallFailedError("refused", sent=False, refused=True)
        self.assertIs(self.identify(ScriptedPort(refused)), Identity.REFUSED)
        closed = CallFailedError("closed", sent=True)
        self.assertIs(self.identify(ScriptedPort(closed)), Identity.NO_ANSWER)
        self.assertIs(self.identify(ScriptedPort(None)), Identity.NO_ANSWER)

    def test_silent_upstream_is_given_up_in_time(self) -> None:
        async def work() -> float:
            loop = asyncio.get_running_loop()
            began = loop.time()
            nothing: Any = None
            port = ScriptedPort(None)
            prober = Prober(nothing, port, port, nothing, nothing, loop.time, lambda state: None)
            await prober.identify(LEAD, "/healthz")
            return loop.time() - began

        self.assertAlmostEqual(run_virtual(work()), LONGEST_SECONDS, places=3)


if __name__ == "__main__":
    unittest.main()
