"""Logs metadata of the source's answers."""

from collections.abc import Callable

from pondpin.relay.log import EventLog
from pondpin.relay.ports import SourceHead
from pondpin.relay.published.freshness import PublishedVersion

# Bounds the log and memory if the source keeps inventing header names.
MAX_UNKNOWN_HEADERS = 20
LOGGED_CHARACTERS = 80
# The logged name of an epoch that can't be parsed.
EPOCH = "epoch"


class SourceMonitor:
    """Tracks unknown headers and the source's revision."""

    def __init__(self, log: EventLog, on_epoch: Callable[[int], None] = lambda epoch: None) -> None:
        self._log = log
        self._on_epoch = on_epoch
        self._logged_names: set[str] = set()
        self._last_revision = 0

    def receive_head(self, head: SourceHead) -> None:
        """Report the epoch; log unknown headers and invalid epochs once."""
        self._on_epoch(head.epoch)
        if head.invalid_epoch:
            self._log_once(EPOCH, head.invalid_epoch)
        for name, value in head.unknown_headers:
            self._log_once(name, value)

    def _log_once(self, name: str, value: str) -> None:
        from pondpin.relay.published.source_events import UnknownHeader

        logged = name[:LOGGED_CHARACTERS]
        if logged not in self._logged_names and len(self._logged_names) < MAX_UNKNOWN_HEADERS:
            self._logged_names.add(logged)
            self._log.write(UnknownHeader(name=logged, value=value[:LOGGED_CHARACTERS]))

    def receive_revision(self, revision: int, epoch: int, in_force: PublishedVersion) -> None:
        """Log a source revision lower than the previous one."""
        if revision < self._last_revision:
            from pondpin.relay.published.source_events import SourceRewound

            self._log.write(
                SourceRewound(
                    before=self._last_revision,
                    revision=revision,
                    epoch=epoch,
                    version=in_force.version,
                    in_force=in_force.revision,
                )
            )
        self._last_revision = revision
