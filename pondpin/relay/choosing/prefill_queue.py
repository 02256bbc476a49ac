"""The order in which long prompts that wait for engines are sent, common to all instances.

Engines read the newest part first, so two long prompts on the same engines delay each other. A long
prompt therefore waits at its instance until its engines have read what they hold. Each instance
tells its peers which prompts wait, and sends its own only when it is first in the common order.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

MILLISECONDS = 1000.0
# What a prompt costs its engines beside reading: a pass that is under way, the first token.
TURN_SECONDS = 0.08
# A peer that is first and does not send within this time does not hold up the others.
PEER_ENTRY_TTL_SECONDS = 0.6


class QueuedPromptDigest(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that waits at its sender; reading is in ms, due in ms from now.

    key is a random number. See WaitingPrompt.
    """

    key: int
    prefill_ms: int
    due_ms: int


@dataclass(frozen=True, slots=True)
class QueuedPrompt:
    """A long prompt that waits for its turn.

    reading: seconds of one engine; due: when its first event is due, by this process's clock.
    """

    key: int
    prefill_seconds: float
    due_at: float


@dataclass(frozen=True, slots=True)
class _PeerWaiting:
    prompts: tuple[QueuedPrompt, ...]
    until: float


def dispatch_order(waiting: Iterable[QueuedPrompt], now: float, engines: int) -> list[QueuedPrompt]:
    """Those that wait in the order in which they are sent, taking all engines as one machine.

    By due time; when not all can be in time the longest gives way, which keeps the number that
    is late least (Moore and Hodgson). Those come last, the shortest first.
    """
    chosen: list[QueuedPrompt] = []
    late: list[QueuedPrompt] = []
    end = now
    for prompt in sorted(waiting, key=lambda item: (item.due_at, item.key)):
        chosen.append(prompt)
        end += _turn(prompt, engines)
        if end > prompt.due_at:
            longest = max(chosen, key=lambda item: (item.prefill_seconds, item.key))
            chosen.remove(longest)
            late.append(longest)
            end -= _turn(longest, engines)
    return chosen + sorted(late, key=lambda item: (item.prefill_seconds, item.key))


def _turn(prompt: QueuedPrompt, engines: int) -> float:
    """Seconds that a prompt takes when all engines read it."""
    return prompt.prefill_seconds / max(1, engines) + TURN_SECONDS


class PrefillQueue:
    """The long prompts that wait here and at peers."""

    def __init__(self) -> None:
        self.own_by_key: dict[int, QueuedPrompt] = {}
        self._peers: dict[str, _PeerWaiting] = {}

    def add(self, prompt: QueuedPrompt) -> None:
        """A prompt begins to wait here."""
        self.own_by_key[prompt.key] = prompt

    def remove(self, key: int) -> None:
        """A prompt of this instance waits no more."""
        self.own_by_key.pop(key, None)

    def update_peer(
        self, instance: str, waiting: Sequence[QueuedPromptDigest], now: float, until: float
    ) -> None:
        """Take a peer's word on what waits there; it counts until until."""
        prompts = tuple(
            QueuedPrompt(item.key, item.prefill_ms / MILLISECONDS, now + item.due_ms / MILLISECONDS)
            for item in waiting
        )
        if prompts:
            self._peers[instance] = _PeerWaiting(prompts, min(until, now + PEER_ENTRY_TTL_SECONDS))
        else:
            self._peers.pop(instance, None)

    def digest(self, now: float) -> tuple[QueuedPromptDigest, ...]:
        """What waits here, for peers."""
        return tuple(
            QueuedPromptDigest(
                prompt.key,
                round(prompt.prefill_seconds * MILLISECONDS),
                round((prompt.due_at - now) * MILLISECONDS),
            )
            for prompt in self.own_by_key.values()
        )

    def queued(self, now: float) -> list[QueuedPrompt]:
        """All that wait, here and at peers that were heard lately."""
        found = list(self.own_by_key.values())
        for peer in self._peers.values():
            if now < peer.until:
                found += peer.prompts
        return found

    def is_first(self, key: int, now: float, engines: int) -> bool:
        """Whether it is the turn of a prompt that waits here."""
        order = dispatch_order(self.queued(now), now, engines)
        return bool(order) and order[0].key == key
