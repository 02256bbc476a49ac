"""Messages between an instance with a request for a contended upstream and the owner of its slots.

Times are in milliseconds.
"""

import enum

import msgspec

# First number of a message, see LIMITS_FORMAT.
SLOTS_FORMAT = 1005
# A message is an array, whose first byte is its length, of up to 15 fields; then comes the format.
FORMAT_BYTES = msgspec.msgpack.encode(SLOTS_FORMAT)
UNKNOWN_LOAD = -1


class SlotOutcomeCode(enum.IntEnum):
    """What an owner decided.

    NOT_OWNER: another instance is the owner, or this one has just started and knows no grants yet.
    """

    GRANTED = 0
    WAITING = 1
    REFUSED = 2
    NOT_OWNER = 3


class SlotAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a life for a slot; see SlotRequest. host: where the answer goes.

    running and waiting: the load that the upstream reported last, for a new owner. is_forced: the
    sender bypasses an instance, so that the receiver is to decide in its place.
    """

    host: str
    key: int
    life: int
    rank: int
    account: int
    cost: int
    max_wait: int
    is_return: bool
    is_last: bool
    running: int = UNKNOWN_LOAD
    waiting: int = UNKNOWN_LOAD
    is_forced: bool = False


class SlotAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The decision on an ask; see SlotDecision.

    share: of the slots that the account uses, in hundredths. slots and hold: the capacity, as a
    number of slots and the mean time for which one is occupied. is_contended: no slot is free.
    is_scarce: requests that no other owner would be asked for were refused lately. owner_host:
    where the owner is, if the sender is not.
    """

    key: int
    outcome: SlotOutcomeCode
    wait: int = 0
    retry_after: int = 0
    share: int = 0
    slots: int = 0
    hold: int = 0
    is_contended: bool = False
    is_scarce: bool = False
    owner_host: str = ""


class SlotEnd(msgspec.Struct, frozen=True, array_like=True):
    """Ends a grant or withdraws an ask; key 0: only reports a load.

    running and waiting: the load that the answer of the upstream reported.
    """

    key: int
    life: int
    running: int = UNKNOWN_LOAD
    waiting: int = UNKNOWN_LOAD


class SlotMessage(msgspec.Struct, frozen=True, array_like=True):
    """Holds one of the three messages."""

    format: int
    ask: SlotAsk | None = None
    answer: SlotAnswer | None = None
    end: SlotEnd | None = None


_DECODER = msgspec.msgpack.Decoder(SlotMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_slots(message: SlotMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_slots(data: bytes) -> SlotMessage | None:
    """Decode a message about slots; None for any other datagram."""
    if data[1 : 1 + len(FORMAT_BYTES)] != FORMAT_BYTES:
        return None
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
