"""Lines of the structured log on the history of the source."""

from pondpin.metrics import Metrics
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import LogEvent
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.reports import EpochChange, Report


class SourceRewound(LogEvent, frozen=True, kw_only=True, tag="source_rewound"):
    """The source names a lower revision than before; version and in_force: the configuration's
    version and revision here.
    """

    before: int
    revision: int
    epoch: int
    version: int
    in_force: int


class EpochBegan(LogEvent, frozen=True, kw_only=True, tag="epoch"):
    """The source's history has a later epoch: it was restored from a copy.

    source: "its answer" or the peer that told of it. version, revision: the configuration's here.
    """

    epoch: int
    before: int
    source: str
    version: int
    revision: int


class ConfigurationLeftOut(LogEvent, frozen=True, kw_only=True, tag="left_out"):
    """A configuration of a lower version than the one in force is not used."""

    version: int
    epoch: int
    revision: int
    in_force: int


class ListEntriesLeftOut(LogEvent, frozen=True, kw_only=True, tag="entries_left_out"):
    """A restored list holds older entries of listed upstreams, and entries of gone ones."""

    epoch: int
    older: int
    gone: int


class UnknownHeader(LogEvent, frozen=True, kw_only=True, tag="unknown_header"):
    """An answer of the source has a header about it that nothing reads; logged once a name."""

    name: str
    value: str


def log_report(report: Report, in_force: PublishedVersion, metrics: Metrics, log: EventLog) -> None:
    """Write what a publication reports beside the values that it puts in force."""
    if isinstance(report, EpochChange):
        metrics.source_epoch.set({}, report.epoch)
        log.write(
            EpochBegan(
                epoch=report.epoch,
                before=report.before,
                source=report.source,
                version=in_force.version,
                revision=in_force.revision,
            )
        )
    elif isinstance(report, PublishedVersion):
        metrics.configurations.inc({"source": "platform", "result": "left out"})
        log.write(
            ConfigurationLeftOut(
                version=report.version,
                epoch=report.epoch,
                revision=report.revision,
                in_force=in_force.version,
            )
        )
    else:
        log.write(ListEntriesLeftOut(epoch=report.epoch, older=report.older, gone=report.removed))
