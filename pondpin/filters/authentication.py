"""Authenticates calls: finds the client account of their API key."""

import hashlib
import hmac
from dataclasses import replace

from pondpin.calls import Call, Outcome, Proceed, Snapshot
from pondpin.codes import Code
from pondpin.errors import PondpinError

BEARER_SCHEME = "bearer"


class AuthenticationFilter:
    """Rejects calls whose API key belongs to no account."""

    def __init__(self) -> None:
        self._revision = -1
        self._account_by_hash: dict[str, str] = {}

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        name = self.find_account(call.snapshot, call.incoming.headers.get("authorization", ""))
        if name is None:
            raise PondpinError(Code.UNKNOWN_KEY)
        account = call.snapshot.configuration.accounts[name]
        call.decision.account = name
        return await proceed(replace(call, account_name=name, account=account))

    def find_account(self, snapshot: Snapshot, header: str) -> str | None:
        """The account of an Authorization header; None if the key is unknown."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != BEARER_SCHEME or not key:
            return None
        self._index_keys(snapshot)
        digest = hashlib.sha256(key.strip().encode("utf-8", "replace")).hexdigest()
        name = self._account_by_hash.get(digest)
        if name is None:
            return None
        account_digests = snapshot.configuration.accounts[name].keys_sha256
        # A lookup by hash leaks nothing about the key by its timing; compare in constant time.
        matches = [hmac.compare_digest(digest, item) for item in account_digests]
        return name if any(matches) else None

    def _index_keys(self, snapshot: Snapshot) -> None:
        if snapshot.revision == self._revision:
            return
        self._account_by_hash = {
            digest: name
            for name, account in snapshot.configuration.accounts.items()
            for digest in account.keys_sha256
        }
        self._revision = snapshot.revision
