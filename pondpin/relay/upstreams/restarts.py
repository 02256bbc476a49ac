"""Handling of upstreams that the list shows with a later life."""

from pondpin.http_client import HttpClient
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamRestarted
from pondpin.relay.upstreams.table import Restart, UpstreamTable
from pondpin.runtime import wall_now

MS_PER_SECOND = 1000.0


def handle_restart(
    restart: Restart, table: UpstreamTable, http: HttpClient, log: EventLog, now: float
) -> None:
    """Close idle connections, since the earlier life may have crashed silently."""
    for listed in (restart.earlier, restart.later):
        http.close_idle(listed.host, listed.port)
    _inherit_rest(restart, table, now)
    later = restart.later
    log.write(UpstreamRestarted(upstream=later.id, born=later.born))


def _inherit_rest(restart: Restart, table: UpstreamTable, now: float) -> None:
    """Copy a rest to the later life if that life asked for it.

    Answers don't name their life, so until the list shows the later one, its notices are recorded
    for the earlier one.
    """
    born = restart.later.born
    if born is None:
        return
    age = wall_now() - born / MS_PER_SECOND
    standings = table.availability_table
    earlier, later = (
        standings.get_or_create(restart.earlier.life),
        standings.get_or_create(restart.later.life),
    )
    later.inherit_rest(earlier, now - age)
