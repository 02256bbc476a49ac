"""Takes what upstreams say of their limits, and tells words of theirs that nobody reads."""

from collections.abc import Callable

from pondpin.limits import LimitWord, hear_limit, told_limit
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

# Words that nothing reads are told for so many lives and names.
MAX_UNKNOWN_HEADERS = 1000


class LimitHandler:
    """Notes and tells limits."""

    def __init__(
        self, table: UpstreamTable, log: EventLog, tell_peers: Callable[[int, float], None]
    ) -> None:
        self._table = table
        self._log = log
        self._tell_peers = tell_peers
        # Lives and names of words, or values, that were told as not understood.
        self._told_odd: set[tuple[int, str]] = set()

    def handle_head(self, life: int, asked: SentRequest, said: ResponseHead, now: float) -> None:
        """Take what an answer says of its upstream's limit, and tell words that nobody reads."""
        self._tell_unknown(life, said)
        self._hear_limit(life, asked, said, now)

    def _hear_limit(self, life: int, asked: SentRequest, said: ResponseHead, now: float) -> None:
        """Take what an answer says of a limit, also that it names none any more.

        Only answers to requests prove the latter: whether others name it is not known. A limit of 0
        lets none through, so there a liveness check's answer lifts it too, and the next request
        shows whether that was right.
        """
        notice = said.notice
        if notice.odd_limit and self._is_news(life, f"limit {notice.odd_limit}"):
            standing = self._table.standings.of(life)
            self._tell_limit(life, told_limit(standing.limit), asked.purpose, notice.odd_limit)
        if notice.limit is None and not self._may_lift(life, asked, notice):
            return
        before = told_limit(self._table.standings.of(life).limit)
        word = LimitWord(notice.limit, asked.sent_at, now, ANSWER_SOURCE)
        if hear_limit(self._table.standings, life, word, now):
            self._tell_limit(life, before, asked.purpose)
            self._tell_peers(life, now)

    def _may_lift(self, life: int, asked: SentRequest, notice: Notice) -> bool:
        """Whether an answer that names no limit proves that none holds any more."""
        known = self._table.standings.by_life.get(life)
        if notice.odd_limit or known is None or known.limit is None:
            return False
        if asked.purpose == REQUEST:
            return True
        return asked.purpose == LIVENESS_CHECK and known.limit.limit == 0

    def _tell_limit(self, life: int, before: float, answer: str, odd: str = "") -> None:
        word = self._table.standings.of(life).limit
        self._log.write(
            UpstreamLimit(
                upstream=self._table.label_of(life),
                life=f"{life:x}",
                limit=told_limit(word),
                before=before,
                source=ANSWER_SOURCE if word is None else word.source,
                answer=answer,
                odd=odd[:MAX_LOGGED_CHARACTERS],
            )
        )

    def _tell_unknown(self, life: int, said: ResponseHead) -> None:
        for name, value in said.unknown_headers:
            if self._is_news(life, name):
                self._log.write(
                    UnknownUpstreamHeader(
                        upstream=self._table.label_of(life),
                        life=f"{life:x}",
                        name=name[:MAX_LOGGED_CHARACTERS],
                        value=value[:MAX_LOGGED_CHARACTERS],
                    )
                )

    def _is_news(self, life: int, name: str) -> bool:
        """Whether something that isn't understood is to be told: once, and of so many only."""
        key = (life, name[:MAX_LOGGED_CHARACTERS])
        if key in self._told_odd or len(self._told_odd) >= MAX_UNKNOWN_HEADERS:
            return False
        self._told_odd.add(key)
        return True
