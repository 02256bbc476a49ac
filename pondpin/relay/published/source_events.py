"""Events of the structured log about the source's epochs, revisions and headers."""

from pondpin.metrics import Metrics
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import LogEvent
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.reports import EpochChange, Report


class SourceRewound(LogEvent, frozen=True, kw_only=True, tag="source_rewound"):
    """The source's revision decreased.

    version and in_force are the version and revision of the configuration in force here.
    """

    before: int
    revision: int
    epoch: int
    version: int
    in_force: int


class EpochBegan(LogEvent, frozen=True, kw_only=True, tag="epoch"):
    """The source has a later epoch: it was restored from a copy.

    source is "its answer" or the peer that named the epoch. version and revision are those of the
    configuration in force here.
    """

    epoch: int
    before: int
    source: str
    version: int
    revision: int


class ConfigurationLeftOut(LogEvent, frozen=True, kw_only=True, tag="left_out"):
    """A configuration with a lower version than the one in force is ignored."""

    version: int
    epoch: int
    revision: int
    in_force: int


class ListEntriesLeftOut(LogEvent, frozen=True, kw_only=True, tag="entries_left_out"):
    """Counts of ignored entries of a restored list: older ones, and those of removed upstreams."""

    epoch: int
    older: int
    gone: int


class UnknownHeader(LogEvent, frozen=True, kw_only=True, tag="unknown_header"):
    """A header of the source's answer that is not understood; logged once per name."""

    name: str
    value: str


def log_report(report: Report, in_force: PublishedVersion, metrics: Metrics, log: EventLog) -> None:
    """Write a publication's report to the log and the metrics."""
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
