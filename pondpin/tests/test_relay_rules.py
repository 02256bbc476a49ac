"""Tests of routing, admission, freshness proofs, retry budgets and event splitting."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.relay.attempts.admission import (
    FRESH_PROOF_SECONDS,
    OUTAGE_RETRY_SECONDS,
    RETRY_SECONDS,
    AdmissionState,
    admit,
    check_not_behind,
)
from pondpin.relay.attempts.events import EventSplitter
from pondpin.relay.choosing.retry_window import MIN_INSTANCES, RetryBounds, RetryWindow
from pondpin.relay.choosing.routing import find_route, pick_service, service_gap_target
from pondpin.relay.model import (
    ClientAccount,
    RelayConfiguration,
    RequestMetadata,
    Route,
    RouteKind,
    ServiceShare,
)
from pondpin.relay.published.freshness import (
    Proof,
    PublishedVersion,
    is_fresh,
    later_proof,
    peer_proof,
)

NOW = 1000.0


def make_route(prefix: str, **changes: object) -> Route:
    values: dict[str, object] = {
        "name": prefix,
        "host": "a.example",
        "prefix": prefix,
        "kind": RouteKind.UNSAFE,
        "timeout": 2.0,
        "latency_target": 0.3,
        "priority": 3,
        "shares": (ServiceShare("one", 90), ServiceShare("two", 10)),
        "max_attempts": 1,
        "public": False,
        "resumable": False,
        "gap_target": 0.0,
    }
    return Route(**(values | changes))  # type: ignore[arg-type]


def make_configuration(*routes: Route) -> RelayConfiguration:
    ordered = tuple(sorted(routes, key=lambda route: len(route.prefix), reverse=True))
    accounts = {"key": ClientAccount("riders", 1)}
    return RelayConfiguration(7, {"a.example": ordered}, {}, accounts)


def facts(**changes: object) -> RequestMetadata:
    values: dict[str, object] = {
        "attempt_id": "1",
        "host": "a.example",
        "api_key": "key",
        "timeout": 4.0,
        "prompt_tokens": 0,
        "answer_tokens": 0,
        "resume_after": "",
    }
    return RequestMetadata(**(values | changes))  # type: ignore[arg-type]


class RoutingTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        configuration = make_configuration(make_route("/a/"), make_route("/a/b/"))
        found = find_route(configuration, "a.example", "/a/b/c")
        self.assertEqual(found and found.prefix, "/a/b/")
        self.assertIsNone(find_route(configuration, "a.example", "/ab"))
        self.assertIsNone(find_route(configuration, "b.example", "/a/b/c"))

    def test_the_strictest_gap_target_of_a_service_counts(self) -> None:
        configuration = make_configuration(
            make_route("/a/", gap_target=0.6),
            make_route("/b/", gap_target=0.2, shares=(ServiceShare("two", 1),)),
            make_route("/c/"),
        )
        self.assertEqual(service_gap_target(configuration, "one"), 0.6)
        self.assertEqual(service_gap_target(configuration, "two"), 0.2)
        self.assertEqual(service_gap_target(configuration, "three"), float("inf"))

    def test_a_split_follows_the_weights(self) -> None:
        shares = (ServiceShare("one", 90), ServiceShare("none", 0), ServiceShare("two", 10))
        chosen = [pick_service(shares, draw / 1000) for draw in range(1000)]
        self.assertEqual(chosen.count("one"), 900)
        self.assertEqual(chosen.count("none"), 0)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = make_configuration(make_route("/a/"))

    def admit(self, age: float, max_proof_age: float | None = 4.6, **changes: object) -> object:
        state = AdmissionState(
            self.configuration, Proof(PublishedVersion(1), NOW - age), max_proof_age
        )
        return admit(state, facts(**changes), "/a/x", NOW)

    def code(self, age: float, **changes: object) -> Code:
        with self.assertRaises(PondpinError) as caught:
            self.admit(age, 4.6, **changes)
        return caught.exception.code

    def test_the_shorter_of_both_timeouts_counts(self) -> None:
        admitted = self.admit(0.1)
        self.assertEqual(getattr(admitted, "timeout", None), 2.0)
        self.assertEqual(getattr(self.admit(0.1, timeout=0.5), "timeout", None), 0.5)

    def test_the_account_sets_the_rank(self) -> None:
        admitted = self.admit(0.1)
        self.assertEqual(getattr(admitted, "rank", None), 1)
        self.assertEqual(getattr(admitted, "account", None), "riders")

    def test_a_key_needs_a_recent_proof(self) -> None:
        self.assertEqual(self.code(4.6), Code.NOT_PROVED)
        self.assertEqual(self.code(100.0), Code.NOT_PROVED)

    def test_without_a_required_proof_an_old_configuration_admits_known_keys(self) -> None:
        admitted = self.admit(100.0, None)
        self.assertEqual(getattr(admitted, "account", None), "riders")
        with self.assertRaises(PondpinError) as caught:
            self.admit(100.0, None, api_key="other")
        self.assertEqual(caught.exception.code, Code.NOT_PROVED)

    def test_retry_after_is_spread_and_longer_with_live_peers(self) -> None:
        proof = Proof(PublishedVersion(1), NOW - 9.0)
        alone = AdmissionState(self.configuration, proof, 4.6)
        together = AdmissionState(self.configuration, proof, 4.6, has_live_peers=True)
        self.assertEqual(alone.retry_seconds("a"), RETRY_SECONDS)
        seconds = {together.retry_seconds(str(number)) for number in range(99)}
        self.assertEqual(len(seconds), 99)
        self.assertGreater(min(seconds), 2 * RETRY_SECONDS)
        self.assertLess(max(seconds), 1.5 * OUTAGE_RETRY_SECONDS)
        with self.assertRaises(PondpinError) as caught:
            admit(together, facts(), "/a/x", NOW)
        self.assertIn(caught.exception.retry_after, {together.retry_seconds("1")})

    def test_an_instance_too_far_behind_refuses(self) -> None:
        proof = Proof(PublishedVersion(1), NOW)
        check_not_behind(
            AdmissionState(
                self.configuration, proof, 4.6, behind_seconds=1.29, max_behind_seconds=1.3
            )
        )
        with self.assertRaises(PondpinError) as caught:
            check_not_behind(
                AdmissionState(
                    self.configuration, proof, 4.6, behind_seconds=1.3, max_behind_seconds=1.3
                )
            )
        error = caught.exception
        self.assertEqual((error.code, error.ran), (Code.NOT_PROVED, Ran.NOT_RUN))
        self.assertEqual(error.retry_after, RETRY_SECONDS)

    def test_an_unknown_key_is_final_only_with_a_recent_proof(self) -> None:
        self.assertEqual(self.code(0.1, api_key="other"), Code.UNKNOWN_KEY)
        self.assertEqual(self.code(FRESH_PROOF_SECONDS + 0.01, api_key="other"), Code.NOT_PROVED)

    def test_an_unknown_host_is_final_only_with_a_recent_proof(self) -> None:
        self.assertEqual(self.code(0.1, host="x"), Code.UNKNOWN_PATH)
        self.assertEqual(self.code(FRESH_PROOF_SECONDS + 0.01, host="x"), Code.NOT_PROVED)

    def test_without_a_configuration_requests_get_503(self) -> None:
        with self.assertRaises(PondpinError) as caught:
            admit(AdmissionState(None, None, 4.6), facts(), "/a/x", NOW)
        self.assertEqual(caught.exception.status, 503)


class FreshnessTest(unittest.TestCase):
    def test_the_later_read_counts(self) -> None:
        early, late = Proof(PublishedVersion(2), 5.0), Proof(PublishedVersion(1), 9.0)
        self.assertEqual(later_proof(early, late), late)
        self.assertEqual(later_proof(late, early), late)
        self.assertEqual(later_proof(None, early), early)

    def test_a_proof_of_a_newer_version_does_not_confirm_an_older_one(self) -> None:
        older, newer = PublishedVersion(2, 1, 9), PublishedVersion(3, 1, 4)
        self.assertFalse(is_fresh(Proof(newer, NOW), older, NOW, 5.0))
        self.assertTrue(is_fresh(Proof(older, NOW - 4.9), newer, NOW, 5.0))
        self.assertTrue(is_fresh(Proof(newer, NOW - 4.9), newer, NOW, 5.0))
        self.assertFalse(is_fresh(Proof(newer, NOW - 5.0), newer, NOW, 5.0))

    def test_the_operator_version_takes_precedence(self) -> None:
        in_force = PublishedVersion(10, 1, 62, 7)
        newer = (
            PublishedVersion(11, 2, 34, 8),
            PublishedVersion(11, 1, 5, 8),
            # The same version with other content, under a later epoch or revision.
            PublishedVersion(10, 2, 34, 8),
            PublishedVersion(10, 1, 63, 8),
        )
        others = (
            PublishedVersion(6, 2, 99, 8),
            PublishedVersion(9, 1, 99, 8),
            # The same content, read in a later epoch.
            PublishedVersion(10, 2, 34, 7),
            PublishedVersion(10, 1, 61, 8),
        )
        self.assertTrue(all(version.is_newer_than(in_force) for version in newer))
        self.assertFalse(any(version.is_newer_than(in_force) for version in others))

    @given(
        st.floats(0, 10),  # time from the peer's read to its answer
        st.floats(0, 10),  # latency of the question
        st.floats(0, 10),  # latency of the answer, or a pause before it was read
    )
    def test_a_forwarded_proof_never_looks_younger(
        self, read_before: float, question_latency: float, answer_latency: float
    ) -> None:
        asked = NOW
        answered = asked + question_latency
        read_at = answered - read_before
        proof = peer_proof(PublishedVersion(1), asked, read_before)
        self.assertLessEqual(proof.sent_at, read_at + 1e-9)
        received = answered + answer_latency
        self.assertGreaterEqual(proof.age(received), received - read_at - 1e-9)


class RetryWindowTest(unittest.TestCase):
    def test_all_instances_together_keep_the_bound(self) -> None:
        bounds = RetryBounds(0.2, 100.0, 10.0)
        windows = [RetryWindow(bounds) for _ in range(9)]
        requests = retries = 0
        for step in range(200):
            now = step * 0.05
            for window in windows:
                window.record_request(now)
                requests += 1
                while window.spend(now, len(windows)):
                    retries += 1
        self.assertLessEqual(retries, 0.2 * requests + 100)
        self.assertGreater(retries, 0.1 * requests)

    def test_a_single_instance_does_not_use_the_whole_allowance(self) -> None:
        window = RetryWindow(RetryBounds(0.0, 100.0, 10.0))
        taken = sum(window.spend(NOW, 1) for _ in range(200))
        self.assertLessEqual(taken, 100 / MIN_INSTANCES)

    def test_the_window_slides(self) -> None:
        window = RetryWindow(RetryBounds(0.0, 40.0, 10.0))
        while window.spend(NOW, 4):
            pass
        self.assertFalse(window.spend(NOW + 9.9, 4))
        self.assertTrue(window.spend(NOW + 10.1, 4))


class EventSplitterTest(unittest.TestCase):
    def test_an_incomplete_event_is_buffered(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
        self.assertTrue(splitter.has_partial)
        found = splitter.feed(b"\n\nid: 2\n")
        self.assertEqual([item.number for item in found], [1])
        self.assertEqual(found[0].data, b"id: 1\ndata: a\n\n")
        self.assertTrue(splitter.has_partial)

    def test_a_line_before_the_id_is_part_of_the_event(self) -> None:
        found = EventSplitter().feed(b"versions: 3\nid: 9\ndata: x\n\n")
        self.assertEqual(found[0].number, 9)

    def test_an_oversized_event_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            EventSplitter().feed(b"data: " + b"x" * (2 << 20))

    @given(st.lists(st.integers(1, 5), min_size=1, max_size=40), st.sampled_from(["\n", "\r\n"]))
    def test_events_do_not_depend_on_chunk_sizes(self, sizes: list[int], end: str) -> None:
        text = "".join(f"id: {i}{end}data: {'y' * i}{end}{end}" for i in range(5)).encode()
        splitter = EventSplitter()
        found = []
        position = 0
        while position < len(text):
            size = sizes[position % len(sizes)]
            found += splitter.feed(text[position : position + size])
            position += size
        self.assertEqual(b"".join(item.data for item in found), text)
        self.assertEqual([item.number for item in found], [0, 1, 2, 3, 4])
        self.assertFalse(splitter.has_partial)
