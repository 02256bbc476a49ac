"""Identity of a request that its retries by the caller share: of account, host, path and body.

It is a keyed digest that stands for the request in tables, messages and logs. The key is a setting
that all instances share. The account is used rather than the API key, since keys are rotated.
Segments of prompts have digests of the same kind, whatever account sends them.
"""

import hashlib

# Probability that a request collides with one of 1,000 that a fleet tracks: 1,000 / 2**64.
DIGEST_BYTES = 8


def derive_key(secret: str) -> bytes:
    """The digest key, from a secret of any length."""
    return hashlib.sha256(secret.encode()).digest()


def identify(key: bytes, account: str, host: str, target: bytes, body: bytes) -> int:
    """The identity of a request; account is empty on a public route.

    Takes 5 us for a body of 256 bytes, 64 us for 64 KiB, mostly SHA-256 over the body
    (`python -m pondpin.tools.measure_identity`).
    """
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (account.encode(), host.encode(), target, hashlib.sha256(body).digest()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def identify_segment(key: bytes, segment: bytes) -> int:
    """The identity of a segment of prompts."""
    digest = hashlib.blake2b(segment, key=key, digest_size=DIGEST_BYTES, person=b"segment")
    return int.from_bytes(digest.digest(), "big")


def format_identity(identity: int) -> str:
    """An identity as 16 hexadecimal digits, the form in logs and commands."""
    return f"{identity:016x}"
