"""Reloads the TLS files of the peer protocol when they change."""

from absl import logging

from pondpin.controllers.base import Controller
from pondpin.tls import PeerTls

PERIOD_SECONDS = 5.0


class TlsReloadController(Controller):
    """Checks the files periodically; other listeners check them at each new connection."""

    period = PERIOD_SECONDS

    def __init__(self, files: PeerTls) -> None:
        super().__init__()
        self._files = files

    async def step(self) -> None:
        """Reload the files if they changed."""
        if self._files.refresh():
            logging.info("peer TLS files reloaded")
