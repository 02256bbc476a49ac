"""What stays the same when a caller sends a request again: account, host and path, and body.

The identity is a keyed digest: tables, messages and logs hold it in place of the request. The key
is a setting that all instances share. An API key would not do: an account's keys are replaced, and
the request is the same.
"""

import hashlib

# Two requests of a fleet that remembers 1,000 of them are mixed up with odds of 1,000 / 2**64.
DIGEST_BYTES = 8


def derive_key(secret: str) -> bytes:
    """The key of identities from a text of any length."""
    return hashlib.sha256(secret.encode()).digest()


def identify(key: bytes, account: str, host: str, target: bytes, body: bytes) -> int:
    """The identity of a request; account is empty on a public route.

    Takes 5 us for a body of 256 bytes, 64 us for one of 64 KiB, nearly all of it SHA-256 over the
    body (`python -m pondpin.tools.measure_identity`).
    """
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (account.encode(), host.encode(), target, hashlib.sha256(body).digest()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def format_identity(identity: int) -> str:
    """An identity as 16 hexadecimal digits, as logs show it and commands take it."""
    return f"{identity:016x}"
