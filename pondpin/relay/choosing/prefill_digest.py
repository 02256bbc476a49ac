"""Digest of queued long prompts, apart from the queue, which few instances load."""

import msgspec


class ShortQueuedPromptDigest(msgspec.Struct, frozen=True, array_like=True):
    """A queued long prompt of the sender; due_ms counts from the time of sending.

    Sent where a service has one account, and by earlier releases.
    """

    key: int
    prefill_ms: int
    due_ms: int


class QueuedPromptDigest(ShortQueuedPromptDigest, frozen=True, array_like=True):
    """As above with the rank (0 is the most urgent) and the 32-bit hash of the account.

    is_kept: for the floor of its rank.
    """

    rank: int = 0
    account: int = 0
    is_kept: bool = False
