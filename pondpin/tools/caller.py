"""A caller that checks every answer: whole, in order, and to its own request."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from pondpin.body_ends import BodyEnd
from pondpin.clocks import Clock
from pondpin.codes import Code, Ran
from pondpin.http_client import HttpClient
from pondpin.http_reply import ErrorAnswer
from pondpin.http_streams import CallFailedError, ResponseStream
from pondpin.standins.engine_model import answer_seed, token_text
from pondpin.tools.balancer import Balancer

TRIES = 4
BATCH = 10
OK = 200
DATA = b"data: "
ID = b"id: "
ERROR_EVENT = b"event: error"
DONE = b"[DONE]"
PATIENCE_SECONDS = 5.0


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


@dataclass(frozen=True, slots=True)
class Question:
    """A completion to ask for; allowed is in seconds."""

    name: str
    length_class: str
    key: str
    model: str
    prompt: str
    max_tokens: int
    allowed: float | None = None
    labels: str = ""


@dataclass
class Asked:
    """What came of a question; times are in seconds from its sending."""

    question: Question
    code: Code = Code.OK
    ran: Ran = Ran.NOT_RUN
    request: str = ""
    first_token: float | None = None
    total: float = 0.0
    gaps: list[float] = field(default_factory=list)
    tokens: int = 0
    text: str = ""
    finished: bool = False
    resumes: int = 0
    tries: int = 0
    retry_after: float | None = None

    @property
    def whole(self) -> bool:
        """Whether the answer is complete."""
        return self.code is Code.OK and self.finished

    @property
    def wrong(self) -> bool:
        """Whether any part of the answer is not what the question's answer has there."""
        return not expected_text(self.question).startswith(self.text) or (
            self.whole and self.text != expected_text(self.question)
        )


def expected_text(question: Question) -> str:
    """The whole answer that the stand-in engines give."""
    seed = answer_seed(question.prompt.encode())
    return "".join(token_text(seed, offset) for offset in range(question.max_tokens))


class EventReader:
    """Reads a completion's events into an Asked."""

    def __init__(self, asked: Asked, clock: Clock, started: float) -> None:
        self._asked = asked
        self._clock = clock
        self._started = started
        self._last = 0.0
        self._rest = b""
        self._parts: list[str] = [asked.text]
        self._decoder = msgspec.json.Decoder(_Event)
        self.cursor = ""
        self.failed = False
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def on_data(self, data: bytes) -> None:
        """Take bytes of the stream."""
        events = (self._rest + data).split(b"\n\n")
        self._rest = events.pop()
        for event in events:
            self._take(event)

    def on_end(self, end: BodyEnd) -> None:
        """The connection ended."""
        self._asked.text = "".join(self._parts)
        if not self.ended.done():
            self.ended.set_result(self._asked.finished or self.failed)

    def _take(self, event: bytes) -> None:
        lines = event.split(b"\n")
        if lines[0] == ERROR_EVENT:
            error = msgspec.json.decode(lines[1][len(DATA) :], type=ErrorAnswer).error
            self._asked.code, self._asked.ran = Code(error.code), Ran(error.ran)
            self.failed = True
            return
        for line in lines:
            if line.startswith(ID):
                self.cursor = line[len(ID) :].decode()
            elif line.startswith(DATA):
                self._take_data(line[len(DATA) :])

    def _take_data(self, data: bytes) -> None:
        if data == DONE:
            return
        choice = self._decoder.decode(data).choices[0]
        if choice.finish_reason is not None:
            self._asked.finished = True
            self._asked.ran = Ran.RAN
            return
        now = self._clock() - self._started
        if self._asked.first_token is None:
            self._asked.first_token = now
        else:
            self._asked.gaps.append(now - self._last)
        self._last = now
        self._asked.tokens += 1
        self._parts.append(choice.text)


class Caller:
    """Asks through a balancer, tries again when that is safe, and resumes broken streams."""

    def __init__(self, client: HttpClient, balancer: Balancer, clock: Clock) -> None:
        self._client = client
        self._balancer = balancer
        self._clock = clock

    async def ask(self, question: Question) -> Asked:
        """Ask, and follow the answer to its end."""
        asked = Asked(question)
        started = self._clock()
        limit = (question.allowed or 120.0) + PATIENCE_SECONDS
        try:
            async with asyncio.timeout(limit):
                await self._tries(asked, started)
        except TimeoutError:
            # Past its allowed time and some patience: a broken promise, not a slow answer.
            asked.code, asked.ran = Code.DEADLINE, Ran.UNKNOWN
            asked.finished = False
        asked.total = self._clock() - started
        return asked

    async def _tries(self, asked: Asked, started: float) -> None:
        cursor = ""
        address = ""
        while asked.tries < TRIES:
            asked.tries += 1
            address = self._balancer.next(self._clock(), avoid=address)
            reader = EventReader(asked, self._clock, started)
            reader.cursor = cursor
            try:
                settled = await self._follow(asked, address, reader)
            except CallFailedError:
                self._balancer.mark_down(address, self._clock())
                continue
            if settled:
                return
            # The connection broke: go on at another instance from the last event.
            self._balancer.mark_down(address, self._clock())
            cursor = reader.cursor
        if not asked.finished and asked.code is Code.OK:
            asked.code, asked.ran = Code.UPSTREAM_LOST, Ran.UNKNOWN

    async def _follow(self, asked: Asked, address: str, reader: EventReader) -> bool:
        """One connection; True when the question is settled."""
        question = asked.question
        headers = {"authorization": f"Bearer {question.key}", "content-type": "application/json"}
        if question.labels:
            headers["pondpin-labels"] = question.labels
        if question.allowed is not None:
            headers["pondpin-allowed-seconds"] = str(question.allowed)
        if reader.cursor:
            asked.resumes += 1
            headers["last-event-id"] = reader.cursor
            start = await self._client.open("GET", f"http://{address}/v1/resume", headers)
        else:
            body = msgspec.json.encode(
                {
                    "model": question.model,
                    "prompt": question.prompt,
                    "max_tokens": question.max_tokens,
                    "stream": True,
                }
            )
            url = f"http://{address}/v1/completions"
            start = await self._client.open("POST", url, headers, body)
        if start.status != OK:
            error = msgspec.json.decode(await start.read(), type=ErrorAnswer).error
            asked.code, asked.ran = Code(error.code), Ran(error.ran)
            asked.request, asked.retry_after = error.request, error.retry_after
            return True
        asked.request = start.headers.get("pondpin-request", asked.request)
        stream: ResponseStream = start.deliver(reader)
        try:
            return await reader.ended
        finally:
            stream.close()


@dataclass(frozen=True, slots=True)
class Done:
    """What came of a service call."""

    code: Code
    ran: Ran
    times: int
    tries: int


class _Ran(msgspec.Struct):
    times: int = 0


class OnceCaller:
    """Makes service calls that may not be repeated, with a token for a safe second try."""

    def __init__(
        self, client: HttpClient, balancer: Balancer, clock: Clock, patience: float = 10.0
    ) -> None:
        self._client = client
        self._balancer = balancer
        self._clock = clock
        self.patience = patience
        self._tokens_by_key: dict[str, list[str]] = {}

    async def fetch_tokens(self, key: str, count: int) -> list[str]:
        """Fetch new tokens from some instance; raises CallFailedError."""
        headers = {"authorization": f"Bearer {key}"}
        for _ in range(TRIES):
            address = self._balancer.next(self._clock())
            url = f"http://{address}/v1/tokens?count={count}"
            try:
                answer = await self._client.call("POST", url, headers, b"{}")
            except CallFailedError:
                self._balancer.mark_down(address, self._clock())
                continue
            if answer.status == OK:
                found: list[str] = msgspec.json.decode(answer.body)["tokens"]
                return found
        raise CallFailedError("no instance gave tokens", sent=False)

    async def call(self, key: str, service: str, path: str, body: bytes) -> Done:
        """Make one call, with as many tries as are safe and useful."""
        kept = self._tokens_by_key.setdefault(key, [])
        if not kept:
            kept.extend(await self.fetch_tokens(key, BATCH))
        token = kept.pop()
        code, ran = Code.OUTCOME_UNKNOWN, Ran.UNKNOWN
        for number in range(1, TRIES + 1):
            address = self._balancer.next(self._clock())
            url = f"http://{address}/v1/services/{service}{path}"
            headers = {
                "authorization": f"Bearer {key}",
                "content-type": "application/json",
                "pondpin-token": token,
            }
            try:
                answer = await self._client.call("POST", url, headers, body, timeout=self.patience)
            except CallFailedError:
                self._balancer.mark_down(address, self._clock())
                code, ran = Code.OUTCOME_UNKNOWN, Ran.UNKNOWN
                continue
            following = answer.headers.get("pondpin-next-token", "")
            if answer.status == OK:
                times = msgspec.json.decode(answer.body, type=_Ran).times
                if following:
                    kept.append(following)
                return Done(Code.OK, Ran.RAN, times, number)
            error = msgspec.json.decode(answer.body, type=ErrorAnswer).error
            code, ran = Code(error.code), Ran(error.ran)
            if ran is Ran.NOT_RUN and following:
                # That token is closed for good, so a new one can't make the call run twice.
                token = following
            elif not error.retry or code is Code.ISSUER_GONE:
                break
        return Done(code, ran, 0, TRIES)
