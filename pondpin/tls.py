"""TLS contexts that reload changed PEM files, so that keys rotate without a restart."""

import os
import ssl
from typing import Any

from OpenSSL import SSL
from twisted.internet.interfaces import IOpenSSLContextFactory
from zope.interface import implementer

from pondpin.settings import Tls

MIN_VERSION = SSL.TLS1_2_VERSION


def mtimes(files: Tls) -> tuple[float, ...]:
    """Modification times of the files."""
    paths = (files.certificate, files.key, files.authority)
    return tuple(os.stat(path).st_mtime for path in paths if path)


def make_openssl_context(files: Tls) -> SSL.Context:
    """Create a server context for Twisted; raises SSL.Error or OSError for invalid files."""
    context = SSL.Context(SSL.TLS_SERVER_METHOD)
    context.set_min_proto_version(MIN_VERSION)
    context.use_certificate_chain_file(files.certificate)
    context.use_privatekey_file(files.key)
    context.check_privatekey()
    if files.authority:
        context.load_verify_locations(files.authority)
    if files.require_client:
        mode = SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT
        context.set_verify(mode, lambda _conn, _cert, _err, _depth, is_valid: bool(is_valid))
    return context


@implementer(IOpenSSLContextFactory)
class ReloadingContext:
    """Context factory for Twisted that reloads changed files; keeps the last valid context."""

    def __init__(self, files: Tls) -> None:
        self._files = files
        self._mtimes = mtimes(files)
        self._context = make_openssl_context(files)
        self.reloads = 0

    def getContext(self) -> SSL.Context:
        """The context for a new connection."""
        try:
            changed = mtimes(self._files)
            if changed != self._mtimes:
                self._context = make_openssl_context(self._files)
                self._mtimes = changed
                self.reloads += 1
        except (OSError, SSL.Error):
            # Files are being replaced: the next connection retries.
            return self._context
        return self._context


class PeerTls:
    """Contexts for grpclib with mutual authentication; reloaded in place."""

    def __init__(self, files: Tls) -> None:
        self._files = files
        self._mtimes = mtimes(files)
        self.server = self._make(ssl.Purpose.CLIENT_AUTH)
        self.client = self._make(ssl.Purpose.SERVER_AUTH)

    def _make(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        context = ssl.create_default_context(purpose, cafile=self._files.authority or None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self._files.certificate, self._files.key)
        context.set_alpn_protocols(["h2"])
        context.verify_mode = ssl.CERT_REQUIRED
        return context

    def refresh(self) -> bool:
        """Reload changed files for new connections; returns whether it did."""
        try:
            changed = mtimes(self._files)
            if changed == self._mtimes:
                return False
            for context in (self.server, self.client):
                context.load_cert_chain(self._files.certificate, self._files.key)
                if self._files.authority:
                    context.load_verify_locations(self._files.authority)
        except (OSError, ssl.SSLError):
            return False
        self._mtimes = changed
        return True


def twisted_tls(files: Tls | None) -> Any:
    """The argument of WebServer.listen; None for plain text."""
    return ReloadingContext(files) if files is not None else None
