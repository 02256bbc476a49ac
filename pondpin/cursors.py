"""Signed cursors: any instance can resume a stream after the death of the one that began it."""

from dataclasses import dataclass

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.signing import Signer

PARTS = 7
KIND = "c1"


@dataclass(frozen=True, slots=True)
class Cursor:
    """Where a stream is: its request, attempt, upstream, account, kind of call and deadline.

    deadline is in whole seconds since the epoch;
    offset is the number of tokens that the caller has; it is outside of the MAC, since a
    caller may ask for any part of its own answer.
    """

    request: str
    attempt: int
    upstream: str
    account: str
    shape: str
    deadline: int = 0
    offset: int = 0


def sign_cursor(signer: Signer, cursor: Cursor) -> str:
    """The signed part of a cursor; append ':' and the offset of each event."""
    parts = (
        KIND,
        cursor.request,
        str(cursor.attempt),
        cursor.upstream,
        cursor.account,
        cursor.shape,
        str(cursor.deadline),
    )
    return signer.sign("/".join(parts))


def read_cursor(signer: Signer, text: str) -> Cursor:
    """Check and read a cursor; raises PondpinError with CURSOR_INVALID."""
    signed, separator, offset = text.rpartition(":")
    plain = signer.verify(signed) if separator else None
    parts = plain.split("/") if plain else []
    if len(parts) != PARTS or parts[0] != KIND or not offset.isdecimal():
        raise PondpinError(Code.CURSOR_INVALID)
    return Cursor(
        request=parts[1],
        attempt=int(parts[2]),
        upstream=parts[3],
        account=parts[4],
        shape=parts[5],
        deadline=int(parts[6]),
        offset=int(offset),
    )
