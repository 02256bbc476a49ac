"""Handling of the limits that upstreams report, and logging of their unknown headers."""

from collections.abc import Callable

from pondpin.notices import Notice
from pondpin.relay.limit_events import UnknownUpstreamHeader, UpstreamLimit
from pondpin.relay.log import EventLog
from pondpin.relay.model import ResponseHead
from pondpin.relay.upstreams.notice_handler import (
    ANSWER_SOURCE,
    LIVENESS_CHECK,
    MAX_LOGGED_CHARACTERS,
    REQUEST,
    SentRequest,
)
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import LimitReport, apply_limit, limit_number

# Bound on logged pairs of a life and an unknown header or invalid value.
MAX_UNKNOWN_HEADERS = 1000


class LimitHandler:
    """Records, logs and broadcasts limits."""

    def __init__(
        self, table: UpstreamTable, log: EventLog, broadcast: Callable[[int, float], None]
    ) -> None:
        self._table = table
        self._log = log
        self._broadcast = broadcast
        # Lives and names of the unknown headers, or invalid limits, that were logged.
        self._logged: set[tuple[int, str]] = set()

    def handle_head(self, life: int, request: SentRequest, head: ResponseHead, now: float) -> None:
        """Apply an answer's limit, and log its unknown headers."""
        self._log_unknown(life, head)
        self._apply_limit(life, request, head, now)

    def _apply_limit(self, life: int, request: SentRequest, head: ResponseHead, now: float) -> None:
        """Apply a reported limit, or lift the known one if an answer reports none any more.

        Only answers to requests lift a limit: whether other answers ever report it is unknown. A
        limit of 0 lets no request through, so an answer to a liveness check lifts it too, and the
        next request shows whether that was right.
        """
        notice = head.notice
        if notice.invalid_limit and self._should_log(life, f"limit {notice.invalid_limit}"):
            standing = self._table.availability_table.get_or_create(life)
            self._log_limit(
                life, limit_number(standing.limit), request.purpose, notice.invalid_limit
            )
        if notice.limit is None and not self._may_lift(life, request, notice):
            return
        before = limit_number(self._table.availability_table.get_or_create(life).limit)
        stated = LimitReport(notice.limit, request.sent_at, now, ANSWER_SOURCE)
        if apply_limit(self._table.availability_table, life, stated, now):
            self._log_limit(life, before, request.purpose)
            self._broadcast(life, now)

    def _may_lift(self, life: int, request: SentRequest, notice: Notice) -> bool:
        known = self._table.availability_table.by_life.get(life)
        if notice.invalid_limit or known is None or known.limit is None:
            return False
        if request.purpose == REQUEST:
            return True
        return request.purpose == LIVENESS_CHECK and known.limit.limit == 0

    def _log_limit(self, life: int, before: float, purpose: str, odd: str = "") -> None:
        stated = self._table.availability_table.get_or_create(life).limit
        self._log.write(
            UpstreamLimit(
                upstream=self._table.label_of(life),
                life=f"{life:x}",
                limit=limit_number(stated),
                before=before,
                source=ANSWER_SOURCE if stated is None else stated.source,
                answer=purpose,
                odd=odd[:MAX_LOGGED_CHARACTERS],
            )
        )

    def _log_unknown(self, life: int, head: ResponseHead) -> None:
        for name, value in head.unknown_headers:
            if self._should_log(life, name):
                self._log.write(
                    UnknownUpstreamHeader(
                        upstream=self._table.label_of(life),
                        life=f"{life:x}",
                        name=name[:MAX_LOGGED_CHARACTERS],
                        value=value[:MAX_LOGGED_CHARACTERS],
                    )
                )

    def _should_log(self, life: int, name: str) -> bool:
        key = (life, name[:MAX_LOGGED_CHARACTERS])
        if key in self._logged or len(self._logged) >= MAX_UNKNOWN_HEADERS:
            return False
        self._logged.add(key)
        return True
