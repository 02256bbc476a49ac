"""Parses the model, prompt, lengths and labels of a call."""

import math
from dataclasses import replace
from typing import TypeVar

import msgspec

from pondpin.calls import Call, CallKind, Outcome, Proceed, Prompt
from pondpin.codes import Code
from pondpin.configuration import Configuration
from pondpin.errors import PondpinError
from pondpin.json_decoding import decode_json_as
from pondpin.prompts import BLOCK_TOKENS, count_tokens, hash_prefixes

LABELS_HEADER = "pondpin-labels"
ALLOWED_SECONDS_HEADER = "pondpin-allowed-seconds"
TOKEN_HEADER = "pondpin-token"
MAX_LABELS = 16
DEFAULT_MAX_TOKENS = 256
MAX_ANSWER_TOKENS = 65536


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of POST /v1/completions that pondpin reads; others are ignored."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of POST /v1/chat/completions that pondpin reads; others are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


Body = TypeVar("Body", bound=msgspec.Struct)


def decode_body(body: bytes, kind: type[Body]) -> Body:
    """Decode a JSON body; raises PondpinError with a code for bad JSON, UTF-8 or fields."""
    try:
        return decode_json_as(kind, body)
    except msgspec.ValidationError as error:
        raise PondpinError(Code.INVALID_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        code = Code.MALFORMED_JSON if _is_utf8(body) else Code.BAD_ENCODING
        raise PondpinError(code, str(error)) from None


def _is_utf8(body: bytes) -> bool:
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def read_labels(header: str) -> dict[str, str]:
    """Parse the labels of a request from 'a=b, c=d'; raises PondpinError."""
    labels: dict[str, str] = {}
    for part in filter(None, (part.strip() for part in header.split(","))):
        name, separator, value = part.partition("=")
        if not separator or not name.strip():
            raise PondpinError(Code.HEADERS_INVALID, f"{LABELS_HEADER}: {part!r} is not key=value")
        labels[f"request.{name.strip()}"] = value.strip()
    if len(labels) > MAX_LABELS:
        raise PondpinError(Code.HEADERS_INVALID, f"more than {MAX_LABELS} labels")
    return labels


def parse_allowed_seconds(header: str | None) -> float | None:
    """Parse the time that the caller allows; None if absent; raises PondpinError."""
    if header is None:
        return None
    try:
        seconds = float(header)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise PondpinError(Code.INVALID_ALLOWED_TIME, f"{header!r} is not a positive number")
    return seconds


def join_messages(messages: tuple[ChatMessage, ...]) -> str:
    """Render a chat as one prompt."""
    return "".join(f"<{message.role}>{message.content}\n" for message in messages) + "<assistant>"


class RequestParsingFilter:
    """Sets the prompt, the call token and the labels of a call."""

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        headers = call.incoming.headers
        labels = read_labels(headers.get(LABELS_HEADER, ""))
        labels |= {f"account.{name}": value for name, value in call.the_account.labels.items()}
        labels["account"] = call.account_name
        parse_allowed_seconds(headers.get(ALLOWED_SECONDS_HEADER))
        if call.kind is CallKind.SERVICE:
            labels |= {"service": call.service, "method": call.incoming.method}
            labels["path"] = call.incoming.path
            token = headers.get(TOKEN_HEADER, "")
            return await proceed(replace(call, labels=labels, token=token))
        prompt = self._read_prompt(call)
        labels |= {
            "model": prompt.model,
            "prompt_tokens": str(prompt.tokens),
            "max_tokens": str(prompt.max_tokens),
            "stream": str(prompt.stream).lower(),
        }
        configuration = call.snapshot.configuration
        model_settings = configuration.models[prompt.model].labels
        labels |= {f"model.{name}": value for name, value in model_settings.items()}
        if prompt.adapter:
            adapter = configuration.adapters[prompt.adapter]
            labels["adapter"] = prompt.adapter
            labels |= {f"adapter.{name}": value for name, value in adapter.labels.items()}
        call.decision.model = prompt.adapter or prompt.model
        call.decision.prompt_tokens = prompt.tokens
        return await proceed(replace(call, labels=labels, prompt=prompt))

    def _read_prompt(self, call: Call) -> Prompt:
        if call.kind is CallKind.CHAT:
            chat = decode_body(call.incoming.body, ChatBody)
            return self._build_prompt(
                call, chat.model, join_messages(chat.messages), chat.max_tokens, chat.stream
            )
        body = decode_body(call.incoming.body, CompletionBody)
        return self._build_prompt(call, body.model, body.prompt, body.max_tokens, body.stream)

    def _build_prompt(
        self, call: Call, model: str, text: str, max_tokens: int, stream: bool
    ) -> Prompt:
        configuration: Configuration = call.snapshot.configuration
        adapter = model if model in configuration.adapters else ""
        if adapter:
            model = configuration.adapters[adapter].model
        model_settings = configuration.models.get(model)
        if model_settings is None:
            raise PondpinError(Code.UNKNOWN_MODEL, f"no model {model!r}")
        if not 0 < max_tokens <= MAX_ANSWER_TOKENS:
            raise PondpinError(Code.INVALID_FIELD, f"max_tokens is 1 to {MAX_ANSWER_TOKENS}")
        try:
            encoded = text.encode()
        except UnicodeEncodeError:
            raise PondpinError(Code.BAD_ENCODING, "the prompt has a lone surrogate") from None
        tokens = count_tokens(len(encoded), model_settings.chars_per_token)
        block_bytes = int(BLOCK_TOKENS * model_settings.chars_per_token)
        hashes = hash_prefixes(encoded, block_bytes)
        return Prompt(text, tokens, max_tokens, model, stream, hashes, adapter)
