"""Counts the tokens of a prompt and names its prefixes by chained hashes."""

import math
from collections.abc import Sequence

import xxhash

BLOCK_TOKENS = 512
HASH_BYTES = 8


def count_tokens(characters: int, chars_per_token: float) -> int:
    """Estimate the tokens of a prompt of a number of characters."""
    return max(1, math.ceil(characters / chars_per_token))


def blocks_of(tokens: int, block_tokens: int) -> int:
    """Blocks that hold a number of tokens."""
    return -(-tokens // block_tokens)


def hash_prefixes(prompt: bytes, block_bytes: int) -> tuple[int, ...]:
    """One 64-bit hash for each whole block, each covering all text up to its end."""
    hashes: list[int] = []
    previous = b"\0" * HASH_BYTES
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        digest = xxhash.xxh3_64(previous)
        digest.update(prompt[start : start + block_bytes])
        previous = digest.digest()
        hashes.append(digest.intdigest())
    return tuple(hashes)


def common_blocks(hashes: Sequence[int], known: set[int] | dict[int, float]) -> int:
    """How many leading blocks are known."""
    count = 0
    for value in hashes:
        if value not in known:
            break
        count += 1
    return count
