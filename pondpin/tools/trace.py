"""Reads traces in the published Mooncake form: JSON lines of times, lengths and block hashes."""

from pathlib import Path

import msgspec

from pondpin.tools.caller import Question
from pondpin.tools.traffic import CHARS_PER_TOKEN, Arrival

MILLI = 1e-3
SHORT_TOKENS = 8000
LONG_TOKENS = 100000
# A hash of the trace names 512 tokens.
HASH_TOKENS = 512


class TraceLine(msgspec.Struct, frozen=True):
    """A request: timestamp in milliseconds, lengths in tokens, one hash for each 512 tokens."""

    timestamp: float
    input_length: int
    output_length: int
    hash_ids: tuple[int, ...] = ()


class TraceError(ValueError):
    """A line of a trace that can't be read."""


def make_prompt(line: TraceLine) -> str:
    """A prompt whose blocks are equal to another's where the hashes are."""
    size = line.input_length * CHARS_PER_TOKEN
    block = HASH_TOKENS * CHARS_PER_TOKEN
    parts = [f"<{number}>".ljust(block, ".") for number in line.hash_ids]
    return "".join(parts)[:size].ljust(size, "~")


def length_class(tokens: int) -> str:
    """The length class of a prompt, as the sample configurations have it."""
    if tokens <= SHORT_TOKENS:
        return "short"
    return "medium" if tokens <= LONG_TOKENS else "long"


def read_trace(path: Path, key: str, model: str, speed: float) -> list[Arrival]:
    """The arrivals of a trace, sped up; raises TraceError that names the line, or OSError."""
    decoder = msgspec.json.Decoder(TraceLine)
    arrivals = []
    for number, text in enumerate(path.read_bytes().splitlines(), 1):
        if not text.strip():
            continue
        try:
            line = decoder.decode(text)
        except msgspec.MsgspecError as error:
            raise TraceError(f"{path}: line {number}: {error}") from None
        question = Question(
            name=f"line {number}",
            length_class=length_class(line.input_length),
            key=key,
            model=model,
            prompt=make_prompt(line),
            max_tokens=max(1, line.output_length),
        )
        arrivals.append(Arrival(line.timestamp * MILLI / speed, question))
    return sorted(arrivals, key=lambda arrival: arrival.at)
