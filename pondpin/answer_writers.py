"""Turns tokens into the answers that callers expect, streamed or whole."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from pondpin.calls import CallKind, WholeAnswer
from pondpin.errors import PondpinError
from pondpin.http_reply import JSON, Reply, describe_error

EVENT_STREAM = "text/event-stream"
DONE = b"data: [DONE]\n\n"
REQUEST_HEADER = "pondpin-request"


class AnswerWriter(Protocol):
    """Takes the tokens of one answer in order."""

    def write_token(self, offset: int, text: str) -> None:
        """Take the next token."""
        ...

    def finish(self, reason: str) -> WholeAnswer | None:
        """The answer is whole; returns what is still to be sent."""
        ...

    def fail(self, error: PondpinError) -> bool:
        """The answer failed; True when the writer told the caller itself."""
        ...


class Choice(msgspec.Struct, frozen=True):
    """A choice of a completion."""

    index: int
    text: str
    finish_reason: str | None


class Completion(msgspec.Struct, frozen=True):
    """A completion or a piece of it."""

    id: str
    object: str
    model: str
    choices: tuple[Choice, ...]


class Delta(msgspec.Struct, frozen=True):
    """A piece of a chat's answer, or the whole message."""

    content: str
    role: str = "assistant"


class ChunkChoice(msgspec.Struct, frozen=True):
    """A choice of a streamed chat."""

    index: int
    delta: Delta
    finish_reason: str | None


class ChatChunk(msgspec.Struct, frozen=True):
    """A piece of a streamed chat."""

    id: str
    object: str
    model: str
    choices: tuple[ChunkChoice, ...]


class MessageChoice(msgspec.Struct, frozen=True):
    """A choice of a whole chat answer."""

    index: int
    message: Delta
    finish_reason: str | None


class ChatAnswer(msgspec.Struct, frozen=True):
    """A whole chat answer."""

    id: str
    object: str
    model: str
    choices: tuple[MessageChoice, ...]


def make_piece(kind: CallKind, request: str, model: str, text: str, reason: str | None) -> object:
    """One event's document."""
    if kind is CallKind.CHAT:
        choice = ChunkChoice(0, Delta(text), reason)
        return ChatChunk(request, "chat.completion.chunk", model, (choice,))
    return Completion(request, "text_completion", model, (Choice(0, text, reason),))


def make_whole(kind: CallKind, request: str, model: str, text: str, reason: str) -> object:
    """The document of a whole answer."""
    if kind is CallKind.CHAT:
        choice = MessageChoice(0, Delta(text), reason)
        return ChatAnswer(request, "chat.completion", model, (choice,))
    return Completion(request, "text_completion", model, (Choice(0, text, reason),))


class StreamWriter:
    """Sends each token as a server-sent event whose id is a resume cursor."""

    def __init__(
        self,
        reply: Reply,
        kind: CallKind,
        request: str,
        model: str,
        cursor: Callable[[], str],
    ) -> None:
        self._reply = reply
        self._kind = kind
        self._request = request
        self._model = model
        self._cursor = cursor
        self._encoder = msgspec.json.Encoder()

    def start(self) -> None:
        """Send the headers, if they are not out yet."""
        if not self._reply.started:
            headers = {"content-type": EVENT_STREAM, "cache-control": "no-store"}
            self._reply.start(200, headers | {REQUEST_HEADER: self._request})

    def write_token(self, offset: int, text: str) -> None:
        """See AnswerWriter."""
        self.start()
        document = make_piece(self._kind, self._request, self._model, text, None)
        event = b"".join(
            (
                b"id: ",
                f"{self._cursor()}:{offset + 1}".encode(),
                b"\ndata: ",
                self._encoder.encode(document),
                b"\n\n",
            )
        )
        self._reply.write(event)

    def finish(self, reason: str) -> WholeAnswer | None:
        """See AnswerWriter."""
        self.start()
        document = make_piece(self._kind, self._request, self._model, "", reason)
        self._reply.write(b"data: " + self._encoder.encode(document) + b"\n\n" + DONE)
        self._reply.finish()
        return None

    def fail(self, error: PondpinError) -> bool:
        """Tell of the error inside the stream, and leave the stream without its end mark."""
        if not self._reply.started:
            return False
        document = self._encoder.encode(describe_error(error, self._request))
        self._reply.write(b"event: error\ndata: " + document + b"\n\n")
        self._reply.finish()
        return True


class WholeWriter:
    """Collects the tokens of an answer that is sent at once."""

    def __init__(self, kind: CallKind, request: str, model: str) -> None:
        self._kind = kind
        self._request = request
        self._model = model
        self._parts: list[str] = []

    def write_token(self, offset: int, text: str) -> None:
        """See AnswerWriter."""
        self._parts.append(text)

    def finish(self, reason: str) -> WholeAnswer | None:
        """See AnswerWriter."""
        text = "".join(self._parts)
        document = make_whole(self._kind, self._request, self._model, text, reason)
        return WholeAnswer(200, JSON, msgspec.json.encode(document))

    def fail(self, error: PondpinError) -> bool:
        """See AnswerWriter."""
        return False
