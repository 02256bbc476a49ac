"""Chooses the engine of a request: pure functions over frozen views of engines."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pondpin.cost_model import StepCosts
from pondpin.policies import PlacementPolicy
from pondpin.prompts import blocks_of

HITS_COMPARED = 2
GROUP_FILL = 0.95


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine as this instance believes it to be now.

    ahead_by_priority: prompt tokens queued there, by priority; chunk_tokens: the most that one
    step processes. tokens and blocks are counts.

    """

    id: str
    group: str
    blocks: int
    block_tokens: int
    free_blocks: int
    ahead_by_priority: tuple[tuple[int, int], ...]
    outstanding: int
    running: int
    mean_context: float
    costs: StepCosts
    chunk_tokens: int = 8192
    distance_seconds: float = 0.0

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens queued there, of all priorities."""
        return sum(tokens for _, tokens in self.ahead_by_priority)

    def ahead_of(self, priority: int) -> int:
        """Queued prompt tokens that go before a new request of a priority."""
        return sum(tokens for level, tokens in self.ahead_by_priority if level >= priority)


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an engine."""

    prompt_tokens: int
    max_tokens: int
    priority: int
    long: bool
    hit_tokens_by_engine: dict[str, int]

    @property
    def tokens(self) -> int:
        """Prompt and answer together."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True)
class Prediction:
    """What placing a request on an engine would mean, in seconds."""

    engine: str
    first_token: float
    token_gap: float
    finish: float
    score: float
    fits: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """The engines chosen, lead first, the prediction, and what was compared."""

    engines: tuple[str, ...]
    prediction: Prediction
    compared: tuple[Prediction, ...]


def predict(view: EngineView, demand: Demand, members: int = 1) -> Prediction:
    """Predict time to first token and to the end on an engine, or on a group led by it."""
    hit = min(demand.hit_tokens_by_engine.get(view.id, 0), demand.prompt_tokens - 1)
    own = (demand.prompt_tokens - hit) / members
    first_token = view.distance_seconds + _prefill_seconds(view, demand.priority, own)
    context = view.mean_context + demand.prompt_tokens / members
    token_gap = view.costs.step_seconds(0, view.running + 1, context)
    finish = first_token + demand.max_tokens * token_gap
    needed = blocks_of(-(-demand.tokens // members), view.block_tokens)
    fits = needed <= view.free_blocks
    score = first_token + (0.0 if fits else finish)
    return Prediction(view.id, first_token, token_gap, finish, score, fits)


def _prefill_seconds(view: EngineView, priority: int, own: float) -> float:
    """Time until a new prompt is processed.

    The engine fills each step up to its chunk, with work of lower priority too; a new
    request waits for half a step in progress on average, and its own last step is as full.
    """
    costs, chunk = view.costs, view.chunk_tokens
    ahead = view.ahead_of(priority)
    behind = view.queued_tokens - ahead
    overhead = costs.step_seconds(0, view.running, view.mean_context)
    steps = math.ceil((ahead + own) / chunk)
    filling = min(behind, steps * chunk - ahead - own)
    in_progress = min(chunk, view.queued_tokens) * costs.prefill + overhead
    waiting = in_progress / 2 if view.queued_tokens or view.running else 0.0
    return waiting + (ahead + own + filling) * costs.prefill + steps * overhead


def members_needed(views: Sequence[EngineView], demand: Demand) -> int:
    """How many engines of the smallest usable size hold the request; 1 when one does."""
    largest = max(view.blocks for view in views)
    block_tokens = views[0].block_tokens
    blocks = blocks_of(demand.tokens, block_tokens)
    if blocks <= largest:
        return 1
    usable = max(1, int(largest * GROUP_FILL))
    return -(-blocks // usable)


class Policy(Protocol):
    """A way to choose among engines that may take a request."""

    def choose(self, views: Sequence[EngineView], demand: Demand, rng: random.Random) -> Choice:
        """Choose one of at least one view."""
        ...


class RandomPolicy:
    """Baseline: any engine, each as likely as the others."""

    def choose(self, views: Sequence[EngineView], demand: Demand, rng: random.Random) -> Choice:
        """See Policy."""
        return _just(rng.choice(views), demand)


class RoundRobinPolicy:
    """Baseline: each engine in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, views: Sequence[EngineView], demand: Demand, rng: random.Random) -> Choice:
        """See Policy."""
        self._turn += 1
        return _just(views[self._turn % len(views)], demand)


class LeastOutstandingPolicy:
    """Baseline: the engine with the fewest requests of this instance."""

    def choose(self, views: Sequence[EngineView], demand: Demand, rng: random.Random) -> Choice:
        """See Policy."""
        fewest = min(view.outstanding for view in views)
        tied = [view for view in views if view.outstanding == fewest]
        return _just(rng.choice(tied), demand)


class PredictedPolicy:
    """The engine with the lowest score.

    Only a random few are compared, and those with prefix hits, so that instances with
    equally stale reports do not all choose the same one.
    """

    def __init__(self, choices: int) -> None:
        self._choices = choices

    def choose(self, views: Sequence[EngineView], demand: Demand, rng: random.Random) -> Choice:
        """See Policy."""
        compared = [predict(view, demand) for view in self._sample(views, demand, rng)]
        best = min(compared, key=lambda item: (not item.fits, item.score, item.engine))
        return Choice((best.engine,), best, tuple(compared))

    def _sample(
        self, views: Sequence[EngineView], demand: Demand, rng: random.Random
    ) -> Sequence[EngineView]:
        if self._choices == 0 or len(views) <= self._choices:
            return views
        hits = [view for view in views if demand.hit_tokens_by_engine.get(view.id, 0) > 0]
        hits.sort(key=lambda view: -demand.hit_tokens_by_engine[view.id])
        drawn = rng.sample(list(views), self._choices)
        return list({view.id: view for view in (*hits[:HITS_COMPARED], *drawn)}.values())


def _just(view: EngineView, demand: Demand) -> Choice:
    prediction = predict(view, demand)
    return Choice((view.id,), prediction, (prediction,))


def make_policy(name: PlacementPolicy, choices: int = 0) -> Policy:
    """The policy of a name; choices is how many engines it compares, 0 for all."""
    match name:
        case PlacementPolicy.RANDOM:
            return RandomPolicy()
        case PlacementPolicy.ROUND_ROBIN:
            return RoundRobinPolicy()
        case PlacementPolicy.LEAST_OUTSTANDING:
            return LeastOutstandingPolicy()
        case PlacementPolicy.PREDICTED:
            return PredictedPolicy(choices)


def choose_group(views: Sequence[EngineView], demand: Demand) -> Choice | None:
    """Choose the members of a group for a prompt larger than one engine; None without room.

    Members come from one configured group and are in order of name: instances that compete
    reserve in that order, so that none can wait for another in a circle.
    """
    members = members_needed(views, demand)
    best: Choice | None = None
    for group in sorted({view.group for view in views if view.group}):
        fitting = _roomy_members(views, group, demand, members)
        if len(fitting) < members:
            continue
        fitting.sort(key=lambda view: (predict(view, demand, members).score, view.id))
        chosen = sorted(fitting[:members], key=lambda view: view.id)
        # A group goes at the pace of its slowest member.
        slowest = max(
            (predict(view, demand, members) for view in chosen),
            key=lambda item: item.score,
        )
        if best is None or slowest.score < best.prediction.score:
            best = Choice(tuple(view.id for view in chosen), slowest, (slowest,))
    return best


def _roomy_members(
    views: Sequence[EngineView], group: str, demand: Demand, members: int
) -> list[EngineView]:
    share = -(-demand.tokens // members)
    return [
        view
        for view in views
        if view.group == group and blocks_of(share, view.block_tokens) <= view.free_blocks
    ]


@dataclass(frozen=True, slots=True)
class EngineSize:
    """An engine's memory, and the group that it may join."""

    group: str
    blocks: int
    block_tokens: int


def largest_prompt(sizes: Iterable[EngineSize]) -> int:
    """Tokens that the largest engine or group can hold at all."""
    single = 0
    totals: dict[str, int] = {}
    for size in sizes:
        single = max(single, size.blocks * size.block_tokens)
        if size.group:
            usable = int(size.blocks * GROUP_FILL) * size.block_tokens
            totals[size.group] = totals.get(size.group, 0) + usable
    return max(single, *totals.values()) if totals else single
