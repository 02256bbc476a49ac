"""Learns an engine's step costs on line from the counters in its load reports.

Least squares with forgetting, drawn towards a prior: directions that the engine's work has
not shown yet (say, the cost of context while all prompts are short) stay at the prior and
do not wander, and an engine that slows is noticed within some reports.
"""

from dataclasses import dataclass, replace

FORGETTING = 0.95
PRIOR_STRENGTH = 1e-3
# Counters are scaled so that the costs of a usual engine are of similar size.
SCALES = (1.0, 1e-3, 1e-2, 1e-5)
SIZE = len(SCALES)
MIN_STEPS = 1

Row = tuple[float, ...]
Matrix = tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class StepCosts:
    """Seconds for each step, prefill token, decoding sequence and token of context."""

    base: float = 0.01
    prefill: float = 1e-5
    decode: float = 2e-4
    context: float = 1e-9

    def step_seconds(self, prefill_tokens: float, decoding: float, context: float) -> float:
        """Length of a step."""
        return (
            self.base
            + prefill_tokens * self.prefill
            + decoding * self.decode
            + context * self.context
        )


@dataclass(frozen=True, slots=True)
class Counters:
    """Counters of an engine since its start."""

    steps: int
    busy_seconds: float
    prefill_tokens: int
    decode_tokens: int
    context_tokens: int


PRIOR = StepCosts()
PRIOR_WEIGHTS = tuple(
    cost / scale
    for cost, scale in zip(
        (PRIOR.base, PRIOR.prefill, PRIOR.decode, PRIOR.context), SCALES, strict=True
    )
)
NO_MOMENTS: Matrix = tuple((0.0,) * SIZE for _ in range(SIZE))


@dataclass(frozen=True, slots=True)
class CostModel:
    """Decayed sums of products of what steps held and how long they took."""

    moments: Matrix = NO_MOMENTS
    products: Row = (0.0,) * SIZE
    costs: StepCosts = PRIOR
    last: Counters | None = None
    mean_context: float = 0.0

    def observe(self, counters: Counters) -> "CostModel":
        """The model after another report; counters that went back mean a restart."""
        last = self.last
        if last is None or counters.steps < last.steps:
            return replace(self, last=counters)
        steps = counters.steps - last.steps
        if steps < MIN_STEPS:
            return replace(self, last=counters)
        context = (counters.context_tokens - last.context_tokens) / steps
        # Per step, so that a window of many steps weighs no more than another.
        row = (
            1.0,
            (counters.prefill_tokens - last.prefill_tokens) / steps * SCALES[1],
            (counters.decode_tokens - last.decode_tokens) / steps * SCALES[2],
            context * SCALES[3],
        )
        seconds = (counters.busy_seconds - last.busy_seconds) / steps
        moments = tuple(
            tuple(FORGETTING * self.moments[i][j] + row[i] * row[j] for j in range(SIZE))
            for i in range(SIZE)
        )
        products = tuple(FORGETTING * self.products[i] + row[i] * seconds for i in range(SIZE))
        return CostModel(moments, products, _find_costs(moments, products), counters, context)


def _find_costs(moments: Matrix, products: Row) -> StepCosts:
    """The costs that explain the observations best; none is negative."""
    matrix = [
        [moments[i][j] + (PRIOR_STRENGTH if i == j else 0.0) for j in range(SIZE)]
        for i in range(SIZE)
    ]
    values = [products[i] + PRIOR_STRENGTH * PRIOR_WEIGHTS[i] for i in range(SIZE)]
    weights = solve(matrix, values)
    base, prefill, decode, context = (
        max(0.0, weight * scale) for weight, scale in zip(weights, SCALES, strict=True)
    )
    return StepCosts(max(base, 1e-5), max(prefill, 1e-9), decode, context)


def solve(matrix: list[list[float]], values: list[float]) -> list[float]:
    """Solve a small positive definite system by elimination."""
    size = len(values)
    rows = [[*matrix[i], values[i]] for i in range(size)]
    for i in range(size):
        for j in range(i + 1, size):
            factor = rows[j][i] / rows[i][i]
            rows[j] = [a - factor * b for a, b in zip(rows[j], rows[i], strict=True)]
    solution = [0.0] * size
    for i in reversed(range(size)):
        known = sum(rows[i][j] * solution[j] for j in range(i + 1, size))
        solution[i] = (rows[i][size] - known) / rows[i][i]
    return solution
