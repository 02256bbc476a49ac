"""Which lives of upstreams are cold after a start, by the latest statement on each.

Statements come from the list, answers to liveness checks, observed starts, lost connections, ended
evacuations and peers. Answers and observations have a time; an entry of the list was written at an
unknown time after the read before. So a statement has the bounds of its time, and where two may
have been made in either order, the one with the longer coldness applies.

A cold life has a temporary limit, for which permits are issued as for reported limits. Times are in
seconds of the steady clock. This module is loaded once a service has a cold rate.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pondpin.availability import MAX_LIVES
from pondpin.pacer import BURST_SECONDS
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import LogEvent
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, RelayConfiguration, Service
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.relay_settings import RelayLimits

ANSWER = "its answer"
LIST = "list"
START = "start"
LOST = "connections lost"
RETURN = "return"
EVACUATION = "evacuation"
# A life that appears this long after the first list has started. Earlier, lists may come from peers
# and lack lives that have run for long; an entry that lapsed is back within 2.4 s.
LIST_SETTLED_SECONDS = 3.0
# Peers' statements are dated when their digest is read, a few ms late.
PEER_DELAY_SECONDS = 0.05
# Two owners that follow one another, or two sides of a partition, may each issue the permits of
# BURST_SECONDS and one more beyond what their rates give in a period.
OWNERS = 2
# A permit may be spent this long after its time: it is valid for 0.5 s after a reply that takes up
# to 0.06 s, and may be issued early.
SPREAD_SECONDS = 0.5 + 0.06 + OWNERS * BURST_SECONDS
# An owner repeats the liveness check of a cold life that gave no answer with its coldness: a check
# counts as a request, and this is 4 % of a rate of 14 a second.
CHECK_SECONDS = 2.0
# The early end of a coldness is sent for this long, which covers a few digests in a large fleet.
ENDED_SEND_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ColdStatement:
    """Until when a life is cold, in the past if it isn't.

    earliest, latest: bounds of the time for which this was stated.
    """

    until: float
    earliest: float
    latest: float
    source: str


class UpstreamCold(LogEvent, frozen=True, kw_only=True, tag="upstream_cold"):
    """An upstream became cold, or ceased to be (remaining 0).

    source: the statement's: "list", "its answer", "start", "connections lost", "return" (after lost
    connections), "evacuation" or a peer. age: seconds since then.
    """

    upstream: str
    life: str
    remaining: float
    source: str
    age: float


def merge_statements(known: ColdStatement | None, new: ColdStatement) -> ColdStatement:
    """Which of two statements applies: the later one; if that is unknown, the longer coldness.

    Differences within the delay of digests don't count: peers send back what they received.
    """
    if known is None or new.earliest > known.latest:
        return new
    if new.latest < known.earliest:
        return known
    return new if new.until > known.until + PEER_DELAY_SECONDS else known


def permit_rate(rate: float, limits: RelayLimits) -> float:
    """Permits a second, so that requests stay within the bound in every second.

    The requests of a second have permits of 1 + SPREAD_SECONDS, and one more for each owner. Rates
    of few requests a second leave no room for a second owner's; then one in two is issued.
    """
    allowed = rate * limits.cold_overage + limits.cold_tolerance
    window = 1.0 + SPREAD_SECONDS
    return min(rate, max((allowed - OWNERS) / window, allowed / (OWNERS * window)))


def update_cold_starts(
    configuration: RelayConfiguration,
    table: UpstreamTable,
    limits: Callable[[], RelayLimits],
    log: EventLog,
    send_urgent: Callable[[], None],
    now: float,
) -> None:
    """Apply a configuration's rates of cold upstreams, unless the mechanism is disabled."""
    if Mechanism.COLD_START in table.without:
        return
    if table.cold_starts is None:
        table.cold_starts = ColdStarts(table, limits, log, send_urgent)
    table.cold_starts.apply_configuration(configuration, now)


class ColdStarts:
    """The cold lives of all services that have a cold rate.

    send_urgent: sends a digest, after this instance observed a cold life.
    """

    def __init__(
        self,
        table: UpstreamTable,
        limits: Callable[[], RelayLimits],
        log: EventLog,
        send_urgent: Callable[[], None],
    ) -> None:
        self._table = table
        self._limits = limits
        self._log = log
        self._send_urgent = send_urgent
        self._service_by_name: Mapping[str, Service] = {}
        self._first_list_at: float | None = None
        # The last entry of each life.
        self._listed_by_life: dict[int, ListedUpstream] = {}
        self.statement_by_life: dict[int, ColdStatement] = {}
        self.cold_lives: set[int] = set()
        # Lives whose connections were lost, until one answers.
        self._lost: set[int] = set()
        # Coldness that ended early, by the time.
        self.ended_at_by_life: dict[int, float] = {}
        self._checked_at_by_life: dict[int, float] = {}

    def apply_configuration(self, configuration: RelayConfiguration, now: float) -> None:
        """Apply a configuration's rates; entries of services that had none count as just read."""
        services = configuration.services_by_name.values()
        self._service_by_name = {item.name: item for item in services if item.cold_rate > 0}
        listed = [state.listed for state in self._table.by_id.values()]
        if listed and self._first_list_at is None:
            self._first_list_at = float("-inf")
        for item in listed:
            is_new = item.life not in self.statement_by_life
            if is_new and item.service in self._service_by_name:
                self._apply_entry(item, float("-inf"), now)
            self._refresh(item.life, now)

    def observe_list(
        self, listed: Iterable[ListedUpstream], read_before: float | None, now: float
    ) -> None:
        """Apply a list; read_before: when the one before was read, None for the first."""
        if self._first_list_at is None:
            self._first_list_at = now
        is_settled = now - self._first_list_at >= LIST_SETTLED_SECONDS
        earliest = float("-inf") if read_before is None else read_before
        for item in listed:
            known = self._listed_by_life.get(item.life)
            service = self._service_by_name.get(item.service)
            if known is item or service is None:
                continue
            if known is None and is_settled:
                seconds = max(service.cold_seconds, item.cold_seconds)
                self.apply(item.life, ColdStatement(now + seconds, earliest, now, START), now)
            self._apply_entry(item, earliest, now)

    def _apply_entry(self, item: ListedUpstream, earliest: float, now: float) -> None:
        self._listed_by_life[item.life] = item
        self.apply(item.life, ColdStatement(now + item.cold_seconds, earliest, now, LIST), now)
        # A peer may have named the life before it was listed here.
        self._refresh(item.life, now)

    def observe_answer(self, life: int, seconds: float | None, sent_at: float, now: float) -> None:
        """Apply an answer to a liveness check that was sent at a time; seconds: None if not stated.

        A life that answers after its connections were lost may have just come back.
        """
        service = self._service_of(life)
        if service is None:
            return
        is_back = life in self._lost
        self._lost.discard(life)
        if seconds is not None:
            statement = ColdStatement(now + seconds, sent_at, now, ANSWER)
        elif is_back:
            statement = ColdStatement(now + service.cold_seconds, sent_at, now, RETURN)
        else:
            return
        was_cold = life in self.cold_lives
        if self.apply(life, statement, now):
            if was_cold:
                self.ended_at_by_life[life] = now
            self._send_urgent()

    def observe_lost(self, life: int, now: float) -> None:
        """Apply refused or reset connections: if the life comes back, it has just started."""
        service = self._service_of(life)
        if service is None:
            return
        self._lost.add(life)
        self._checked_at_by_life.pop(life, None)
        if self.apply(life, ColdStatement(now + service.cold_seconds, now, now, LOST), now):
            self._send_urgent()

    def mark_cold(self, data_center: str, now: float) -> None:
        """Make the upstreams of a data centre cold at the end of its evacuation."""
        for state in self._table.by_id.values():
            service = self._service_by_name.get(state.listed.service)
            if state.listed.data_center == data_center and service is not None:
                until = now + service.cold_seconds
                self.apply(state.life, ColdStatement(until, now, now, EVACUATION), now)

    def apply(self, life: int, statement: ColdStatement, now: float) -> bool:
        """Apply a statement; True if the life becomes cold or ceases to be."""
        known = self.statement_by_life.get(life)
        merged = merge_statements(known, statement)
        if merged is known:
            return False
        self.statement_by_life[life] = merged
        return self._refresh(life, now)

    def _refresh(self, life: int, now: float) -> bool:
        """Set or remove the limit of a listed life; True if it changes whether it is cold."""
        state, statement = self._table.by_life(life), self.statement_by_life.get(life)
        if state is None or statement is None:
            return False
        service = self._service_by_name.get(state.listed.service)
        was_cold = life in self.cold_lives
        if service is None or now >= statement.until:
            if was_cold:
                self._end(life, now)
            return was_cold
        rate = permit_rate(service.cold_rate, self._limits())
        state.availability.set_cold_rate(rate)
        if not was_cold:
            self._table.availability_table.any_limit_reported = True
            self.cold_lives.add(life)
            self.ended_at_by_life.pop(life, None)
            self._log_change(life, statement.until - now, now)
        return not was_cold

    def _end(self, life: int, now: float) -> None:
        self._table.availability_table.get_or_create(life).set_cold_rate(None)
        self.cold_lives.discard(life)
        self._checked_at_by_life.pop(life, None)
        self._log_change(life, 0.0, now)

    def _log_change(self, life: int, remaining: float, now: float) -> None:
        statement = self.statement_by_life[life]
        self._log.write(
            UpstreamCold(
                upstream=self._table.label_of(life),
                life=f"{life:x}",
                remaining=round(remaining, 3),
                source=statement.source,
                age=round(now - statement.latest, 3),
            )
        )

    def expire(self, now: float) -> None:
        """End coldness that is over, and remove the state of lives that left the list."""
        for life in list(self.cold_lives):
            if now >= self.statement_by_life[life].until:
                self._end(life, now)
        self.ended_at_by_life = {
            life: at for life, at in self.ended_at_by_life.items() if now - at < ENDED_SEND_SECONDS
        }
        if len(self.statement_by_life) > MAX_LIVES:
            self._prune()

    def _prune(self) -> None:
        for life in list(self.statement_by_life):
            is_sent = life in self.cold_lives or life in self.ended_at_by_life
            if not is_sent and self._table.by_life(life) is None:
                del self.statement_by_life[life]
                self._listed_by_life.pop(life, None)
                self._lost.discard(life)

    def due_for_check(
        self, now: float, is_owner: Callable[[UpstreamState], bool]
    ) -> list[UpstreamState]:
        """Cold upstreams whose coldness their owner asks by a liveness check.

        Entries may be old, and what looks like a start may be a cut link.
        """
        due = [
            state
            for life in self.cold_lives
            if self.statement_by_life[life].source != ANSWER
            and now - self._checked_at_by_life.get(life, float("-inf")) >= CHECK_SECONDS
            for state in (self._table.by_life(life),)
            if state is not None
            and state.listed.data_center == self._table.data_center
            and not state.block_reason(now)
            and is_owner(state)
        ]
        self._checked_at_by_life |= {state.life: now for state in due}
        return due

    def remaining(self, life: int, now: float) -> float:
        """Seconds until a cold life is no longer cold."""
        return max(0.0, self.statement_by_life[life].until - now)

    def _service_of(self, life: int) -> Service | None:
        state = self._table.by_life(life)
        return None if state is None else self._service_by_name.get(state.listed.service)
