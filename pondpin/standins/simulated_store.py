"""The users' store without sockets, for fleets that play in virtual time."""

import base64
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec


@dataclass
class SimulatedStore:
    """The published values; every change raises the revision."""

    revision: int = 0
    value_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    def put(self, key: str, value: object) -> int:
        """Write an item."""
        self.revision += 1
        self.value_by_key[key] = (self.revision, msgspec.json.encode(value))
        return self.revision

    def answer(self, url: str) -> tuple[int, bytes]:
        """Status and body of a call."""
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path.endswith("/kv-key"):
            return self._item(query["tlsKey"])
        if parts.path.endswith("/kv-range"):
            found = self._under(query["pathPrefix"], 0)
            return 200, msgspec.json.encode({"items": found, "more": False, "at": self.revision})
        if parts.path.endswith("/kv-watch"):
            found = self._under(query["pathPrefix"], int(query["sinceRevision"]))
            return 200, msgspec.json.encode({"events": found, "at": self.revision})
        return 404, b""

    def _item(self, key: str) -> tuple[int, bytes]:
        if key not in self.value_by_key:
            return 404, b"{}"
        return 200, msgspec.json.encode(self._describe(key) | {"at": self.revision})

    def _under(self, prefix: str, above: int) -> list[dict[str, object]]:
        return [
            self._describe(key)
            for key, (revision, _) in sorted(self.value_by_key.items())
            if key.startswith(prefix) and revision > above
        ]

    def _describe(self, key: str) -> dict[str, object]:
        revision, value = self.value_by_key[key]
        text = base64.b64encode(value).decode()
        return {"tlsKey": key, "value": text, "revision": revision}
