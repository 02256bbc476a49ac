"""Reads the peers' TLS files again when they change."""

from absl import logging

from pondpin.controllers.base import Controller
from pondpin.tls import PeerTls

PERIOD_SECONDS = 5.0


class TlsReloadController(Controller):
    """Looks at the files now and then; other listeners look at each new connection."""

    period = PERIOD_SECONDS

    def __init__(self, files: PeerTls) -> None:
        super().__init__()
        self._files = files

    async def step(self) -> None:
        """One look."""
        if self._files.refresh():
            logging.info("peers' TLS files read again")
