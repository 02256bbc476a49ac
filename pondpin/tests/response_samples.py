"""Sound and malformed responses to a request, with its attempt id in the place of {attempt}."""

NAMED = b"X-Attempt-Id: {attempt}\r\nX-Instance-Signature: s.{attempt}\r\n"
SOUND = b"HTTP/1.1 200 OK\r\n" + NAMED + b"Content-Length: 2\r\n\r\nok"


def with_status_line(line: bytes) -> bytes:
    """A response that is sound but for its status-line."""
    return line + SOUND.removeprefix(b"HTTP/1.1 200 OK")


MALFORMED_STATUS_LINES = {
    repr(line): with_status_line(line)
    for line in (
        b"HTTP/1.1 000 Zero",
        b"HTTP/1.1 000",
        b"HTTP/1.1 099 Low",
        b"HTTP/1.1 99 Short",
        b"HTTP/1.1 600 High",
        b"HTTP/1.1 999 High",
        b"HTTP/1.1 1000 Long",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1 2_0 OK",
        b"HTTP/1.1 2xx OK",
        b"HTTP/1.1 \xb2\xb0\xb0 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200\tOK",
        b"HTTP/1.1 200\tOK",
        b" HTTP/1.1 200 OK",
        b"HTTP/1.1 200 O\x00K",
        b"HTTP/1.1 200 O\x0bK",
        b"HTTP/1.1 200 O\x7fK",
        b"HTTP/1.1 200 O\rK",
        b"HTTP/2.0 200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/1 200 OK",
        b"HTTP/1.10 200 OK",
        b"HTTP/+1.1 200 OK",
        b"http/1.1 200 OK",
        b"HTTP 200 OK",
        b"ICY 200 OK",
        b"HTTP/1.1",
        b"200 OK",
        b"",
        b"\r\nHTTP/1.1 200 OK",
    )
}
MALFORMED_STATUS_LINES["an invalid interim response"] = b"HTTP/1.1 1xx Early\r\n\r\n" + SOUND
MALFORMED_STATUS_LINES["an invalid status after an interim response"] = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + with_status_line(b"HTTP/1.1 000 Zero")
)
SOUND_STATUS_LINES = {
    line: with_status_line(line)
    for line in (
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200  two spaces",
        b"HTTP/1.1 200 tab\there \xe9\xff",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.2 200 OK",
        b"HTTP/1.1 299 Custom",
        b"HTTP/1.1 418 I'm a teapot",
        b"HTTP/1.1 599 Last",
    )
}


def with_field(line: bytes) -> bytes:
    """A response that is sound but for a line of its head, the last."""
    return SOUND.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n", 1)


CONTROL_BYTES = b"".join(bytes((code,)) for code in (*range(9), *range(11, 32), 127))
# Visible characters that no token has, and bytes over 127.
NO_TOKEN_BYTES = b'"(),/:;<=>?@[\\]{}' + bytes((0x80, 0xA0, 0xFF))
MALFORMED_FIELD_LINES = {
    f"{byte!r} in a name": with_field(b"X-%c-Odd: 1" % byte)
    for byte in CONTROL_BYTES + b" \t" + NO_TOKEN_BYTES.replace(b":", b"")
} | {f"{byte!r} in a value": with_field(b"X-Odd: a%cb" % byte) for byte in CONTROL_BYTES}
MALFORMED_FIELD_LINES |= {
    repr(line): with_field(line)
    for line in (
        b"X-Odd : 1",
        b"X-Odd\t: 1",
        b": no name",
        b"no colon",
        b"X-Odd: at the end\x00",
        b"X-Odd:\x0b",
        b"Transfer-Encoding:\x0bchunked",
        b"HTTP/1.1 200 OK",
    )
}
MALFORMED_FIELD_LINES["whitespace after the status-line"] = SOUND.replace(
    b"\r\n", b"\r\n X-Odd: 1\r\n", 1
)
MALFORMED_FIELD_LINES["in an interim response"] = (
    b"HTTP/1.1 103 Early Hints\r\nX-\x01: 1\r\n\r\n" + SOUND
)
MALFORMED_FIELD_LINES["whitespace after the status-line of the second head"] = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n X-Odd: 1\r\n"
    + SOUND.partition(b"\r\n")[2]
)
BARE_LINE_FEEDS = {
    "after the status-line": SOUND.replace(b"\r\n", b"\n", 1),
    "after a field": with_field(b"X-Odd: 1\nX-More: 2"),
    "before the end of the head": SOUND.replace(b"\r\n\r\n", b"\r\n\n", 1),
    "instead of the end of the head": SOUND.replace(b"\r\n\r\n", b"\n\n", 1),
    "everywhere": SOUND.replace(b"\r\n", b"\n"),
    "a second response in a value": with_field(
        b"X-Odd: 1\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nno"
    ),
}
FOLDED_LINES = {
    "a field that looks folded": with_field(b"X-Odd: 1\r\n X-More: 2"),
    "a fold with a tab": with_field(b"X-Odd: 1\r\n\t2"),
    "an empty fold": with_field(b"X-Odd: 1\r\n "),
    "a folded signature": SOUND.replace(b"s.{attempt}", b"s.{attempt}\r\n X-Odd: 1", 1),
    "a folded coding": SOUND.replace(b"Content-Length: 2", b"Transfer-Encoding:\r\n chunked", 1),
}


def with_framing(*lines: bytes, body: bytes = b"", status: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """A response with the given fields about its body."""
    fields = b"".join(line + b"\r\n" for line in lines)
    return status + b"\r\n" + NAMED + fields + b"\r\n" + body


CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
CONTRADICTORY_FRAMINGS = {
    f"{fields!r}": with_framing(*fields, body=CHUNKS)
    for fields in (
        (b"Content-Length: 2", CHUNKED),
        (CHUNKED, b"Content-Length: 2"),
        (CHUNKED, b"Content-Length: 12"),
        (CHUNKED, CHUNKED),
        (CHUNKED, b"Transfer-Encoding: gzip"),
        (b"Transfer-Encoding: gzip", CHUNKED),
        (b"Transfer-Encoding: gzip, chunked",),
        (b"Transfer-Encoding: chunked, chunked",),
        (b"Transfer-Encoding: chunked;q=1",),
        (b"Transfer-Encoding: identity",),
        (b"Transfer-Encoding:",),
        (b'Transfer-Encoding: "chunked"',),
    )
} | {
    f"{fields!r}": with_framing(*fields, body=b"ok")
    for fields in (
        (b"Content-Length: 2", b"Content-Length: 3"),
        (b"Content-Length: 2, 3",),
        (b"Content-Length: 2,",),
        (b"Content-Length: 2;",),
        (b"Content-Length: +2",),
        (b"Content-Length: -2",),
        (b"Content-Length: 0x2",),
        (b"Content-Length: 0_2",),
        (b"Content-Length: 2 2",),
        (b"Content-Length: 2.0",),
        (b"Content-Length: \xb2",),
        (b"Content-Length:",),
        (b"Content-Length: " + b"9" * 5000,),
    )
}
CONTRADICTORY_FRAMINGS |= {
    "chunked in HTTP/1.0": with_framing(CHUNKED, body=CHUNKS, status=b"HTTP/1.0 200 OK"),
    "chunked 204": with_framing(CHUNKED, body=CHUNKS, status=b"HTTP/1.1 204 None"),
    "204 with a length": with_framing(
        b"Content-Length: 2", body=b"ok", status=b"HTTP/1.1 204 None"
    ),
    "interim response with a length": with_framing(
        b"Content-Length: 4", status=b"HTTP/1.1 103 Early Hints", body=b"four" + SOUND
    ),
    "chunked interim response": with_framing(
        CHUNKED, status=b"HTTP/1.1 103 Early Hints", body=SOUND
    ),
    "another protocol": with_framing(
        b"Upgrade: other", status=b"HTTP/1.1 101 Switching Protocols", body=SOUND
    ),
    "contradiction after an interim response": b"HTTP/1.1 100 Continue\r\n\r\n"
    + with_framing(b"Content-Length: 2", CHUNKED, body=CHUNKS),
}
SOUND_FRAMINGS = {
    b"one length": with_framing(b"Content-Length: 2", body=b"ok"),
    b"the same length twice": with_framing(*(b"Content-Length: 2",) * 2, body=b"ok"),
    b"a list of the same length": with_framing(b"Content-Length: 2, 2", body=b"ok"),
    b"a length with zeros": with_framing(b"Content-Length: 0002", body=b"ok"),
    b"chunks": with_framing(CHUNKED, body=CHUNKS),
    b"chunks in capitals": with_framing(b"transfer-encoding: CHUNKED", body=CHUNKS),
    b"interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>"
    + b"\r\nContent-Length: 0\r\n\r\n" + SOUND,
}  # fmt: skip
MALFORMED_CHUNKS = {
    f"{body!r}": with_framing(CHUNKED, body=body)
    for body in (
        b"2;\r\nok\r\n0\r\n\r\n",
        b"2;=1\r\nok\r\n0\r\n\r\n",
        b"2;a b\r\nok\r\n0\r\n\r\n",
        b"2;a=\r\nok\r\n0\r\n\r\n",
        b'2;a="b\r\nok\r\n0\r\n\r\n',
        b"2;a=\xff\r\nok\r\n0\r\n\r\n",
        b"2;a=b\nc\r\nok\r\n0\r\n\r\n",
        b"2;a\x00\r\nok\r\n0\r\n\r\n",
        b"2\r\nok\r\n0;a b\r\n\r\n",
        b"+2\r\nok\r\n0\r\n\r\n",
        b"-2\r\nok\r\n0\r\n\r\n",
        b" 2\r\nok\r\n0\r\n\r\n",
        b"2 \r\nok\r\n0\r\n\r\n",
        b"0x2\r\nok\r\n0\r\n\r\n",
        b"0_2\r\nok\r\n0\r\n\r\n",
        b"\r\nok\r\n0\r\n\r\n",
        b"2\nok\r\n0\r\n\r\n",
        b"2\r\nok0\r\n\r\n",
        b"2\r\nok\n0\r\n\r\n",
        b"2\r\noker\r\n0\r\n\r\n",
        b"2" * 2000 + b"\r\n",
    )
}
MALFORMED_TRAILERS = {
    f"{trailers!r}": with_framing(CHUNKED, body=b"2\r\nok\r\n0\r\n" + trailers + b"\r\n\r\n")
    for trailers in (
        b"no colon",
        b"X-Odd : 1",
        b" X-Odd: 1",
        b"X-Odd: 1\r\n folded",
        b"X-\x01: 1",
        b"X-Odd: a\x00b",
        b"X-Odd: a\nX-More: b",
        # The next response, behind a body without its last line.
        SOUND.partition(b"\r\n\r\n")[0],
    )
}
SOUND_CHUNKS = {
    body: with_framing(CHUNKED, body=body)
    for body in (
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"0002\r\nok\r\n000\r\n\r\n",
        b'2;a;b=c;d="e f";g = h\r\nok\r\n0;last\r\n\r\n',
        b"2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\nX-Text: caf\xe9\r\n\r\n",
    )
}
# All characters of a token but those that Twisted changes: upper case, and the first of a word.
TOKEN = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
SOUND_FIELD_LINES = {
    line: with_field(line)
    for line in (
        b"X-Empty:",
        b"X-Empty: \t ",
        b"X-No-Space:value",
        b"X-Text: caf\xe9 \x80\xff",
        b"X-Tab: a\tb",
        b'X-Quoted: "a\\"b"; c=[1:2]',
        TOKEN + b": 1",
    )
}
THROUGH_PEER = {
    "status 000": with_status_line(b"HTTP/1.1 000 Zero"),
    "a control byte in a name": with_field(b"X-\x01: 1"),
    "two framings": with_framing(b"Content-Length: 2", CHUNKED, body=CHUNKS),
    "a malformed trailer": with_framing(CHUNKED, body=b"2\r\nok\r\n0\r\nno colon\r\n\r\n"),
}
EVENTS = b"Content-Type: text/event-stream"
FIRST_EVENT = b"15\r\nid: 0\ndata: piece 0\n\n\r\n"
