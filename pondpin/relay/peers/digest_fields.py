"""Order of messages, urgent fields and rounding of ages."""

from dataclasses import dataclass

from pondpin.relay.peers.digests import MILLISECONDS, Digest


@dataclass(frozen=True, slots=True)
class LastMessage:
    """The last message of an instance."""

    boot: int
    sequence: int

    def last_sequence(self, boot: int) -> int:
        """The last sequence of a boot, else -1."""
        return self.sequence if boot == self.boot else -1


def urgent_fields(digest: Digest) -> tuple[object, ...]:
    """Fields whose changes are sent at once; ages always change, limits have their own messages."""
    work = tuple(
        (
            item.life,
            item.in_flight,
            item.light,
            item.tokens,
            len(item.prefills),
            sum(prefill.is_overdue for prefill in item.prefills),
            item.decode_streams,
        )
        for item in digest.work
    )
    published: tuple[object, ...] = (
        digest.epoch,
        digest.version,
        digest.version_epoch,
        digest.revision,
        digest.list_tag,
        digest.leaving,
        len(digest.ejected),
    )
    extension = digest.extension
    if extension is not None and extension.evacuations is not None:
        published += (extension.evacuations.orders, extension.evacuations.ended)
    queued_prompts = tuple(item.key for item in digest.queued_prompts)
    # The latest one comes first; others rotate.
    cold = digest.extension.cold[:1] if digest.extension is not None else ()
    lives = tuple((item.life, item.remaining_ms > 0) for item in cold)
    return (*published, digest.reads_source, work, queued_prompts, digest.issues_permits, lives)


def round_up_ms(seconds: float) -> int:
    """Milliseconds, rounded up to understate no age; -1 for a negative one."""
    return -1 if seconds < 0 else int(seconds * MILLISECONDS) + 1
