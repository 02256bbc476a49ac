"""Sends a call to the issuer of its token, and runs those that peers send here."""

from dataclasses import replace

import msgspec

from pondpin.call_tokens import CallToken
from pondpin.callers import SERVICE_PREFIX, Callers
from pondpin.calls import Call, CallKind, Outcome, Proceed, WholeAnswer
from pondpin.codes import Code, Ran
from pondpin.controllers.peers import PeerPort, PeerRegistry, find_peer
from pondpin.errors import PeerUnreachableError, PondpinError
from pondpin.filters.request_parsing import (
    ALLOWED_SECONDS_HEADER,
    LABELS_HEADER,
    TOKEN_HEADER,
    parse_allowed_seconds,
)
from pondpin.http_reply import ErrorAnswer, IncomingRequest, describe_error
from pondpin.service_client import PASSED_HEADERS
from pondpin.wire.peer_pb2 import ForwardReply, ForwardRequest, Header

FORWARDED_HEADERS = (*PASSED_HEADERS, TOKEN_HEADER, ALLOWED_SECONDS_HEADER, LABELS_HEADER)
CONTENT_TYPE = "content-type"
ISSUER_HEADER = "pondpin-issuer"
DEFAULT_SECONDS = 60.0
JSON = "application/json"
ERROR_HEADER = "pondpin-error"


class PeerForwarder:
    """Forwarder over the peer protocol."""

    def __init__(self, book: PeerRegistry, peers: PeerPort) -> None:
        self._book = book
        self._peers = peers

    async def forward(self, call: Call, token: CallToken) -> Outcome:
        """See Forwarder."""
        peer = find_peer(self._book, token.instance, token.incarnation)
        if peer is None:
            # The issuer may have run the call before it went: nobody can say any more.
            raise self._gone(f"{token.instance} is not known here in that life")
        allowed = parse_allowed_seconds(call.incoming.headers.get(ALLOWED_SECONDS_HEADER))
        seconds = DEFAULT_SECONDS if allowed is None else allowed
        request = ForwardRequest(
            token=call.token,
            account=call.account_name,
            method=call.incoming.method,
            path=call.incoming.path,
            headers=[
                Header(name=name, value=value)
                for name, value in call.incoming.headers.items()
                if name in FORWARDED_HEADERS
            ],
            body=call.incoming.body,
            allowed_seconds=seconds,
        )
        try:
            reply = await self._peers.forward(peer.address, request, seconds + 1.0)
        except PeerUnreachableError as error:
            raise self._gone(f"{token.instance} did not answer: {error}") from None
        return self._read(call, reply)

    def _gone(self, detail: str) -> PondpinError:
        error = PondpinError(Code.ISSUER_GONE, detail, Ran.UNKNOWN, retry_after=2.0)
        error.covers_earlier_attempts = True
        return error

    def _read(self, call: Call, reply: ForwardReply) -> Outcome:
        headers = {header.name: header.value for header in reply.headers}
        if ERROR_HEADER in headers:
            document = msgspec.json.decode(reply.body, type=ErrorAnswer).error
            error = PondpinError(
                Code(document.code), document.message, Ran(document.ran), document.retry_after
            )
            error.covers_earlier_attempts = True
            raise error
        content_type = headers.pop(CONTENT_TYPE, JSON)
        answer = WholeAnswer(reply.status, content_type, reply.body)
        return Outcome(Code.OK, Ran.RAN, answer, headers=headers)


class ForwardedCalls:
    """Runs calls that peers send to this issuer."""

    def __init__(self, callers: Callers, chain: Proceed, instance: str) -> None:
        self._callers = callers
        self._chain = chain
        self._instance = instance

    async def run(self, request: ForwardRequest) -> ForwardReply:
        """Run one call to its end; every failure becomes a reply."""
        try:
            outcome = await self._callers.run(self._make_call(request), self._chain)
        except PondpinError as error:
            body = msgspec.json.encode(describe_error(error))
            mark = Header(name=ERROR_HEADER, value=error.code.name)
            return ForwardReply(status=error.status, headers=[mark], body=body)
        answer = outcome.answer
        assert answer is not None, "a service call has a whole answer"
        headers = outcome.headers | {
            CONTENT_TYPE: answer.content_type,
            ISSUER_HEADER: self._instance,
        }
        return ForwardReply(
            status=answer.status,
            headers=[Header(name=name, value=value) for name, value in headers.items()],
            body=answer.body,
        )

    def _make_call(self, request: ForwardRequest) -> Call:
        snapshot = self._callers.the_snapshot()
        account = snapshot.configuration.accounts.get(request.account)
        if account is None:
            raise PondpinError(Code.UNKNOWN_KEY, "the account is not known at the issuer")
        incoming = IncomingRequest(
            method=request.method,
            path=request.path,
            query={},
            headers={header.name: header.value for header in request.headers},
            body=request.body,
        )
        call = self._callers.make_forwarded(incoming)
        call.decision.account = request.account
        service = incoming.path.removeprefix(SERVICE_PREFIX).partition("/")[0]
        return replace(
            call,
            kind=CallKind.SERVICE,
            account_name=request.account,
            account=account,
            service=service,
        )
