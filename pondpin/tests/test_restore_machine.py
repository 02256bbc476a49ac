"""A state machine over a store, readers and peers: nothing goes back, stays behind or is falsely
proved, whatever happens between the parts of a read.
"""

import random
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import CallFailedError, StreamedResponse
from pondpin.platform.documents import PlatformDecoder
from pondpin.platform.store import PlatformStore
from pondpin.relay.model import RelayConfiguration
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.peers.published_sync import PublishedSync
from pondpin.relay.published.document_server import DocumentServer
from pondpin.relay.published.documents import (
    DocumentKind,
    ListOffer,
    decode_configuration,
    decode_list,
)
from pondpin.relay.published.packing import unpack
from pondpin.relay.published.pieces import FetchPieceRequest
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.reader import ReaderController
from pondpin.standins.local_platform import ENGINES, sample_configuration, sample_entry
from pondpin.standins.simulated_store import SimulatedStore
from pondpin.standins.store_state import CONFIGURATION_KEY, UPSTREAMS_PREFIX, StoreCopy
from pondpin.tests.support import FakeClock, ListLog, run_async
from pondpin.tools.gossip_fleet import GossipFleet

MEMBERS = 3
MILLISECONDS = 1000
# What may happen between the parts of a read.
Event = Callable[[], None]


class _StoreHttp(HttpClient):
    """Answers from the store's state; an event may come before or after an answer is made."""

    def __init__(self, store: SimulatedStore) -> None:
        self.store = store
        # The call at which something happens, and whether its answer is made before that.
        self.events_by_call: dict[int, tuple[bool, Event]] = {}
        self.calls = 0

    async def call_with_stall_timeout(
        self,
        method: str,
        url: str,
        stall: float,
        longest: float,
        on_head: Callable[[StreamedResponse], None] = lambda start: None,
    ) -> HttpResponse:
        is_late, event = self.events_by_call.pop(self.calls, (False, lambda: None))
        self.calls += 1
        if not is_late:
            event()
        answer = self.store.answer(url)
        headers = {name.lower(): value for name, value in self.store.epoch_headers.items()}
        if is_late:
            event()
        on_head(StreamedResponse(answer.status, headers, None))
        return HttpResponse(answer.status, headers, msgspec.json.encode(answer.document))


class Member:
    """An instance's publication, reader and ear for peers."""

    def __init__(self, gossip: Gossip, store: SimulatedStore, clock: FakeClock) -> None:
        self.versions: list[int] = []
        self.publication = Publication(
            PlatformDecoder(), self._take, lambda _: None, lambda *_: None
        )
        self.gossip = gossip
        gossip.publication = self.publication
        self.news = PublishedSync(gossip)
        self.news.__dict__["_fetcher"] = self
        self.server = DocumentServer(self.publication, clock)
        self.http = _StoreHttp(store)
        self.reader = ReaderController(
            PlatformStore(
                self.http,
                "store:1",
                lambda head: self.publication.receive_epoch(head.epoch, "its answer"),
            ),
            self.publication,
            lambda now: 0,
            lambda: None,
            ListLog(),
            clock,
            random.Random(1),
        )
        self.clock = clock
        self.members: list[Member] = []

    def _take(self, configuration: RelayConfiguration) -> None:
        self.versions.append(configuration.version)

    def receive_offer(self, host: str, offer: object, is_far: bool, now: float) -> None:
        """Fetch a document at once."""
        peer = next(item for item in self.members if item.gossip.address.host == host)
        kind = (
            DocumentKind.UPSTREAMS if isinstance(offer, ListOffer) else (DocumentKind.CONFIGURATION)
        )
        in_force = self.publication.in_force
        request = FetchPieceRequest(kind, host="x", version=in_force.version, epoch=in_force.epoch)
        reply = peer.server.answer(request, now)
        if not reply.packed_id:
            return
        document = unpack(reply.piece, lambda _: None)
        read_at = now - reply.age_ms / MILLISECONDS if reply.age_ms >= 0 else None
        if kind is DocumentKind.CONFIGURATION:
            item = decode_configuration(document)
            self.publication.apply_configuration(item, read_at, now, from_peer=True)
        elif read_at is not None:
            self.publication.apply_list(decode_list(document), read_at, now, reply.epoch)


def read_all(member: Member) -> None:
    """Read the source once, whatever the age of the proof; a read may fail."""
    try:
        run_async(member.reader._read())
    except CallFailedError:
        return


class RestoreMachine(RuleBasedStateMachine):
    """Steps of the operator, the store, the instances and their messages."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = SimulatedStore()
        fleet = GossipFleet(centers=1, instances=MEMBERS, seed=1)
        self.members = [Member(gossip, self.store, self.clock) for gossip in fleet.members]
        for member in self.members:
            member.members = self.members
        self.version = 0
        self.sequence = 0
        # The version that the store held from each moment on.
        self.stored: list[tuple[float, int]] = []
        self.copies: list[tuple[StoreCopy, int]] = []
        self.write_version(1)
        self.copy()

    def tick(self) -> None:
        self.clock.advance(0.05)

    @rule(step=st.integers(1, 3))
    def write_version(self, step: int) -> None:
        self.tick()
        self.version += step
        self.store.put(CONFIGURATION_KEY, sample_configuration(self.version))
        self.stored.append((self.clock(), self.version))

    @rule(worker=st.integers(0, 2))
    def write_entry(self, worker: int) -> None:
        self.tick()
        self.sequence += 1
        entry = sample_entry(ENGINES, f"10.0.0.{worker + 1}:80", sequence=self.sequence)
        self.store.put(f"{UPSTREAMS_PREFIX}w{worker}", entry)

    @rule()
    def copy(self) -> None:
        self.copies.append((self.store.copy(), self.stored[-1][1]))

    @rule(number=st.integers(0, 99))
    def restore(self, number: int) -> None:
        self.tick()
        copy, version = self.copies[number % len(self.copies)]
        self.store.restore(copy)
        self.stored.append((self.clock(), version))

    @rule()
    def forget_history(self) -> None:
        self.store.forget_history()

    @rule(
        member=st.integers(0, MEMBERS - 1),
        events=st.dictionaries(
            st.integers(0, 3), st.tuples(st.booleans(), st.integers(0, 99)), max_size=2
        ),
        restores=st.booleans(),
    )
    def read(self, member: int, events: dict[int, tuple[bool, int]], restores: bool) -> None:
        """Read, while the store is restored or written between the parts of the read."""
        self.tick()
        reading = self.members[member]
        reading.http.calls = 0

        def event(number: int) -> Event:
            return lambda: self.restore(number) if restores else self.write_version(1)

        reading.http.events_by_call = {
            call: (is_late, event(number)) for call, (is_late, number) in events.items()
        }
        read_all(reading)
        reading.http.events_by_call.clear()
        if not events:
            self.check_not_behind(reading)

    def check_not_behind(self, member: Member) -> None:
        """After a whole read nothing that the store holds is newer."""
        assert member.publication.in_force.version >= self.stored[-1][1]

    @rule(teller=st.integers(0, MEMBERS - 1), hearer=st.integers(0, MEMBERS - 1))
    def tell(self, teller: int, hearer: int) -> None:
        """A digest that answers one of the hearer's."""
        if teller == hearer:
            return
        there, here = self.members[teller], self.members[hearer]
        asked = self.clock()
        self.tick()
        digest = msgspec.structs.replace(
            there.gossip.build_digest(self.clock()),
            echo_boot=here.gossip.boot,
            echo=int(asked * MILLISECONDS),
        )
        here.news.receive(digest, self.clock())

    @invariant()
    def nothing_goes_back(self) -> None:
        for member in self.members:
            assert member.versions == sorted(member.versions), member.versions

    @invariant()
    def no_proof_is_false(self) -> None:
        for member in self.members:
            proof = member.publication.proof
            if proof is None:
                continue
            held = [
                version
                for number, (at, version) in enumerate(self.stored)
                if number + 1 == len(self.stored) or self.stored[number + 1][0] >= proof.sent_at
            ]
            assert proof.newest.version >= min(held), (proof, self.stored)

    def teardown(self) -> None:
        """Left alone, all have the newest version and one list."""
        self.write_version(1)
        for member in self.members:
            read_all(member)
            assert member.publication.in_force.version == self.version
        tags = {member.publication.list_tag for member in self.members}
        assert len(tags) == 1


class RestoreMachineTest(unittest.TestCase):
    def test_no_sequence_of_steps_breaks_it(self) -> None:
        machine = RestoreMachine.TestCase
        machine.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
        result = unittest.TestResult()
        machine("runTest").run(result)
        broken = [text for _, text in (*result.errors, *result.failures)]
        self.assertEqual(broken, [])


if __name__ == "__main__":
    unittest.main()
