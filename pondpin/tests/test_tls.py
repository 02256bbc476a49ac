"""TLS: callers over it, peers by it, keys that change without a restart."""

import datetime
import os
import ssl
import tempfile
import unittest
from pathlib import Path

from pondpin.settings import Tls
from pondpin.tls import PeerTls, ReloadingContext
from pondpin.tools.authority import make_authority, make_certificate

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


class ReloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name)
        self.files = make_files(self.path)

    def touch(self) -> None:
        for name in ("entry.pem", "entry.key"):
            os.utime(self.path / name, (1, 1))

    def test_a_changed_key_is_read_again(self) -> None:
        context = ReloadingContext(self.files)
        first = context.getContext()
        self.assertIs(context.getContext(), first)
        make_files(self.path)
        self.touch()
        self.assertIsNot(context.getContext(), first)
        self.assertEqual(context.reloads, 1)

    def test_half_replaced_files_keep_the_last_good_ones(self) -> None:
        context = ReloadingContext(self.files)
        first = context.getContext()
        (self.path / "entry.key").write_text("half")
        self.touch()
        self.assertIs(context.getContext(), first)

    def test_peers_files_are_read_again(self) -> None:
        peers = PeerTls(self.files)
        self.assertFalse(peers.refresh())
        make_files(self.path)
        self.touch()
        self.assertTrue(peers.refresh())
        self.assertEqual(peers.server.verify_mode, ssl.CERT_REQUIRED)
