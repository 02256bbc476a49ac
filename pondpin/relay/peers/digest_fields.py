"""What of a digest is news, and how ages are told."""

from dataclasses import dataclass

from pondpin.relay.peers.digests import MILLISECONDS, Digest


@dataclass(frozen=True, slots=True)
class LastMessage:
    """The last message of an instance on its long prompts."""

    boot: int
    sequence: int

    def last_sequence(self, boot: int) -> int:
        """The sequence after which a message of some boot is news."""
        return self.sequence if boot == self.boot else -1


def urgent_fields(digest: Digest) -> tuple[object, ...]:
    """What of a digest peers need to hear without delay; ages grow by themselves, limits are told
    at once elsewhere.
    """
    work = tuple(
        (
            item.life,
            item.in_flight,
            item.light,
            item.tokens,
            len(item.prefills),
            sum(read.is_overdue for read in item.prefills),
            item.decode_streams,
        )
        for item in digest.work
    )
    told = (
        digest.epoch,
        digest.version,
        digest.version_epoch,
        digest.revision,
        digest.list_tag,
        digest.leaving,
        len(digest.ejected),
    )
    waiting = tuple(item.key for item in digest.waiting)
    return (*told, digest.reads_source, work, waiting, digest.issues_permits)


def round_up_ms(seconds: float) -> int:
    """Milliseconds that never tell an age too small; -1 for a negative one."""
    return -1 if seconds < 0 else int(seconds * MILLISECONDS) + 1
