"""What stays the same when a caller sends a request again: host and path, account and body.

The identity is a keyed digest: tables, messages and logs hold it in place of the request. Only who
has one of the account's keys can tell from it whether a body was sent.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

# Two requests of a fleet that remembers 400 of them are mixed up with odds of 400 / 2**64.
DIGEST_BYTES = 8
# The longest key that BLAKE2b takes; a longer one is digested first.
LONGEST_KEY = 64


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """The identity by the key that the request brought, and by each key of its account.

    Callers of one account may use different keys, so what is known under any of these counts.
    """

    own: int = 0
    aliases: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        """Every number under which the request may be known."""
        return self.aliases or (self.own,)

    def __str__(self) -> str:
        """The form that logs show and commands take."""
        return show(self.own)


NO_IDENTITY = RequestIdentity()


def show(identity: int) -> str:
    """An identity as 16 hexadecimal digits."""
    return f"{identity:016x}"


def identify(
    host: str, target: bytes, body: bytes, key: str, keys: Iterable[str]
) -> RequestIdentity:
    """The identity of a request; keys are those of its account, none on a public route.

    Takes 9 us for a body of 256 bytes and two keys, 75 us for one of 64 KiB, nearly all of it
    SHA-256 over the body (`python -m pondpin.tools.measure_identity`).
    """
    same = hashlib.sha256(body).digest() + host.encode("latin-1", "replace") + b"\0" + target
    own = _keyed(same, key)
    return RequestIdentity(own, tuple(own if item == key else _keyed(same, item) for item in keys))


def _keyed(same: bytes, key: str) -> int:
    secret = key.encode("latin-1", "replace")
    if len(secret) > LONGEST_KEY:
        secret = hashlib.sha256(secret).digest()
    digest = hashlib.blake2b(same, key=secret, digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")
