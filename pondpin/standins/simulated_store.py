"""The users' store without sockets, for fleets that play in virtual time."""

from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from pondpin.standins.store_state import NOT_FOUND, StoreAnswer, StoreState


@dataclass(kw_only=True)
class SimulatedStore(StoreState):
    """Answers calls by their address; away: it answers nobody."""

    away: bool = False
    # The calls, where a list is given.
    calls: list[str] | None = None

    def answer(self, url: str) -> StoreAnswer:
        """Status and document of a call."""
        if self.calls is not None:
            self.calls.append(url)
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path.endswith("/kv-key"):
            return self.read_key(query["tlsKey"])
        if parts.path.endswith("/kv-range"):
            return self.read_range(query["pathPrefix"], query.get("sinceRevision", ""))
        if parts.path.endswith("/kv-watch"):
            return self.read_watch(query["pathPrefix"], int(query["sinceRevision"]))
        return StoreAnswer(NOT_FOUND, {})
