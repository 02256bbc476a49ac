"""What follows when the list shows a later life of an upstream."""

from pondpin.http_client import HttpClient
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamRestarted
from pondpin.relay.upstreams.table import Restart, UpstreamTable
from pondpin.runtime import wall_now

MILLISECONDS = 1000.0


def handle_restart(
    restart: Restart, table: UpstreamTable, http: HttpClient, log: EventLog, now: float
) -> None:
    """Drop idle connections of the earlier life, which may have crashed silently."""
    for listed in (restart.earlier, restart.later):
        http.close_idle(listed.host, listed.port)
    _inherit_rest(restart, table, now)
    later = restart.later
    log.write(UpstreamRestarted(upstream=later.id, born=later.born))


def _inherit_rest(restart: Restart, table: UpstreamTable, now: float) -> None:
    """Answers don't name their life: until the list shows the later one, what that one asks for is
    recorded of the earlier one.
    """
    born = restart.later.born
    if born is None:
        return
    age = wall_now() - born / MILLISECONDS
    standings = table.standings
    earlier, later = (
        standings.get_or_create(restart.earlier.life),
        standings.get_or_create(restart.later.life),
    )
    later.inherit_rest(earlier, now - age)
