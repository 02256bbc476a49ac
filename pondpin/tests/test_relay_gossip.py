"""Digests, the table of peers, the fan-out, and simulated fleets of many instances."""

import os
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.relay.peers.digests import (
    ALIVE_SECONDS,
    DIGEST_FORMAT,
    LARGE_FLEET_SILENT_SECONDS,
    PEER_EXPIRY_SECONDS,
    SILENCE_EXPIRY_SECONDS,
    SILENT_SECONDS,
    SMALL_FLEET_PEERS,
    Digest,
    PeerTable,
    decode_digest,
    echo_sent_at,
    encode_digest,
)
from pondpin.relay.peers.fan_out import (
    HEARTBEAT_FAN_OUT,
    HEARTBEAT_SECONDS,
    LOCAL_BYTES_PER_SECOND,
    MIN_FAN_OUT,
    REMOTE_INTERVAL_SECONDS,
    FanOut,
)
from pondpin.tools.gossip_fleet import GossipFleet

NOW = 1000.0


def make_digest(instance: str, boot: int, sequence: int, **changes: object) -> Digest:
    values: dict[str, object] = {
        "format": DIGEST_FORMAT,
        "instance": instance,
        "boot": boot,
        "host": f"10.0.0.{boot}",
        "sequence": sequence,
        "stamp": 5,
        "echo_boot": 0,
        "echo": -1,
        "revision": 1,
        "proof_age": 0,
        "list_tag": 0,
        "list_age": 0,
        "data_center": "north",
        "reads_source": True,
        "leaving": (),
        "ejected": (),
        "work": (),
        "hosts": (),
        "interval_ms": 200,
        "wants_reply": False,
    }
    return Digest(**(values | changes))  # type: ignore[arg-type]


DIGESTS = st.tuples(
    st.integers(1, 40), st.integers(1, 2), st.sampled_from((0, 200, 2900)), st.floats(0, 3)
)


class PeerTableIndexTest(unittest.TestCase):
    @given(st.lists(DIGESTS, max_size=60))
    def test_index_of_live_peers_matches_a_scan_of_all_peers(
        self, received_digests: list[tuple[int, int, int, float]]
    ) -> None:
        table = PeerTable(own_boot=99)
        now = NOW
        alive_before: set[str] = set()
        for number, (boot, process, interval_ms, wait) in enumerate(received_digests):
            now += wait
            data_center = f"c{boot % 3}"
            received = make_digest(
                f"i{boot}-{process}", boot, number, interval_ms=interval_ms, data_center=data_center
            )
            changes = table.change_count
            table.apply(received, now)
            peers = list(table.by_host.values())
            alive_peers = table.alive(now)
            self.assertEqual(
                {peer.host for peer in peers if peer.is_alive(now)},
                {peer.host for peer in alive_peers},
            )
            self.assertTrue(all(table.by_host[peer.host] is peer for peer in alive_peers))
            alive = {peer.instance for peer in alive_peers}
            if alive != alive_before:
                self.assertGreater(table.change_count, changes)
            alive_before = alive
            limit = LARGE_FLEET_SILENT_SECONDS if table.is_large else SILENT_SECONDS
            silent = {
                peer.data_center
                for peer in peers
                if limit
                < now - max(p.last_seen_at for p in peers if p.data_center == peer.data_center)
                < SILENCE_EXPIRY_SECONDS
            }
            self.assertEqual(table.silent_data_centers(now), silent)
        table.expire(now + PEER_EXPIRY_SECONDS + 1)
        self.assertEqual(table.by_host, {})


class PeerTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PeerTable(own_boot=9)

    def test_invalid_datagram_is_not_decoded(self) -> None:
        self.assertIsNone(decode_digest(b"\xff\x00junk"))
        sent = make_digest("a", 1, 1)
        self.assertEqual(decode_digest(encode_digest(sent)), sent)

    def test_outdated_digest_is_ignored(self) -> None:
        self.assertTrue(self.table.apply(make_digest("a", 1, 5), NOW))
        self.assertFalse(self.table.apply(make_digest("a", 1, 4), NOW))
        self.assertFalse(self.table.apply(make_digest("me", 9, 1), NOW))

    def test_new_boot_restarts_the_sequence(self) -> None:
        self.table.apply(make_digest("a", 1, 5), NOW)
        self.assertTrue(self.table.apply(make_digest("a", 2, 1, host="10.0.0.1"), NOW))

    def test_echo_of_another_boot_has_no_send_time(self) -> None:
        self.assertIsNone(echo_sent_at(make_digest("a", 1, 1, echo=500, echo_boot=8), 9))
        self.assertIsNone(echo_sent_at(make_digest("a", 1, 1), 9))
        self.assertEqual(echo_sent_at(make_digest("a", 1, 1, echo=500, echo_boot=9), 9), 0.5)

    def test_rank_counts_live_peers_that_read_the_source(self) -> None:
        self.table.apply(make_digest("a", 1, 1), NOW)
        self.table.apply(make_digest("b", 2, 1, reads_source=False), NOW)
        self.table.apply(make_digest("z", 3, 1), NOW)
        self.assertEqual(self.table.rank("m", "north", NOW), 1)
        self.assertEqual(self.table.rank("m", "north", NOW + ALIVE_SECONDS), 0)

    def test_large_fleet_ranks_local_peers_after_other_data_centers(self) -> None:
        for number in range(10, SMALL_FLEET_PEERS + 12):
            data_center = "north" if number < 13 else "south"
            self.table.apply(make_digest(f"i{number:02}", number, 1, data_center=data_center), NOW)
        self.assertEqual(self.table.rank("i11", "north", NOW), 1)
        self.assertEqual(self.table.rank("i00", "south", NOW), 1)

    def test_peer_is_alive_for_three_of_its_announced_intervals(self) -> None:
        self.table.apply(make_digest("a", 1, 1, interval_ms=2000), NOW)
        self.assertEqual(len(self.table.alive(NOW + 5.9)), 1)
        self.assertEqual(self.table.alive(NOW + 6.1), [])

    def test_data_center_is_silent_when_all_its_peers_are(self) -> None:
        self.table.apply(make_digest("a", 1, 1), NOW)
        self.table.apply(make_digest("b", 2, 1), NOW + 0.6)
        self.assertEqual(self.table.silent_data_centers(NOW + 0.7), frozenset())
        silent = self.table.silent_data_centers(NOW + 0.7 + SILENT_SECONDS)
        self.assertEqual(silent, frozenset(("north",)))


class FanOutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PeerTable(own_boot=999)
        self.fan_out = FanOut("north", random.Random(1))

    def fill(self, local: int, remote: int, now: float) -> None:
        for number in range(1, local + remote + 1):
            data_center = "north" if number <= local else f"south{number % 2}"
            peer = make_digest(
                f"i{number}", number, int(now * 10), data_center=data_center, interval_ms=5000
            )
            self.table.apply(peer, now)

    def test_small_fleet_sends_to_all_peers(self) -> None:
        self.fill(4, 5, NOW)
        targets = self.fan_out.next_round(self.table, NOW, changed=False, urgent=False)
        self.assertEqual((len(targets.local), len(targets.remote)), (9, 0))

    def test_large_fleet_sends_to_local_peers_and_one_peer_of_each_data_center(self) -> None:
        self.fill(10, 20, NOW)
        targets = self.fan_out.next_round(self.table, NOW, changed=True, urgent=False)
        self.assertEqual({peer.data_center for peer in targets.local}, {"north"})
        self.assertEqual(len(targets.local), 10)
        self.assertEqual({peer.data_center for peer in targets.remote}, {"south0", "south1"})

    def test_only_heartbeats_are_sent_without_changes(self) -> None:
        self.fill(10, 20, NOW)
        self.fan_out.next_round(self.table, NOW, changed=True, urgent=False)
        targets = self.fan_out.next_round(self.table, NOW + 0.2, changed=False, urgent=False)
        self.assertEqual((targets.local, targets.remote), ((), ()))
        later = NOW + HEARTBEAT_SECONDS
        targets = self.fan_out.next_round(self.table, later, changed=False, urgent=False)
        self.assertEqual(len(targets.local), HEARTBEAT_FAN_OUT)
        self.assertGreater(later, NOW + REMOTE_INTERVAL_SECONDS)
        self.assertEqual(len(targets.remote), 2)

    def test_urgent_change_is_sent_to_other_data_centers_at_once(self) -> None:
        self.fill(10, 20, NOW)
        self.fan_out.next_round(self.table, NOW, changed=True, urgent=False)
        targets = self.fan_out.next_round(self.table, NOW + 0.05, changed=True, urgent=True)
        self.assertEqual(len(targets.remote), 2)

    def test_bytes_are_bounded_but_a_change_reaches_a_minimum_of_peers(self) -> None:
        self.fill(40, 20, NOW)
        sent = 0
        for step in range(100):
            now = NOW + step * 0.05
            targets = self.fan_out.next_round(self.table, now, changed=True, urgent=False)
            self.assertGreaterEqual(len(targets.local), MIN_FAN_OUT)
            for _ in targets.local:
                self.fan_out.record_bytes(372)
                sent += 400
        self.assertLess(sent, LOCAL_BYTES_PER_SECOND * 6 + 100 * MIN_FAN_OUT * 400)


class FleetTest(unittest.TestCase):
    def test_simulated_fleet_opens_no_descriptors(self) -> None:
        before = len(os.listdir("/proc/self/fd"))
        fleet = GossipFleet(centers=3, instances=40, seed=1)
        fleet.play(1.0)
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)

    def test_large_fleet_has_recent_proofs_everywhere_within_the_budget(self) -> None:
        fleet = GossipFleet(centers=3, instances=60, seed=1)
        fleet.play(12.0)
        before, reads = fleet.bytes_out, fleet.reads
        fleet.play(5.0)
        self.assertLess(max(fleet.proof_ages()), 2.0)
        self.assertEqual({len(item.hosts) for item in fleet.members}, {59})
        self.assertLess((fleet.bytes_out - before) / 5.0 / 60, LOCAL_BYTES_PER_SECOND)
        self.assertLessEqual((fleet.reads - reads) / 5.0, 8.0)

    def test_joining_instance_is_discovered_and_receives_a_proof(self) -> None:
        for size in (5, 40):
            fleet = GossipFleet(centers=3, instances=size, seed=3)
            fleet.play(6.0)
            joined = fleet.join()
            fleet.play(6.0)
            self.assertEqual(len(joined.hosts), size)
            self.assertTrue(all(joined.address.host in item.hosts for item in fleet.members[:size]))
            proof = joined.publication.proof
            assert proof is not None
            self.assertLess(proof.age(fleet.now), 2.0)

    def test_instances_that_start_together_see_one_another_within_a_second(self) -> None:
        fleet = GossipFleet(centers=3, instances=9, seed=4)
        fleet.play(0.7)
        alive = [len(item.peer_table.alive(fleet.now)) for item in fleet.members]
        self.assertEqual(alive, [8] * 9)

    def test_partitioned_data_center_is_detected_and_recovers(self) -> None:
        fleet = GossipFleet(centers=3, instances=60, seed=2)
        fleet.play(8.0)
        fleet.cut = {"c2"}
        fleet.play(3.0)
        outside = [item for item in fleet.members if item.table.data_center != "c2"]
        for member in outside:
            self.assertEqual(member.peer_table.silent_data_centers(fleet.now), {"c2"})
        fleet.cut = set()
        fleet.play(3.0)
        for member in outside:
            self.assertEqual(member.peer_table.silent_data_centers(fleet.now), frozenset())


if __name__ == "__main__":
    unittest.main()
