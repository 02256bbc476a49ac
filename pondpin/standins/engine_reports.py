"""What a stand-in engine tells of itself: frames of streams, work that holds memory, its audit."""

import msgspec

from pondpin.engine_protocol import HeldWork, StreamFrame
from pondpin.standins.engine_model import EngineModel, Frame


class Audit(msgspec.Struct, frozen=True):
    """What the engine found out about itself."""

    blocks_held: int
    blocks_leaked: int
    run_twice: int
    cancelled: int
    prefill_tokens: int
    cached_tokens: int
    decode_tokens: int
    live: int
    stale_orders: int


def encode_frame(frame: Frame) -> bytes:
    """One server-sent event."""
    key = frame.key
    message = StreamFrame(
        key.request, key.attempt, frame.offset, frame.text, frame.end, frame.cached
    )
    return b"data: " + msgspec.json.encode(message) + b"\n\n"


def audit_of(model: EngineModel, stale_orders: int) -> Audit:
    """What an engine finds out about itself."""
    totals = model.totals
    return Audit(
        blocks_held=model.held_blocks(),
        blocks_leaked=model.leaked_blocks(),
        run_twice=totals.run_twice,
        cancelled=totals.cancelled,
        prefill_tokens=totals.prefill_tokens,
        cached_tokens=totals.cached_tokens,
        decode_tokens=totals.decode_tokens,
        live=len(model.running) + len(model.waiting),
        stale_orders=stale_orders,
    )


def held_work(model: EngineModel) -> tuple[HeldWork, ...]:
    """Requests and reservations that hold memory, with their holders."""
    requests = [
        HeldWork(
            instance=item.submission.holder.instance,
            incarnation=item.submission.holder.incarnation,
            deadline=item.submission.deadline,
            blocks=item.blocks,
            request=item.submission.key.request,
            attempt=item.submission.key.attempt,
        )
        for item in (*model.running, *model.waiting)
    ]
    reservations = [
        HeldWork(
            instance=item.holder.instance,
            incarnation=item.holder.incarnation,
            deadline=item.deadline,
            blocks=item.blocks,
            reservation=item.name,
        )
        for item in model.reservations_by_name.values()
    ]
    return (*requests, *reservations)
