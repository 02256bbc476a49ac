"""The table of peers, from heartbeats and the platform's list: pure functions of now."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

MEAN_WAITS = 3.0


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance as last heard; heard_at is in seconds, 0 for never."""

    name: str
    address: str
    data_center: str = ""
    incarnation: int = 0
    revision: int = 0
    ready: bool = False
    draining: bool = False
    heard_at: float = 0.0
    listed: str = ""


PeerTable = dict[str, Peer]


def note_heartbeat(table: PeerTable, heard: Peer) -> PeerTable:
    """The table after a heartbeat; one of an older incarnation changes nothing."""
    known = table.get(heard.name)
    if known is not None and heard.incarnation < known.incarnation:
        return table
    same_life = known is not None and heard.incarnation == known.incarnation
    draining = heard.draining or (same_life and known is not None and known.draining)
    revision = max(heard.revision, known.revision) if same_life and known else heard.revision
    listed = known.listed if known is not None else ""
    updated = replace(heard, draining=draining, revision=revision, listed=listed)
    return table | {heard.name: updated}


def note_list(table: PeerTable, listed: Iterable[Peer]) -> PeerTable:
    """The table after the platform's list: new peers come in, known ones get the list's word.

    The list lags: it adds addresses, and never overrides what a peer itself said.
    """
    result = {name: replace(peer, listed="") for name, peer in table.items()}
    for peer in listed:
        known = result.get(peer.name)
        result[peer.name] = peer if known is None else replace(known, listed=peer.listed)
    return result


def is_alive(peer: Peer, now: float, lost_after: float) -> bool:
    """Whether a peer was heard from within lost_after seconds."""
    return peer.heard_at > 0 and now - peer.heard_at <= lost_after


def silence_allowed(peers: int, fan_out: int, period: float, rounds: int) -> float:
    """Seconds without a heartbeat after which a peer counts as lost.

    Each round an instance speaks with about twice fan_out peers, its own calls and theirs. Of
    many peers one is heard rarely: three times the mean wait is allowed for.
    """
    mean_rounds = peers / (2 * fan_out)
    return period * max(rounds, MEAN_WAITS * mean_rounds)


def alive_peers(table: PeerTable, now: float, lost_after: float) -> list[Peer]:
    """The peers heard from lately, by name."""
    return [peer for _, peer in sorted(table.items()) if is_alive(peer, now, lost_after)]


def forget_lost(table: PeerTable, now: float, forget_after: float) -> PeerTable:
    """The table without peers that are neither listed nor heard from for long."""
    return {
        name: peer
        for name, peer in table.items()
        if peer.listed or now - peer.heard_at <= forget_after
    }
