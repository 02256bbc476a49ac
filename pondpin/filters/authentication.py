"""Finds the client account by the API key of a call."""

import hashlib
import hmac
from dataclasses import replace

from pondpin.calls import Call, Outcome, Proceed, Snapshot
from pondpin.codes import Code
from pondpin.errors import PondpinError

SCHEME = "bearer"


class AuthenticationFilter:
    """Refuses calls whose key belongs to no account."""

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
        """The account of an Authorization header, or None."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != SCHEME or not key:
            return None
        self._follow(snapshot)
        digest = hashlib.sha256(key.strip().encode("utf-8", "replace")).hexdigest()
        name = self._account_by_hash.get(digest)
        if name is None:
            return None
        kept = snapshot.configuration.accounts[name].keys_sha256
        # The lookup is by hash, so its time tells nothing of the key; compare in constant time.
        same = [hmac.compare_digest(digest, item) for item in kept]
        return name if any(same) else None

    def _follow(self, snapshot: Snapshot) -> None:
        if snapshot.revision == self._revision:
            return
        self._account_by_hash = {
            digest: name
            for name, account in snapshot.configuration.accounts.items()
            for digest in account.keys_sha256
        }
        self._revision = snapshot.revision
