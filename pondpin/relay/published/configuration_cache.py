"""Versions of published configurations by the hash of their content."""

from collections import OrderedDict
from collections.abc import Callable

from pondpin.relay.model import RelayConfiguration
from pondpin.relay.published.documents import PublishedItem, hash_content
from pondpin.relay.published.freshness import PublishedVersion

# A restored source may publish a version that was in force several changes ago.
MAX_CACHED_VERSIONS = 32


class ConfigurationCache:
    """Caches the version of each content."""

    def __init__(
        self, decode: Callable[[bytes], RelayConfiguration], on_invalid: Callable[[str, str], None]
    ) -> None:
        """on_invalid receives the key and reason once for each content that can't be decoded."""
        self._decode = decode
        self._on_invalid = on_invalid
        # None for invalid content.
        self._version_by_content: OrderedDict[int, int | None] = OrderedDict()
        self._last_decoded: tuple[int, RelayConfiguration] | None = None

    def version_of(self, item: PublishedItem) -> PublishedVersion | None:
        """The version of a configuration; None if it is invalid."""
        content = hash_content(item.value)
        if content not in self._version_by_content:
            self._version_by_content[content] = self._decode_version(item, content)
            while len(self._version_by_content) > MAX_CACHED_VERSIONS:
                self._version_by_content.popitem(last=False)
        version = self._version_by_content[content]
        if version is None:
            return None
        return PublishedVersion(version, item.epoch, item.revision, content)

    def decode(self, item: PublishedItem, content: int) -> RelayConfiguration:
        """Return a valid configuration, usually decoded already by version_of."""
        decoded, self._last_decoded = self._last_decoded, None
        if decoded is not None and decoded[0] == content:
            return decoded[1]
        return self._decode(item.value)

    def _decode_version(self, item: PublishedItem, content: int) -> int | None:
        try:
            configuration = self._decode(item.value)
        except ValueError as error:
            self._on_invalid(item.key, str(error))
            return None
        self._last_decoded = (content, configuration)
        return configuration.version
