"""The stand-in engine's core: continuous batching, memory and prefix cache, without sockets."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from pondpin.prompts import BLOCK_TOKENS, blocks_of, common_blocks, hash_prefixes

STREAM_KEPT_SECONDS = 30.0
CHARS_PER_TOKEN = 4


def token_text(seed: str, offset: int) -> str:
    """The text of an answer's token: a function of the prompt, so that answers can be checked."""
    return f"{seed}{offset:x} "


def answer_seed(prompt: bytes) -> str:
    """What an answer's tokens start with, from the prompt."""
    return xxhash.xxh3_64_hexdigest(prompt)[:6] + "."


@dataclass(frozen=True, slots=True)
class EngineShape:
    """An engine's size and step costs, in tokens, blocks and seconds."""

    blocks: int = 600
    block_tokens: int = BLOCK_TOKENS
    step_base: float = 0.004
    prefill_per_token: float = 4e-6
    decode_per_sequence: float = 0.0001
    context_per_token: float = 1e-9
    chunk_tokens: int = 8192
    max_running: int = 64


@dataclass(frozen=True, slots=True)
class StreamKey:
    """A caller's request and the number of the attempt at it."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Holder:
    """Who holds memory: an entry instance and its incarnation."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as the engine takes it. deadline is in seconds since the epoch."""

    key: StreamKey
    holder: Holder
    prompt: bytes
    max_tokens: int
    priority: int
    deadline: float
    start_offset: int = 0
    members: int = 1
    reservation: str = ""


@dataclass(frozen=True, slots=True)
class Frame:
    """One token of an answer, or its end, with the end's reason."""

    key: StreamKey
    offset: int
    text: str
    end: str = ""
    cached: int = 0


@dataclass
class Sequence:
    """A request inside the engine."""

    submission: Submission
    arrival: int
    prompt_tokens: int
    hashes: tuple[int, ...]
    blocks: int = 0
    prefilled: int = 0
    cached: int = 0
    offset: int = 0
    frames: list[Frame] = field(default_factory=list)
    ended_at: float = 0.0

    @property
    def prefill_left(self) -> int:
        """Prompt tokens still to be processed."""
        return self.prompt_tokens - self.prefilled

    @property
    def ended(self) -> bool:
        """Whether the last frame is out."""
        return bool(self.frames) and self.frames[-1].end != ""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Blocks kept on a group's member for a prompt that is larger than one engine."""

    name: str
    holder: Holder
    blocks: int
    deadline: float


@dataclass
class Totals:
    """Counters since the engine started."""

    steps: int = 0
    busy_seconds: float = 0.0
    prefill_tokens: int = 0
    decode_tokens: int = 0
    context_tokens: int = 0
    cached_tokens: int = 0
    admitted_blocks: int = 0
    returned_blocks: int = 0
    submitted: int = 0
    run_twice: int = 0
    cancelled: int = 0


class EngineModel:
    """Queues, batches and generates; step takes the present time and returns new frames."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.finished_by_key: dict[StreamKey, Sequence] = {}
        self.reservations_by_name: dict[str, Reservation] = {}
        self.cache: OrderedDict[int, float] = OrderedDict()
        self.cache_events: list[tuple[int, str, int]] = []
        self.totals = Totals()
        self._arrivals = itertools.count()
        self._event_numbers = itertools.count(1)

    def held_blocks(self) -> int:
        """Blocks held by running requests and reservations."""
        running = sum(sequence.blocks for sequence in self.running)
        return running + sum(item.blocks for item in self.reservations_by_name.values())

    def leaked_blocks(self) -> int:
        """Blocks admitted and not returned that nothing live accounts for."""
        return self.totals.admitted_blocks - self.totals.returned_blocks - self.held_blocks()

    def find(self, key: StreamKey) -> Sequence | None:
        """The live or recently finished sequence of a key."""
        for sequence in itertools.chain(self.running, self.waiting):
            if sequence.submission.key == key:
                return sequence
        return self.finished_by_key.get(key)

    def submit(self, submission: Submission) -> Sequence | None:
        """Queue a request; None when its key was seen before."""
        if self.find(submission.key) is not None:
            self.totals.run_twice += 1
            return None
        tokens = max(1, -(-len(submission.prompt) // CHARS_PER_TOKEN))
        block_bytes = self.shape.block_tokens * CHARS_PER_TOKEN
        sequence = Sequence(
            submission=submission,
            arrival=next(self._arrivals),
            prompt_tokens=tokens + submission.start_offset,
            hashes=hash_prefixes(submission.prompt, block_bytes),
            offset=submission.start_offset,
        )
        self.waiting.append(sequence)
        self.totals.submitted += 1
        return sequence

    def blocks_needed(self, sequence: Sequence) -> int:
        """Blocks that the prompt and the whole answer take on this engine."""
        submission = sequence.submission
        tokens = sequence.prompt_tokens + submission.max_tokens - submission.start_offset
        return blocks_of(-(-tokens // submission.members), self.shape.block_tokens)

    def reserve(self, reservation: Reservation) -> bool:
        """Keep blocks for a group; True also when the name already holds them."""
        if reservation.name in self.reservations_by_name:
            return True
        if self.held_blocks() + reservation.blocks > self.shape.blocks:
            return False
        self.reservations_by_name[reservation.name] = reservation
        self.totals.admitted_blocks += reservation.blocks
        self._shrink_cache()
        return True

    def release(self, name: str) -> int:
        """Return a reservation's blocks; 0 when there is none."""
        reservation = self.reservations_by_name.pop(name, None)
        if reservation is None:
            return 0
        self.totals.returned_blocks += reservation.blocks
        return reservation.blocks

    def cancel(self, key: StreamKey, now: float) -> bool:
        """End a request and return its blocks; False when it is not live."""
        sequence = self.find(key)
        if sequence is None or sequence.ended:
            return False
        self.totals.cancelled += 1
        self._end(sequence, "cancelled", now)
        return True

    def step(self, now: float) -> tuple[float, list[Frame]]:
        """Run one batch step; returns its length in seconds and the frames it made."""
        self._admit()
        if not self.running:
            return 0.0, []
        prefill = self._prefill(now)
        frames: list[Frame] = []
        decoding = [item for item in self.running if item.prefill_left == 0]
        context = 0.0
        for sequence in decoding:
            context += (sequence.prompt_tokens + sequence.offset) / sequence.submission.members
            frames.append(self._decode(sequence, now))
        seconds = self.shape.step_base
        seconds += prefill * self.shape.prefill_per_token
        seconds += len(decoding) * self.shape.decode_per_sequence
        seconds += context * self.shape.context_per_token
        self.totals.steps += 1
        self.totals.busy_seconds += seconds
        self.totals.decode_tokens += len(decoding)
        self.totals.context_tokens += round(context)
        return seconds, frames

    def forget_finished(self, now: float) -> None:
        """Drop the kept answers of requests that ended long ago."""
        old = [
            key
            for key, sequence in self.finished_by_key.items()
            if now - sequence.ended_at > STREAM_KEPT_SECONDS
        ]
        for key in old:
            del self.finished_by_key[key]

    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that wait or are in progress."""
        live = itertools.chain(self.running, self.waiting)
        return sum(sequence.prefill_left // sequence.submission.members for sequence in live)

    def queued_by_priority(self) -> tuple[tuple[int, int], ...]:
        """Prompt tokens that wait or are in progress, by priority."""
        tokens: dict[int, int] = {}
        for sequence in itertools.chain(self.running, self.waiting):
            submission = sequence.submission
            left = sequence.prefill_left // submission.members
            if left:
                tokens[submission.priority] = tokens.get(submission.priority, 0) + left
        return tuple(sorted(tokens.items()))

    def _admit(self) -> None:
        """Move waiting requests into the batch while their blocks fit, by priority."""
        self.waiting.sort(key=lambda item: (-item.submission.priority, item.arrival))
        for sequence in list(self.waiting):
            if len(self.running) >= self.shape.max_running:
                return
            reserved = sequence.submission.reservation in self.reservations_by_name
            needed = 0 if reserved else self.blocks_needed(sequence)
            if self.held_blocks() + needed > self.shape.blocks:
                return
            hit = common_blocks(sequence.hashes, self.cache) * self.shape.block_tokens
            sequence.prefilled = min(hit, sequence.prompt_tokens - 1)
            sequence.cached = sequence.prefilled
            self.totals.cached_tokens += sequence.cached
            sequence.blocks = needed
            self.totals.admitted_blocks += needed
            self.waiting.remove(sequence)
            self.running.append(sequence)
            self._shrink_cache()

    def _prefill(self, now: float) -> float:
        """Process prompt tokens up to the chunk, highest priority first; returns how many."""
        budget = float(self.shape.chunk_tokens)
        spent = 0.0
        for sequence in sorted(
            self.running, key=lambda item: (-item.submission.priority, item.arrival)
        ):
            if sequence.prefill_left == 0 or budget < 1:
                continue
            members = sequence.submission.members
            taken = min(sequence.prefill_left, int(budget * members))
            sequence.prefilled += taken
            budget -= taken / members
            spent += taken / members
            if sequence.prefill_left == 0:
                self._remember(sequence.hashes, now)
        self.totals.prefill_tokens += round(spent)
        return spent

    def _decode(self, sequence: Sequence, now: float) -> Frame:
        """Make the next token, or the end."""
        submission = sequence.submission
        if sequence.offset >= submission.max_tokens:
            return self._end(sequence, "length", now)
        text = token_text(answer_seed(submission.prompt), sequence.offset)
        frame = Frame(submission.key, sequence.offset, text)
        sequence.offset += 1
        sequence.frames.append(frame)
        return frame

    def _end(self, sequence: Sequence, reason: str, now: float) -> Frame:
        """Take a request out of the engine and return its blocks."""
        frame = Frame(sequence.submission.key, sequence.offset, "", reason, sequence.cached)
        sequence.frames.append(frame)
        sequence.ended_at = now
        self.totals.returned_blocks += sequence.blocks
        sequence.blocks = 0
        if sequence in self.running:
            self.running.remove(sequence)
        else:
            self.waiting.remove(sequence)
        self.finished_by_key[sequence.submission.key] = sequence
        return frame

    def _remember(self, hashes: tuple[int, ...], now: float) -> None:
        """Put a prompt's blocks in the prefix cache."""
        for value in reversed(hashes):
            if value not in self.cache:
                self._note_event("stored", value)
            self.cache[value] = now
            self.cache.move_to_end(value)
        self._shrink_cache()

    def import_blocks(self, blocks: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Put another engine's blocks in the prefix cache; returns those that are kept."""
        self._remember(blocks, now)
        return tuple(block for block in blocks if block in self.cache)

    def _shrink_cache(self) -> None:
        """Drop the least recently used blocks that no longer fit in free memory."""
        room = max(0, self.shape.blocks - self.held_blocks())
        while len(self.cache) > room:
            value, _ = self.cache.popitem(last=False)
            self._note_event("removed", value)

    def _note_event(self, kind: str, value: int) -> None:
        self.cache_events.append((next(self._event_numbers), kind, value))
        del self.cache_events[:-20000]
