"""Bad input from callers: each a clear numbered error, with nothing held afterwards."""

import asyncio

import msgspec

from pondpin.codes import Code, Ran
from pondpin.http_client import HttpResponse
from pondpin.tests.support import KEY, MODEL, FleetCase, question

BODY = {"model": MODEL, "prompt": "Where?", "max_tokens": 4}


class BadInputTest(FleetCase):
    async def post(
        self, body: bytes, path: str = "/v1/completions", **headers: str
    ) -> tuple[Code, HttpResponse]:
        sent = {"authorization": f"Bearer {KEY}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = f"http://{self.callers['a1']}{path}"
        answer = await self.client.call("POST", url, sent, body, timeout=20.0)
        document = msgspec.json.decode(answer.body)
        return Code(document.get("error", {}).get("code", 0)), answer

    def refused(
        self, body: bytes, code: Code, path: str = "/v1/completions", **headers: str
    ) -> None:
        async def test() -> None:
            found, answer = await self.post(body, path, **headers)
            self.assertIs(found, code)
            self.assertEqual(answer.headers["pondpin-ran"], Ran.NOT_RUN.value)
            await self.nothing_held()
            asked = await self.caller.ask(question())
            self.assertTrue(asked.whole)
            for running in self.fleet.entries_by_name.values():
                self.assertEqual(running.instance.caller_server.budget.held, 0)
                self.assertEqual(running.instance.scheduler.queue.size, 0)

        self.drive(test)

    def body(self, **changes: object) -> bytes:
        return msgspec.json.encode(BODY | changes)

    def test_invalid_json(self) -> None:
        self.refused(b'{"model": ', Code.MALFORMED_JSON)

    def test_wrong_utf8(self) -> None:
        self.refused(b'{"model":"rider","prompt":"\xff\xfe"}', Code.BAD_ENCODING)

    def test_lone_surrogate(self) -> None:
        self.refused(b'{"model":"rider","prompt":"\\ud800"}', Code.MALFORMED_JSON)

    def test_a_missing_field(self) -> None:
        self.refused(b'{"model":"rider"}', Code.INVALID_FIELD)

    def test_a_wrong_type(self) -> None:
        self.refused(self.body(max_tokens="many"), Code.INVALID_FIELD)

    def test_no_answer_tokens(self) -> None:
        self.refused(self.body(max_tokens=0), Code.INVALID_FIELD)

    def test_an_unknown_model(self) -> None:
        self.refused(self.body(model="none"), Code.UNKNOWN_MODEL)

    def test_a_wrong_key(self) -> None:
        self.refused(self.body(), Code.UNKNOWN_KEY, authorization="Bearer wrong")

    def test_no_key(self) -> None:
        self.refused(self.body(), Code.UNKNOWN_KEY, authorization="Basic abc")

    def test_an_allowed_time_of_zero(self) -> None:
        self.refused(self.body(), Code.INVALID_ALLOWED_TIME, pondpin_allowed_seconds="0")

    def test_an_allowed_time_that_is_no_number(self) -> None:
        self.refused(self.body(), Code.INVALID_ALLOWED_TIME, pondpin_allowed_seconds="nan")

    def test_an_allowed_time_too_short_to_finish(self) -> None:
        self.refused(self.body(), Code.CANNOT_FINISH, pondpin_allowed_seconds="0.000001")

    def test_a_bad_label(self) -> None:
        self.refused(self.body(), Code.HEADERS_INVALID, pondpin_labels="novalue")

    def test_an_unknown_path(self) -> None:
        self.refused(b"{}", Code.UNKNOWN_PATH, "/v2/nothing")

    def test_an_unknown_service(self) -> None:
        self.refused(b"{}", Code.NO_RULE, "/v1/services/none/x")

    def test_a_prompt_larger_than_the_fleet(self) -> None:
        self.refused(self.body(prompt="x" * 1_800_000), Code.PROMPT_TOO_LARGE)

    def test_a_forged_cursor(self) -> None:
        self.refused(b"{}", Code.CURSOR_INVALID, last_event_id="c1/a/0/e1/padyak/x/9.AAAA:3")

    def test_a_forged_token(self) -> None:
        async def test() -> None:
            found, answer = await self.post(
                b"{}", "/v1/services/dock/unlock", pondpin_token="t1/a1/1/1/padyak/1/1.AAAA"
            )
            self.assertIs(found, Code.TOKEN_INVALID)
            # Of earlier tries with such a token nothing is known.
            self.assertEqual(answer.headers["pondpin-ran"], Ran.UNKNOWN.value)

        self.drive(test)

    def test_half_a_request(self) -> None:
        async def test() -> None:
            host, port = self.callers["a1"].split(":")
            for text in (
                b"POST /v1/comp",
                b"POST /v1/completions HTTP/1.1\r\ncontent-length: 9\r\n\r\n{",
            ):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(text)
                await writer.drain()
                writer.close()
                await writer.wait_closed()
            asked = await self.caller.ask(question())
            self.assertTrue(asked.whole)
            running = self.fleet.entries_by_name["a1"].instance
            self.assertEqual(running.caller_server.budget.held, 0)

        self.drive(test)

    def test_a_body_of_200_megabytes(self) -> None:
        async def test() -> None:
            host, port = self.callers["a1"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 209715200\r\n\r\n"
            )
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"413", head.split(b"\r\n")[0])
            writer.close()
            running = self.fleet.entries_by_name["a1"].instance
            self.assertEqual(running.caller_server.budget.held, 0)

        self.drive(test)


class FormsTest(FleetCase):
    """The other forms of asking."""

    def test_a_whole_answer_and_a_chat(self) -> None:
        async def test() -> None:
            headers = {"authorization": f"Bearer {KEY}"}
            base = f"http://{self.callers['a1']}"
            answer = await self.client.call(
                "POST", f"{base}/v1/completions", headers, msgspec.json.encode(BODY)
            )
            document = msgspec.json.decode(answer.body)
            self.assertEqual(len(document["choices"][0]["text"].split()), 4)
            self.assertEqual(answer.headers["pondpin-ran"], "ran")
            chat = {"model": MODEL, "messages": [{"role": "user", "content": "Saan?"}]}
            answer = await self.client.call(
                "POST", f"{base}/v1/chat/completions", headers, msgspec.json.encode(chat)
            )
            document = msgspec.json.decode(answer.body)
            self.assertEqual(document["choices"][0]["message"]["role"], "assistant")

        self.drive(test)

    def test_a_finished_stream_can_be_resumed_by_its_account_alone(self) -> None:
        async def test() -> None:
            headers = {"authorization": f"Bearer {KEY}"}
            body = msgspec.json.encode(BODY | {"stream": True})
            url = f"http://{self.callers['a1']}/v1/completions"
            answer = await self.client.call("POST", url, headers, body)
            events = answer.body.split(b"\n\n")
            cursor = events[1].split(b"\n")[0].removeprefix(b"id: ").decode()
            again = f"http://{self.callers['b1']}/v1/resume"
            rest = await self.client.call("GET", again, headers | {"last-event-id": cursor})
            texts = [
                msgspec.json.decode(event.split(b"data: ")[1])["choices"][0]["text"]
                for event in rest.body.split(b"\n\n")[:2]
            ]
            self.assertEqual([text.split(".")[1] for text in texts], ["2 ", "3 "])
            headers = {"authorization": "Bearer other-key", "last-event-id": cursor}
            refused = await self.client.call("GET", again, headers)
            self.assertEqual(refused.status, 400)

        self.drive(test)
