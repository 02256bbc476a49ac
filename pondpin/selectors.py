"""Selectors over labels: one grammar, compiled once, matched many times.

Grammar: terms joined by commas, all of which must hold.
key=value, key!=value, key in (a, b), key notin (a, b), key, !key, key<10, key>=10.
"""

import functools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput, UnexpectedToken, VisitError

GRAMMAR = r"""
start: [term ("," term)*]
?term: KEY "=" value            -> equal
     | KEY "!=" value           -> unequal
     | KEY "in" "(" values ")"  -> member
     | KEY "notin" "(" values ")" -> outside
     | KEY COMPARE NUMBER       -> compare
     | "!" KEY                  -> absent
     | KEY                      -> present
values: value ("," value)*
value: KEY | NUMBER | ESCAPED_STRING
COMPARE: "<=" | ">=" | "<" | ">"
KEY: /(?!in\b|notin\b)[A-Za-z_][A-Za-z0-9_.\/:-]*/
NUMBER: /-?[0-9][0-9A-Za-z_.:-]*/
%import common.ESCAPED_STRING
%import common.WS
%ignore WS
"""

Labels = Mapping[str, str]


class SelectorError(ValueError):
    """A selector that does not parse; position is the character index from 0."""

    def __init__(self, text: str, position: int, problem: str) -> None:
        super().__init__(f"{problem} at character {position + 1} of {text!r}")
        self.position = position


class Term(Protocol):
    """One condition on labels."""

    def holds(self, labels: Labels) -> bool:
        """Say whether the labels meet the condition."""
        ...


@dataclass(frozen=True, slots=True)
class InSet:
    """The label's value is one of values; with negate, it is none of them or missing."""

    key: str
    values: frozenset[str]
    negate: bool = False

    def holds(self, labels: Labels) -> bool:
        """See Term."""
        return (labels.get(self.key) in self.values) != self.negate


@dataclass(frozen=True, slots=True)
class Exists:
    """The label is present; with negate, absent."""

    key: str
    negate: bool = False

    def holds(self, labels: Labels) -> bool:
        """See Term."""
        return (self.key in labels) != self.negate


@dataclass(frozen=True, slots=True)
class Compare:
    """The label's value as a number compares to limit; a missing or other value does not."""

    key: str
    operator: str
    limit: float

    def holds(self, labels: Labels) -> bool:
        """See Term."""
        try:
            value = float(labels.get(self.key, ""))
        except ValueError:
            return False
        match self.operator:
            case "<":
                return value < self.limit
            case "<=":
                return value <= self.limit
            case ">":
                return value > self.limit
            case _:
                return value >= self.limit


@dataclass(frozen=True, slots=True)
class Selector:
    """A compiled selector; the empty one takes everything."""

    text: str
    terms: tuple[Term, ...]

    def matches(self, labels: Labels) -> bool:
        """Say whether all terms hold."""
        return all(term.holds(labels) for term in self.terms)

    def failing_terms(self, labels: Labels) -> tuple[Term, ...]:
        """The terms that do not hold, for explanations."""
        return tuple(term for term in self.terms if not term.holds(labels))


class _Compiler(Transformer[Token, tuple[Term, ...]]):
    """Turns the parse tree into terms."""

    def value(self, items: list[Token]) -> str:
        return str(items[0]).strip('"') if items[0].type == "ESCAPED_STRING" else str(items[0])

    def values(self, items: list[str]) -> frozenset[str]:
        return frozenset(items)

    def equal(self, items: list[str]) -> Term:
        return InSet(str(items[0]), frozenset((items[1],)))

    def unequal(self, items: list[str]) -> Term:
        return InSet(str(items[0]), frozenset((items[1],)), negate=True)

    def member(self, items: list[frozenset[str]]) -> Term:
        return InSet(str(items[0]), items[1])

    def outside(self, items: list[frozenset[str]]) -> Term:
        return InSet(str(items[0]), items[1], negate=True)

    def compare(self, items: list[Token]) -> Term:
        return Compare(str(items[0]), str(items[1]), float(items[2]))

    def present(self, items: list[Token]) -> Term:
        return Exists(str(items[0]))

    def absent(self, items: list[Token]) -> Term:
        return Exists(str(items[0]), negate=True)

    def start(self, items: list[Term | None]) -> tuple[Term, ...]:
        return tuple(item for item in items if item is not None)


_PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=True)


@functools.lru_cache(maxsize=4096)
def parse_selector(text: str) -> Selector:
    """Compile a selector; raises SelectorError with the position of the fault."""
    try:
        terms = _Compiler().transform(_PARSER.parse(text))
    except UnexpectedInput as error:
        # At the end of the text lark gives the place of the last token.
        at_end = isinstance(error, UnexpectedToken) and error.token.type == "$END"
        position = len(text) if at_end else int(error.pos_in_stream or 0)
        raise SelectorError(text, position, "unexpected text or end") from error
    except VisitError as error:
        raise SelectorError(text, 0, "a comparison needs a plain number") from error
    return Selector(text, terms)
