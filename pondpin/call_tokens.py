"""Call tokens: only the incarnation that issued a token may run the call that carries it."""

from dataclasses import dataclass

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.signing import Signer

PARTS = 7
KIND = "t1"


@dataclass(frozen=True, slots=True)
class CallToken:
    """Who issued it, its number there, for which account, when, and under which revision.

    issued_at is in whole seconds since the epoch.
    """

    instance: str
    incarnation: int
    sequence: int
    account: str
    issued_at: int
    revision: int


def sign_token(signer: Signer, token: CallToken) -> str:
    """The token as a caller carries it."""
    parts = (
        KIND,
        token.instance,
        f"{token.incarnation:x}",
        f"{token.sequence:x}",
        token.account,
        str(token.issued_at),
        str(token.revision),
    )
    return signer.sign("/".join(parts))


def read_token(signer: Signer, text: str) -> CallToken:
    """Check and read a token; raises PondpinError with TOKEN_INVALID."""
    plain = signer.verify(text)
    parts = plain.split("/") if plain else []
    if len(parts) != PARTS or parts[0] != KIND:
        raise PondpinError(Code.TOKEN_INVALID)
    try:
        return CallToken(
            instance=parts[1],
            incarnation=int(parts[2], 16),
            sequence=int(parts[3], 16),
            account=parts[4],
            issued_at=int(parts[5]),
            revision=int(parts[6]),
        )
    except ValueError:
        raise PondpinError(Code.TOKEN_INVALID) from None
