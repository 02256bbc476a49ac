"""Which version a published configuration is, by its content."""

from collections import OrderedDict
from collections.abc import Callable

from pondpin.relay.model import RelayConfiguration
from pondpin.relay.published.documents import PublishedItem, hash_content
from pondpin.relay.published.freshness import PublishedVersion

# A restored copy may hold a version that was in force some changes ago.
KEPT_CONTENTS = 32


class ConfigurationCache:
    """Decodes each content once, and remembers its version."""

    def __init__(
        self,
        decode: Callable[[bytes], RelayConfiguration],
        on_unsound: Callable[[str, str], None],
    ) -> None:
        """on_unsound: receives key and reason of each content that can't be decoded, once."""
        self._decode = decode
        self._on_unsound = on_unsound
        # None for a content that isn't sound.
        self._version_by_content: OrderedDict[int, int | None] = OrderedDict()
        self._last: tuple[int, RelayConfiguration] | None = None

    def version_of(self, item: PublishedItem) -> PublishedVersion | None:
        """The version of a configuration; None for one that isn't sound."""
        content = hash_content(item.value)
        if content not in self._version_by_content:
            self._version_by_content[content] = self._decode_version(item, content)
            while len(self._version_by_content) > KEPT_CONTENTS:
                self._version_by_content.popitem(last=False)
        version = self._version_by_content[content]
        if version is None:
            return None
        return PublishedVersion(version, item.epoch, item.revision, content)

    def decode(self, item: PublishedItem, content: int) -> RelayConfiguration:
        """The decoded configuration of a sound content."""
        last, self._last = self._last, None
        if last is not None and last[0] == content:
            return last[1]
        return self._decode(item.value)

    def _decode_version(self, item: PublishedItem, content: int) -> int | None:
        try:
            configuration = self._decode(item.value)
        except ValueError as error:
            self._on_unsound(item.key, str(error))
            return None
        self._last = (content, configuration)
        return configuration.version
