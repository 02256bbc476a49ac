"""A state machine of a store, readers and peers.

Versions never decrease, no instance stays behind and no proof is false, whatever happens between
the parts of a read.
"""

import random
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import BodyCheck, CallFailedError, StreamedResponse
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
# A change of the store between the parts of a read.
Event = Callable[[], None]


class _StoreHttp(HttpClient):
    """Answers from the store's state; an event may change it before or after an answer is made."""

    def __init__(self, store: SimulatedStore) -> None:
        self.store = store
        # By the number of a call: whether its answer is made before the event, and the event.
        self.events_by_call: dict[int, tuple[bool, Event]] = {}
        self.calls = 0

    async def call_with_stall_timeout(
        self,
        method: str,
        url: str,
        stall: float,
        longest: float,
        on_head: Callable[[StreamedResponse], None] = lambda start: None,
        close_delimited_if: BodyCheck | None = None,
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
    """An instance's publication, reader, document server and peer synchronization."""

    def __init__(self, gossip: Gossip, store: SimulatedStore, clock: FakeClock) -> None:
        self.versions: list[int] = []
        self.publication = Publication(
            PlatformDecoder(), self._record_configuration, lambda _: None, lambda *_: None
        )
        self.gossip = gossip
        gossip.publication = self.publication
        self.published_sync = PublishedSync(gossip)
        self.published_sync.__dict__["_fetcher"] = self
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

    def _record_configuration(self, configuration: RelayConfiguration) -> None:
        self.versions.append(configuration.version)

    def receive_offer(self, host: str, offer: object, is_remote: bool, now: float) -> None:
        """Fetch the whole document at once."""
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


def read_source(member: Member) -> None:
    """Read the source once, whatever the age of the proof; the read may fail."""
    try:
        run_async(member.reader._read())
    except CallFailedError:
        return


class RestoreMachine(RuleBasedStateMachine):
    """Steps of the operator, the store, the instances and their digests."""

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
        # When the store changed to each version.
        self.stored: list[tuple[float, int]] = []
        self.copies: list[tuple[StoreCopy, int]] = []
        self.write_version(1)
        self.copy()

    def advance_clock(self) -> None:
        self.clock.advance(0.05)

    @rule(step=st.integers(1, 3))
    def write_version(self, step: int) -> None:
        self.advance_clock()
        self.version += step
        self.store.put(CONFIGURATION_KEY, sample_configuration(self.version))
        self.stored.append((self.clock(), self.version))

    @rule(worker=st.integers(0, 2))
    def write_entry(self, worker: int) -> None:
        self.advance_clock()
        self.sequence += 1
        entry = sample_entry(ENGINES, f"10.0.0.{worker + 1}:80", sequence=self.sequence)
        self.store.put(f"{UPSTREAMS_PREFIX}w{worker}", entry)

    @rule()
    def copy(self) -> None:
        self.copies.append((self.store.copy(), self.stored[-1][1]))

    @rule(number=st.integers(0, 99))
    def restore(self, number: int) -> None:
        self.advance_clock()
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
        self.advance_clock()
        reader = self.members[member]
        reader.http.calls = 0

        def event(number: int) -> Event:
            return lambda: self.restore(number) if restores else self.write_version(1)

        reader.http.events_by_call = {
            call: (is_late, event(number)) for call, (is_late, number) in events.items()
        }
        read_source(reader)
        reader.http.events_by_call.clear()
        if not events:
            self.check_not_behind(reader)

    def check_not_behind(self, member: Member) -> None:
        """After a complete read the store holds nothing newer."""
        assert member.publication.in_force.version >= self.stored[-1][1]

    @rule(sender=st.integers(0, MEMBERS - 1), receiver=st.integers(0, MEMBERS - 1))
    def send_digest(self, sender: int, receiver: int) -> None:
        """Send a digest that echoes one of the receiver's."""
        if sender == receiver:
            return
        remote, local = self.members[sender], self.members[receiver]
        echo_sent_at = self.clock()
        self.advance_clock()
        digest = msgspec.structs.replace(
            remote.gossip.build_digest(self.clock()),
            echo_boot=local.gossip.boot,
            echo=int(echo_sent_at * MILLISECONDS),
        )
        local.published_sync.receive(digest, self.clock())

    @invariant()
    def versions_never_decrease(self) -> None:
        for member in self.members:
            assert member.versions == sorted(member.versions), member.versions

    @invariant()
    def proofs_are_true(self) -> None:
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
        """Without further events all instances reach the newest version and the same list."""
        self.write_version(1)
        for member in self.members:
            read_source(member)
            assert member.publication.in_force.version == self.version
        tags = {member.publication.list_tag for member in self.members}
        assert len(tags) == 1


class RestoreMachineTest(unittest.TestCase):
    def test_invariants_hold_for_all_sequences_of_steps(self) -> None:
        machine = RestoreMachine.TestCase
        machine.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
        result = unittest.TestResult()
        machine("runTest").run(result)
        problems = [text for _, text in (*result.errors, *result.failures)]
        self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()
