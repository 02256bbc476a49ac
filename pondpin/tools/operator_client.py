"""Calls of the operators' HTTP, for pondpinctl and pondpin-report."""

import os
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec
from rich.console import Console

from pondpin.http_client import HttpClient
from pondpin.http_reply import ErrorAnswer
from pondpin.http_streams import CallFailedError
from pondpin.json_decoding import decode_json, decode_json_as
from pondpin.runtime import ParsedCommand, run
from pondpin.secure_endpoints import SecureEndpoints
from pondpin.tools.log_commands import PROGRAM
from pondpin.tools.tables import make_console

TOKEN_VARIABLE = "PONDPIN_OPERATOR_TOKEN"
# A PEM file: with it, operators' addresses are spoken to over TLS.
AUTHORITY_VARIABLE = "PONDPIN_OPERATOR_AUTHORITY"
SECONDS = 5.0
CONNECT_SECONDS = 2.0
OK = 200
UNREACHABLE_STATUS = 3


class OperatorError(Exception):
    """An instance gave no answer, or refused."""


def make_client(reactor: Any) -> HttpClient:
    """A client for operators' addresses, with the authority of the environment."""
    authority = os.environ.get(AUTHORITY_VARIABLE, "")
    endpoints = SecureEndpoints(reactor, CONNECT_SECONDS, authority)
    return HttpClient(reactor, CONNECT_SECONDS, endpoints=endpoints)


@dataclass
class OperatorClient:
    """Asks instances as an operator; the token comes from the environment."""

    client: HttpClient

    def _headers(self) -> dict[str, str]:
        token = os.environ.get(TOKEN_VARIABLE, "")
        return {"authorization": f"Bearer {token}"} if token else {}

    async def get(self, address: str, path: str) -> bytes:
        """Read a path; raises OperatorError."""
        return await self._call("GET", address, path)

    async def post(self, address: str, path: str) -> bytes:
        """Act on a path; raises OperatorError."""
        return await self._call("POST", address, path)

    async def delete(self, address: str, path: str) -> bytes:
        """Take something away; raises OperatorError."""
        return await self._call("DELETE", address, path)

    async def get_json(self, address: str, path: str) -> Any:
        """Read a JSON document; raises OperatorError."""
        body = await self.get(address, path)
        try:
            return decode_json(msgspec.json.decode, body)
        except msgspec.DecodeError as error:
            raise OperatorError(f"{address} sent no JSON document: {error}") from None

    async def _call(self, method: str, address: str, path: str) -> bytes:
        scheme = "https" if os.environ.get(AUTHORITY_VARIABLE) else "http"
        url = f"{scheme}://{address}{path}"
        body = b"{}" if method == "POST" else b""
        try:
            answer = await self.client.call(method, url, self._headers(), body, timeout=SECONDS)
        except CallFailedError as error:
            raise OperatorError(f"{address} does not answer: {error}") from None
        if answer.status == OK:
            return answer.body
        try:
            error_body = decode_json_as(ErrorAnswer, answer.body).error
            detail = f"{error_body.code} {error_body.name}: {error_body.message}"
        except msgspec.MsgspecError:
            detail = f"status {answer.status}"
        raise OperatorError(f"{address} refused: {detail}")


Asking = Callable[[OperatorClient, Console], Coroutine[Any, Any, int]]


def ask_instances(asking: Asking) -> ParsedCommand:
    """A command that asks instances."""

    async def work(reactor: Any) -> int:
        client = make_client(reactor)
        try:
            return await asking(OperatorClient(client), make_console())
        except OperatorError as error:
            print(f"{PROGRAM}: {error}", file=sys.stderr)
            return UNREACHABLE_STATUS
        finally:
            await client.close()

    return ParsedCommand(lambda: run(work))
