"""Long prefills that instances of a large fleet announce, on the states of their upstreams."""

from collections.abc import Callable, Iterable

from pondpin.relay.upstreams.long_prefills import (
    LongPrefill,
    collect_long_prefills,
    received_prefill,
)
from pondpin.relay.upstreams.state import UpstreamState


class LongPrefillTable:
    """The announced prefills by peer; by_life: the state of a listed life."""

    def __init__(self, by_life: Callable[[int], UpstreamState | None]) -> None:
        self._by_life = by_life
        # Lives and groups of the parts in a peer's last message.
        self._parts_by_peer: dict[str, tuple[tuple[int, int], ...]] = {}

    def update(self, instance: str, prefills: Iterable[LongPrefill], now: float) -> None:
        """Replace an instance's long prefills by those in its message."""
        for life, group in self._parts_by_peer.pop(instance, ()):
            known = self._by_life(life)
            if known is not None:
                known.peer_prefills_by_group.pop(group, None)
        parts = []
        for announced in prefills:
            received = received_prefill(announced, now)
            for life in announced.lives:
                state = self._by_life(life)
                if state is not None:
                    state.peer_prefills_by_group[announced.group] = received
                    parts.append((life, announced.group))
        if parts:
            self._parts_by_peer[instance] = tuple(parts)

    def own(self, states: Iterable[UpstreamState], now: float) -> tuple[LongPrefill, ...]:
        """The unfinished long prefills of this instance."""
        works = ((state.life, work) for state in states for work in state.work_by_key.values())
        return collect_long_prefills(works, now)
