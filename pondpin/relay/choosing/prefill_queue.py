"""Queue of long prompts that wait for engines, ordered alike on all instances.

Engines prefill the newest part first, so two long prompts on the same engines delay each other. A
long prompt therefore waits at its instance until its engines have finished their current prefills.
Each instance reports its queued prompts to its peers and sends one only when it is first overall.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import cast

from pondpin.relay.choosing.prefill_digest import QueuedPromptDigest, ShortQueuedPromptDigest
from pondpin.relay.choosing.prefill_order import (
    DispatchOrder,
    QueuedPrompt,
    has_shares,
    order_by_length,
    order_by_share,
)

MS_PER_SECOND = 1000.0
# Lifetime of a peer's entries, so that a silent peer at the head doesn't block the others.
PEER_ENTRY_TTL_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class _PeerQueue:
    prompts: tuple[QueuedPrompt, ...]
    expiry: float


def dispatch_order(prompts: Iterable[QueuedPrompt], now: float, engines: int) -> list[QueuedPrompt]:
    """Sort queued prompts into sending order, whatever their ranks and accounts."""
    return order_by_length(prompts, now, engines).all


class PrefillQueue:
    """The long prompts queued here and on peers."""

    def __init__(self) -> None:
        self._local_by_key: dict[int, QueuedPrompt] = {}
        self._peers: dict[str, _PeerQueue] = {}
        # Whether ranks and accounts count; set with the relay's policy.
        self.uses_shares = False
        # Called when a prompt was added, or those of a peer have changed.
        self.on_change: Callable[[], None] = lambda: None

    def add(self, prompt: QueuedPrompt) -> None:
        """Queue a prompt of this instance."""
        self._local_by_key[prompt.key] = prompt
        self.on_change()

    def remove(self, key: int) -> None:
        """Remove a prompt of this instance."""
        self._local_by_key.pop(key, None)

    def update_peer(
        self, instance: str, digests: Sequence[ShortQueuedPromptDigest], now: float, expiry: float
    ) -> None:
        """Replace the queued prompts of a peer."""
        prompts = tuple(
            QueuedPrompt(
                item.key,
                item.prefill_ms / MS_PER_SECOND,
                now + item.due_ms / MS_PER_SECOND,
                *(
                    (item.rank, item.account, item.is_kept)
                    if isinstance(item, QueuedPromptDigest)
                    else ()
                ),
            )
            for item in digests
        )
        known = self._peers.get(instance)
        old_keys = {item.key for item in known.prompts} if known is not None else set()
        if prompts:
            self._peers[instance] = _PeerQueue(prompts, min(expiry, now + PEER_ENTRY_TTL_SECONDS))
        else:
            self._peers.pop(instance, None)
        if old_keys != {item.key for item in prompts}:
            self.on_change()

    def digest(self, now: float) -> tuple[QueuedPromptDigest, ...]:
        """The local queue as sent to peers."""
        return tuple(_digest(prompt, now) for prompt in self._local_by_key.values())

    def queued(self, now: float) -> list[QueuedPrompt]:
        """All queued prompts, local and unexpired ones of peers."""
        entries = list(self._local_by_key.values())
        for peer in self._peers.values():
            if now < peer.expiry:
                entries += peer.prompts
        return entries

    def is_first(self, key: int, now: float, engines: int, share_engines: int = 0) -> bool:
        """Whether a prompt is at the head of the common queue.

        share_engines: those that serve the common queue; engines count if it is 0.
        """
        prompts = self.queued(now)
        # A prompt without an account is of an earlier release, which orders by length: with two
        # orders, each instance could wait for the other's prompt.
        agrees = all(item.account for item in prompts)
        if self.uses_shares and agrees and has_shares(prompts):
            order = order_by_share(prompts, now, share_engines or engines)
        else:
            order = order_by_length(prompts, now, engines)
        first = order.first
        return first is not None and first.key == key

    def forecast_order(
        self, now: float, share_engines: int, candidate: QueuedPrompt | None = None
    ) -> DispatchOrder:
        """The common order for forecasts; candidate: a prompt that isn't queued yet."""
        prompts = self.queued(now)
        if candidate is not None:
            prompts.append(candidate)
        return order_by_share(prompts, now, share_engines)


def _digest(prompt: QueuedPrompt, now: float) -> QueuedPromptDigest:
    prefill_ms = round(prompt.prefill_seconds * MS_PER_SECOND)
    due_ms = round((prompt.due_at - now) * MS_PER_SECOND)
    if not (prompt.rank or prompt.account or prompt.is_kept):
        # Without the trailing fields, which decode to the same values.
        return cast(QueuedPromptDigest, ShortQueuedPromptDigest(prompt.key, prefill_ms, due_ms))
    return QueuedPromptDigest(
        prompt.key, prefill_ms, due_ms, prompt.rank, prompt.account, prompt.is_kept
    )
