"""Signing of short texts with the deployment's shared key; previous keys still verify."""

import base64
import hashlib
import hmac
from dataclasses import dataclass

MAC_BYTES = 12


@dataclass(frozen=True, slots=True)
class Signer:
    """Signs with the first key and verifies with any; rotation adds a new first key."""

    keys: tuple[bytes, ...]

    def sign(self, text: str) -> str:
        """The text, a full stop and its MAC."""
        return f"{text}.{_mac(self.keys[0], text)}"

    def verify(self, signed: str) -> str | None:
        """The text if its MAC is valid under any key, else None."""
        text, separator, mac = signed.rpartition(".")
        if not separator:
            return None
        matches = [
            hmac.compare_digest(_mac(key, text).encode(), mac.encode("utf-8", "replace"))
            for key in self.keys
        ]
        return text if any(matches) else None


def _mac(key: bytes, text: str) -> str:
    digest = hmac.new(key, text.encode("utf-8", "replace"), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def make_signer(shared_key: str, previous: tuple[str, ...]) -> Signer:
    """Create the signer from an instance's settings."""
    return Signer(tuple(key.encode() for key in (shared_key, *previous)))
