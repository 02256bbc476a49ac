"""The head of a tunnel request (HTTP CONNECT, RFC 9110 9.3.6) and of its answer.

A request names its sender by instance and boot and has a number that rises within a boot. Its
proof is a keyed digest of these, the receiver's boot and the target, so that it is of use only
once, at one process, for one upstream.
"""

import hashlib
import hmac
from dataclasses import dataclass

from pondpin.codes import INFO_BY_CODE, Code
from pondpin.network import Endpoint, parse_endpoint

MAX_HEAD_BYTES = 1024
HEAD_END = b"\r\n\r\n"
INSTANCE_HEADER = "pondpin-instance"
BOOT_HEADER = "pondpin-boot"
NUMBER_HEADER = "pondpin-number"
PROOF_HEADER = "pondpin-proof"
CODE_HEADER = "pondpin-code"
# Not transfer-encoding, which an answer to CONNECT must not have.
FRAMING_HEADER = "pondpin-framing"
CHUNKED = "chunked"
PROOF_BYTES = 32
OK_STATUS = 200


@dataclass(frozen=True, slots=True)
class TunnelRequest:
    """A request for a tunnel to an upstream; is_framed: whether the sender reads the framing."""

    target: Endpoint
    instance: str
    boot: int
    number: int
    proof: str
    is_framed: bool = False


def make_proof(key: bytes, request: TunnelRequest, receiver_boot: int) -> str:
    """The proof of a request for the process that has a boot."""
    digest = hashlib.blake2b(key=key, digest_size=PROOF_BYTES, person=b"pondpin tunnel")
    parts = (
        str(request.target),
        request.instance,
        str(request.boot),
        str(request.number),
        str(receiver_boot),
    )
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part.encode())
    return digest.hexdigest()


def has_proof(key: bytes, request: TunnelRequest, receiver_boot: int) -> bool:
    """Whether a request's proof is valid."""
    expected = make_proof(key, request, receiver_boot)
    return hmac.compare_digest(expected.encode(), request.proof.encode())


def encode_request(request: TunnelRequest) -> bytes:
    """The head of a request."""
    lines = [
        f"CONNECT {request.target} HTTP/1.1",
        f"host: {request.target}",
        f"{INSTANCE_HEADER}: {request.instance}",
        f"{BOOT_HEADER}: {request.boot}",
        f"{NUMBER_HEADER}: {request.number}",
        f"{PROOF_HEADER}: {request.proof}",
    ]
    if request.is_framed:
        lines.append(f"{FRAMING_HEADER}: {CHUNKED}")
    return "\r\n".join(lines).encode() + HEAD_END


def decode_request(head: bytes) -> TunnelRequest:
    """Decode a head without its end; raises ValueError for an invalid one."""
    first, headers = _split(head)
    method, target, version = first.split(" ")
    if method != "CONNECT" or not version.startswith("HTTP/1."):
        raise ValueError(f"not a tunnel request: {first[:40]!r}")
    try:
        return TunnelRequest(
            target=parse_endpoint(target),
            instance=headers[INSTANCE_HEADER],
            boot=int(headers[BOOT_HEADER]),
            number=int(headers[NUMBER_HEADER]),
            proof=headers[PROOF_HEADER],
            is_framed=headers.get(FRAMING_HEADER) == CHUNKED,
        )
    except KeyError as error:
        raise ValueError(f"no header {error}") from None


def encode_answer(code: Code, is_framed: bool = False) -> bytes:
    """The head of an answer; Code.OK opens the tunnel."""
    status = INFO_BY_CODE[code].status
    lines = [f"HTTP/1.1 {status} {code.name}", f"{CODE_HEADER}: {int(code)}"]
    if is_framed:
        lines.append(f"{FRAMING_HEADER}: {CHUNKED}")
    return "\r\n".join(lines).encode() + HEAD_END


def decode_answer(head: bytes) -> Code:
    """Decode the head of an answer; raises ValueError for an invalid one."""
    first, headers = _split(head)
    code = Code(int(headers.get(CODE_HEADER, "-1")))
    status = int(first.partition(" ")[2].partition(" ")[0])
    if (code is Code.OK) != (status == OK_STATUS):
        raise ValueError(f"status {status} with code {int(code)}")
    return code


def has_framing(head: bytes) -> bool:
    """Whether the bytes after an answer are framed, see `tunnel_framing`."""
    return _split(head)[1].get(FRAMING_HEADER) == CHUNKED


def _split(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("ascii").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if not separator:
            raise ValueError(f"not a header: {line[:40]!r}")
        headers[name.strip().lower()] = value.strip()
    return first, headers
