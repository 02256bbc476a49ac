"""Logs what the source's answers say beside the published values."""

from collections.abc import Callable

from pondpin.relay.log import EventLog
from pondpin.relay.ports import SourceHead
from pondpin.relay.published.freshness import PublishedVersion

# Bounds the log and the memory against a source that makes names up.
MAX_UNKNOWN_HEADERS = 20
LOGGED_CHARACTERS = 80
# The name under which an odd epoch is logged.
EPOCH = "epoch"


class SourceMonitor:
    """Follows headers that nothing reads, and the source's revision."""

    def __init__(self, log: EventLog, on_epoch: Callable[[int], None] = lambda epoch: None) -> None:
        """on_epoch: receives the epoch that each answer names."""
        self._log = log
        self._on_epoch = on_epoch
        self._logged: set[str] = set()
        self._highest = 0

    def receive_head(self, head: SourceHead) -> None:
        """Pass the epoch on; log unknown headers and odd epochs once."""
        self._on_epoch(head.epoch)
        if head.odd_epoch:
            self._log_once(EPOCH, head.odd_epoch)
        for name, value in head.unknown:
            self._log_once(name, value)

    def _log_once(self, name: str, value: str) -> None:
        from pondpin.relay.published.source_events import UnknownHeader

        logged = name[:LOGGED_CHARACTERS]
        if logged not in self._logged and len(self._logged) < MAX_UNKNOWN_HEADERS:
            self._logged.add(logged)
            self._log.write(UnknownHeader(name=logged, value=value[:LOGGED_CHARACTERS]))

    def receive_revision(self, revision: int, epoch: int, in_force: PublishedVersion) -> None:
        """Log a source revision that is lower than one before."""
        if revision < self._highest:
            from pondpin.relay.published.source_events import SourceRewound

            self._log.write(
                SourceRewound(
                    before=self._highest,
                    revision=revision,
                    epoch=epoch,
                    version=in_force.version,
                    in_force=in_force.revision,
                )
            )
        self._highest = revision
