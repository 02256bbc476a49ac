"""Makes questions by a description of traffic: kinds, lengths and shares, from a seed."""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pondpin.tools.caller import Question

CHARS_PER_TOKEN = 4
SAMPLES = Path(__file__).parents[2] / "samples"


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of question; ranges are in tokens, share is its part of all questions.

    prefixes is how many different beginnings its prompts share; 0 means that each is new.
    """

    name: str
    length_class: str
    key: str
    model: str
    share: float
    prompt_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    prompt_file: str = ""
    labels: str = ""
    allowed: float | None = None
    prefixes: int = 0
    prefix_tokens: int = 0


class ServiceKind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of service call."""

    key: str
    service: str
    path: str


class Traffic(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A description of traffic."""

    kinds: tuple[Kind, ...]
    services: tuple[ServiceKind, ...] = ()
    largest: Kind | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A question and when it is sent, in seconds from the start."""

    at: float
    question: Question


def read_traffic(path: Path) -> Traffic:
    """Read a description; raises msgspec.ValidationError or OSError."""
    return msgspec.json.decode(path.read_bytes(), type=Traffic)


class QuestionMaker:
    """Makes questions of kinds."""

    def __init__(self, rng: random.Random, folder: Path) -> None:
        self._random = rng
        self._folder = folder
        self._texts: dict[str, str] = {}
        self._number = 0

    def make(self, kind: Kind) -> Question:
        """A new question of a kind; no two have the same prompt."""
        self._number += 1
        tokens = self._random.randint(*kind.prompt_tokens)
        return Question(
            name=kind.name,
            length_class=kind.length_class,
            key=kind.key,
            model=kind.model,
            prompt=self._prompt(kind, tokens),
            max_tokens=self._random.randint(*kind.answer_tokens),
            allowed=kind.allowed,
            labels=kind.labels,
        )

    def _prompt(self, kind: Kind, tokens: int) -> str:
        head = f"[{self._number}-{self._random.getrandbits(48):x}] "
        if kind.prefixes:
            shared = f"<document {self._random.randrange(kind.prefixes)}> "
            head = self._fill(shared, kind, kind.prefix_tokens) + head
        return self._fill(head, kind, tokens)

    def _fill(self, head: str, kind: Kind, tokens: int) -> str:
        size = tokens * CHARS_PER_TOKEN
        text = self._text(kind)
        repeats = -(-max(0, size - len(head)) // len(text))
        whole = head + text * repeats
        cut = whole.encode()[:size]
        return cut.decode(errors="ignore")

    def _text(self, kind: Kind) -> str:
        if not kind.prompt_file:
            return f"The {kind.name} goes on and on. "
        if kind.prompt_file not in self._texts:
            self._texts[kind.prompt_file] = (self._folder / kind.prompt_file).read_text()
        return self._texts[kind.prompt_file]


def poisson_arrivals(
    kinds: tuple[Kind, ...], rate: float, seconds: float, seed: int, folder: Path
) -> list[Arrival]:
    """Questions at random times: a rate a second on average, kinds by their shares."""
    rng = random.Random(seed)
    maker = QuestionMaker(rng, folder)
    shares = [kind.share for kind in kinds]
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < seconds:
        kind = rng.choices(kinds, shares)[0]
        arrivals.append(Arrival(at, maker.make(kind)))
        at += rng.expovariate(rate)
    return arrivals
