"""TLS for callers and between peers, and reload of keys without a restart."""

import asyncio
import contextlib
import dataclasses
import datetime
import os
import ssl
import tempfile
import unittest
from pathlib import Path

from pondpin.controllers.peers import GrpcPeerClient
from pondpin.errors import PeerUnreachableError
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.metrics import Metrics
from pondpin.secure_endpoints import SecureEndpoints
from pondpin.settings import Tls
from pondpin.tests.support import FleetCase, sample_spec, the_loop, wait_until
from pondpin.tls import PeerTls, ReloadingContext
from pondpin.tools.authority import make_authority, make_certificate
from pondpin.wire.peer_pb2 import HeartbeatRequest

NOW = datetime.datetime.now(datetime.UTC)


def make_files(folder: Path, name: str = "entry") -> Tls:
    if not (folder / "authority.pem").exists():
        make_authority(folder, NOW)
    make_certificate(folder, name, "127.0.0.1", NOW)
    return Tls(
        certificate=str(folder / f"{name}.pem"),
        key=str(folder / f"{name}.key"),
        authority=str(folder / "authority.pem"),
    )


class TlsDeploymentTest(FleetCase):
    def test_callers_and_peers_over_tls(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            files = make_files(path)
            make_authority(path / "other", NOW)
            self.drive(lambda: self.check(path), dataclasses.replace(sample_spec(), tls=files))

    async def check(self, path: Path) -> None:
        """A caller that trusts the CA gets a response; peers exchange heartbeats."""
        entries = self.fleet.entries_by_name
        await wait_until(
            lambda: all(len(item.instance.book.live_peers()) == 1 for item in entries.values())
        )
        trusting = ssl.create_default_context(cafile=str(path / "authority.pem"))
        host, port = self.callers["a1"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port), ssl=trusting)
        body = b'{"model":"rider","prompt":"Saan?","max_tokens":2}'
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            b"authorization: Bearer test-key\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
        )
        response = await reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response[:200])
        writer.close()
        # An operator client that trusts the CA gets a response, another doesn't.
        _, reactor = the_loop()
        address = entries["a1"].operators
        for authority, is_trusted in (("authority.pem", True), ("other/authority.pem", False)):
            client = HttpClient(
                reactor, 1.0, endpoints=SecureEndpoints(reactor, 1.0, str(path / authority))
            )
            with contextlib.ExitStack() as stack:
                if not is_trusted:
                    stack.enter_context(self.assertRaises(CallFailedError))
                status = await client.call("GET", f"https://{address}/v1/status")
                self.assertEqual(status.status, 200)
            await client.close()
        # A peer without a certificate of the CA is refused.
        without_certificate = ssl.create_default_context(cafile=str(path / "authority.pem"))
        without_certificate.set_alpn_protocols(["h2"])
        peers = GrpcPeerClient(Metrics("x", "y"), lambda: without_certificate)
        with self.assertRaises(PeerUnreachableError):
            await peers.heartbeat(
                self.fleet.peer_addresses["a1"], HeartbeatRequest(instance="x"), 2.0
            )
        peers.close()


class ReloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name)
        self.files = make_files(self.path)

    def touch(self) -> None:
        for name in ("entry.pem", "entry.key"):
            os.utime(self.path / name, (1, 1))

    def test_a_changed_key_is_reloaded(self) -> None:
        context = ReloadingContext(self.files)
        first = context.getContext()
        self.assertIs(context.getContext(), first)
        make_files(self.path)
        self.touch()
        self.assertIsNot(context.getContext(), first)
        self.assertEqual(context.reloads, 1)

    def test_partly_replaced_files_keep_the_last_valid_context(self) -> None:
        context = ReloadingContext(self.files)
        first = context.getContext()
        (self.path / "entry.key").write_text("half")
        self.touch()
        self.assertIs(context.getContext(), first)

    def test_peers_files_are_reloaded(self) -> None:
        peers = PeerTls(self.files)
        self.assertFalse(peers.refresh())
        make_files(self.path)
        self.touch()
        self.assertTrue(peers.refresh())
        self.assertEqual(peers.server.verify_mode, ssl.CERT_REQUIRED)
