"""A caller's call on its way through the filter chain, and its outcome."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from pondpin.codes import Code, Ran
from pondpin.configuration import Account, Configuration, Rule
from pondpin.decisions import Decision
from pondpin.http_reply import IncomingRequest, Reply


class CallKind(enum.Enum):
    """What a call asks for."""

    COMPLETION = "completion"
    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration in force; revision is its position, see `pondpin.positions`."""

    revision: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a completion asks: the prompt's text, counts of tokens, and how to answer."""

    text: str
    tokens: int
    max_tokens: int
    model: str
    stream: bool
    hashes: tuple[int, ...]
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """A call; each filter hands on a copy with what it found out.

    arrived and deadline are in seconds of the steady clock. identity: see
    `pondpin.request_identity`.
    """

    id: str
    kind: CallKind
    incoming: IncomingRequest
    reply: Reply | None
    snapshot: Snapshot
    decision: Decision
    arrived: float
    deadline: float = 0.0
    account_name: str = ""
    account: Account | None = None
    prompt: Prompt | None = None
    service: str = ""
    labels: dict[str, str] = field(default_factory=dict)
    length_class: str = ""
    long: bool = False
    rule: Rule | None = None
    identity: int = 0
    token: str = ""
    token_number: int | None = None

    @property
    def the_reply(self) -> Reply:
        """Where the answer goes; a forwarded call has none of its own."""
        assert self.reply is not None, "a call that came over HTTP has a reply"
        return self.reply

    @property
    def the_rule(self) -> Rule:
        """The rule that took the call."""
        assert self.rule is not None, "the rule is known after the rule filter"
        return self.rule

    @property
    def the_prompt(self) -> Prompt:
        """The prompt of a completion."""
        assert self.prompt is not None, "a completion has a prompt"
        return self.prompt

    @property
    def the_account(self) -> Account:
        """The account that sent the call."""
        assert self.account is not None, "the account is known after the first filter"
        return self.account


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer to be sent at once."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a call ended. first_token is in seconds from arrival, None without any token."""

    code: Code
    ran: Ran
    answer: WholeAnswer | None = None
    first_token: float | None = None
    tokens: int = 0
    last_token: float | None = None
    headers: dict[str, str] = field(default_factory=dict)


Proceed = Callable[[Call], Awaitable[Outcome]]


class Filter(Protocol):
    """One step on a call's way: refuse by PondpinError, or proceed with a fuller call."""

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """Handle the call."""
        ...


def chain_filters(filters: tuple[Filter, ...]) -> Proceed:
    """One function that sends a call through the filters in order."""

    async def end(call: Call) -> Outcome:
        raise AssertionError("the last filter proceeds no further")

    proceed: Proceed = end
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, following: Proceed) -> Proceed:
    async def step(call: Call) -> Outcome:
        return await item.apply(call, following)

    return step
