"""Where in the platform's history a value was read: epoch and revision as one number that rises.

The platform counts revisions; when it is restored from an older copy a new epoch begins and
revisions are given out again. Tokens, fences and peers carry the one number in the place of a
revision, which it is in epoch 0, that of a platform that names none.
"""

REVISION_BITS = 32
MOST_REVISION = (1 << REVISION_BITS) - 1
# With the part that counts orders, a fence fits a signed machine word.
MOST_EPOCH = (1 << 11) - 1


def position_of(epoch: int, revision: int) -> int:
    """The position of a revision in an epoch; raises ValueError for one out of bounds."""
    if not (0 <= epoch <= MOST_EPOCH and 0 <= revision <= MOST_REVISION):
        raise ValueError(f"no position: epoch {epoch}, revision {revision}")
    return epoch << REVISION_BITS | revision


def epoch_of(position: int) -> int:
    """The epoch of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """The revision of a position within its epoch."""
    return position & MOST_REVISION
