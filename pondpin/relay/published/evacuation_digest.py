"""Orders to evacuate data centres, as instances know them and send them to each other."""

import msgspec


class EvacuationOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order that the source had in an epoch; revision: of its write.

    is_new: it was written in that epoch, and isn't in the copy that the epoch began with.
    """

    data_center: str
    epoch: int
    revision: int
    is_new: bool = False


class EndedOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order that ended in an epoch; revision: of its write."""

    data_center: str
    epoch: int
    revision: int


class EvacuationsDigest(msgspec.Struct, frozen=True, array_like=True):
    """All orders known at a revision of the source, see evacuations.py."""

    epoch: int
    revision: int
    orders: tuple[EvacuationOrder, ...] = ()
    ended: tuple[EndedOrder, ...] = ()
