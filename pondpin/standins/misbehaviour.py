"""What only stand-ins do to a connection: bytes outside any answer, closes and resets."""

import asyncio

from pondpin.http_reply import Reply

ABORT_SECONDS = 0.05

# %b stands for the attempt id.
NAMED_LINES = b"X-Attempt-Id: %b\r\nX-Instance-Signature: spoiled.%b\r\n"
BODY = b"Content-Length: 7\r\n\r\nspoiled"
MALFORMED_RESPONSES = (
    b"\x00\x01 no answer\r\n\r\n" * 3,
    b"HTTP/1.1 000 Zero\r\n" + NAMED_LINES + BODY,
    b"HTTP/1.1 200 OK\r\n" + NAMED_LINES + b"X-\x01: 1\r\n" + BODY,
    b"HTTP/1.1 200 OK\r\n" + NAMED_LINES + b" X-Odd: 1\r\n" + BODY,
    b"HTTP/1.1 200 OK\n" + NAMED_LINES + BODY,
    b"HTTP/1.1 200 OK\r\n" + NAMED_LINES + b"Transfer-Encoding: chunked\r\n"
    b"Content-Length: 7\r\n\r\n7\r\nspoiled\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + NAMED_LINES + b"Transfer-Encoding: chunked\r\n\r\n"
    b"7\r\nspoiled\r\n0\r\nno field\r\n\r\n",
)


def write_raw(reply: Reply, data: bytes) -> None:
    """Write bytes outside any answer."""
    if reply.channel is not None:
        reply.channel.write(data)


def close_raw(reply: Reply) -> None:
    """Close the connection after what was written."""
    reply.is_closed = True
    if reply.channel is not None:
        reply.channel.loseConnection()


def abort_after_write(reply: Reply) -> None:
    """Reset the connection once what was written could leave."""
    asyncio.get_running_loop().call_later(ABORT_SECONDS, reply.abort)


def write_malformed(reply: Reply, attempt: str, number: int) -> None:
    """Send a response that doesn't match the grammar of HTTP; its form follows from a number."""
    response = MALFORMED_RESPONSES[number % len(MALFORMED_RESPONSES)]
    named = attempt.encode()
    write_raw(reply, response % (named, named) if b"%b" in response else response)
