"""Operators' commands, against a deployment."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import msgspec

from pondpin.configuration import decode_configuration
from pondpin.decisions import Decision, tell
from pondpin.http_client import HttpClient
from pondpin.operators import OperatorGate
from pondpin.runtime import ParsedCommand
from pondpin.settings import Operator
from pondpin.standins.local_fleet import key_hash
from pondpin.tests.support import FleetCase, question, the_loop
from pondpin.tools import ctl
from pondpin.tools.differences import tell_differences
from pondpin.tools.log_commands import FAULT_STATUS, losses
from pondpin.tools.operator_client import OperatorClient, OperatorError
from pondpin.tools.traffic import SAMPLES

FILE = str(SAMPLES / "fleet" / "configuration.json")


def run_quietly(ready: ParsedCommand) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            status = ready.start()
        except SystemExit as stopped:
            status = int(stopped.code or 0)
    return status, output.getvalue()


class FilesTest(unittest.TestCase):
    def test_check(self) -> None:
        self.assertEqual(run_quietly(ctl.check(FILE))[0], 0)
        status, output = run_quietly(ctl.check(str(SAMPLES / "traffic.json")))
        self.assertEqual(status, 1)
        self.assertIn("1. ", output)

    def test_match(self) -> None:
        status, output = run_quietly(
            ctl.match(FILE, "kind=engine,group", "prompt_tokens=200000,model=assistant")
        )
        self.assertEqual(status, 0)
        self.assertIn("engine-4", output)
        self.assertIn("rule long", output)
        self.assertEqual(run_quietly(ctl.match(FILE, "kind=none"))[0], 4)
        self.assertEqual(run_quietly(ctl.match(FILE, "kind="))[0], 1)

    def test_losses_of_a_log_as_tables_and_as_a_document(self) -> None:
        log = Path(self.enterContext(tempfile.TemporaryDirectory())) / "a.log"
        line = {
            "time": 5.0,
            "instance": "a",
            "event": "ended",
            "request": "r1",
            "first_ms": 400,
            "total_ms": 900,
            "target_ms": 300,
            "prompt_tokens": 10,
        }
        log.write_text(json.dumps(line) + "\n")
        status, output = run_quietly(losses(str(log)))
        self.assertEqual(status, 0)
        self.assertIn("late: not placed", output)
        status, output = run_quietly(losses(str(log), json=True))
        self.assertEqual(json.loads(output)["losses"]["kind"][0]["lost"], 0.75)
        self.assertEqual(run_quietly(losses(str(log), worth="300"))[0], FAULT_STATUS)
        self.assertEqual(run_quietly(losses("missing.log"))[0], FAULT_STATUS)

    def test_differences_are_told_in_words(self) -> None:
        document = json.loads(Path(FILE).read_text())
        old = decode_configuration(json.dumps(document).encode(), "old")
        del document["upstreams"]["engine-1"]
        document["rules"][2]["priority"] = 90
        document["policy"]["short_weight"] = 1.0
        document["rules"].reverse()
        new = decode_configuration(json.dumps(document).encode(), "new")
        lines = "\n".join(tell_differences(old, new))
        for part in (
            "upstream engine-1 goes away",
            "rule short: priority changes from 80 to 90",
            "policy: short_weight",
            "another order",
        ):
            self.assertIn(part, lines)
        self.assertEqual(tell_differences(old, old), [])


class GateTest(unittest.TestCase):
    def test_rights(self) -> None:
        from pondpin.errors import PondpinError
        from pondpin.http_reply import IncomingRequest

        gate = OperatorGate(
            (
                Operator(name="reader", token_sha256=key_hash("r")),
                Operator(name="actor", token_sha256=key_hash("a"), may_act=True),
            )
        )

        def incoming(token: str) -> IncomingRequest:
            return IncomingRequest("GET", "/", {}, {"authorization": f"Bearer {token}"}, b"")

        self.assertEqual(gate.check(incoming("r"), act=False), "reader")
        self.assertEqual(gate.check(incoming("a"), act=True), "actor")
        for token, act in (("r", True), ("x", False), ("", False)):
            with self.assertRaises(PondpinError):
                gate.check(incoming(token), act)


class DeploymentTest(FleetCase):
    def test_status_why_and_drain(self) -> None:
        async def test() -> None:
            _, reactor = the_loop()
            client = OperatorClient(HttpClient(reactor, 1.0))
            addresses = {n: r.operators for n, r in self.fleet.entries_by_name.items()}
            asked = await self.caller.ask(question())
            for address in addresses.values():
                path = f"/v1/explain?request={asked.request}"
                found = msgspec.json.decode(await client.get(address, path), type=list[Decision])
                self.assertEqual([item.request for item in found], [asked.request])
                text = "\n".join(tell(found[0]))
                self.assertIn("it went to e", text)
                self.assertIn("0 OK", text)
            status = await client.get_json(addresses["a1"], "/v1/status")
            self.assertEqual(status["revision"], 1)
            await client.post(addresses["a1"], "/v1/drain")
            with self.assertRaises(OperatorError):
                await client.get(addresses["a1"], "/readyz")
            await client.post(addresses["a1"], "/v1/undrain")
            self.assertEqual(await client.get(addresses["a1"], "/readyz"), b"ready\n")
            metrics = (await client.get(addresses["a1"], "/metrics")).decode()
            self.assertIn("pondpin_requests_total", metrics)
            rows = await client.get_json(addresses["a1"], "/v1/upstreams")
            self.assertEqual(len(rows), 5)
            await client.client.close()

        self.drive(test)
