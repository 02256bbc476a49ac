"""Messages between the owners of permits and the instances that ask for them."""

import msgspec

# First number of a message, see LIMITS_FORMAT.
PERMITS_FORMAT = 1004


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for a permit of any limited upstream of a service that the receiver owns.

    tried: excluded lives; max_wait_ms: how long the request can wait. life: the only one wanted,
    which may be cold; 0 for any.
    """

    host: str
    request_id: int
    service: str
    tried: tuple[int, ...]
    max_wait_ms: int
    life: int = 0


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """A permit of a life that is valid after wait_ms.

    life 0: no permit in time, the next one comes after wait_ms. With wait_ms 0 too, the sender owns
    none of the upstreams; the instance at host may.
    """

    request_id: int
    life: int
    wait_ms: int
    host: str = ""


class PermitUse(msgspec.Struct, frozen=True, array_like=True):
    """spent: a request without a permit was sent to life; else a permit of it was not used."""

    life: int
    spent: bool


class PermitClaim(msgspec.Struct, frozen=True, array_like=True):
    """The sender issues permits of a cold life, to those that would follow it as owners.

    In a large fleet a digest may take seconds to each of them, for instance when an owner was
    suspended or has just started, and two owners together would exceed the rate.
    """

    host: str
    instance: str
    data_center: str
    life: int


class PermitMessage(msgspec.Struct, frozen=True, array_like=True):
    """Holds one of the four messages."""

    format: int
    request: PermitRequest | None = None
    reply: PermitReply | None = None
    use: PermitUse | None = None
    claim: PermitClaim | None = None


_DECODER = msgspec.msgpack.Decoder(PermitMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_permits(message: PermitMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_permits(data: bytes) -> PermitMessage | None:
    """Decode a permit message; None for any other datagram."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.format == PERMITS_FORMAT else None
