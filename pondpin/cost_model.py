"""Learns an engine's step costs on line from the counters in its load reports."""

from dataclasses import dataclass, replace

FORGETTING = 0.98
START_VARIANCE = 1e4
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


def _identity(scale: float) -> Matrix:
    return tuple(tuple(scale if i == j else 0.0 for j in range(SIZE)) for i in range(SIZE))


START_COVARIANCE = _identity(START_VARIANCE)


@dataclass(frozen=True, slots=True)
class CostModel:
    """Recursive least squares with forgetting over the differences of counters."""

    weights: Row = (0.01, 0.01, 0.02, 1e-4)
    covariance: Matrix = START_COVARIANCE
    observations: int = 0
    last: Counters | None = None
    mean_context: float = 0.0

    @property
    def costs(self) -> StepCosts:
        """The costs learnt so far; none is negative."""
        base, prefill, decode, context = (
            max(0.0, weight * scale) for weight, scale in zip(self.weights, SCALES, strict=True)
        )
        return StepCosts(max(base, 1e-5), max(prefill, 1e-9), decode, context)

    def observe(self, counters: Counters) -> "CostModel":
        """The model after another report; counters that went back mean a restart."""
        last = self.last
        if last is None or counters.steps < last.steps:
            return replace(self, last=counters)
        steps = counters.steps - last.steps
        if steps < MIN_STEPS:
            return replace(self, last=counters)
        decoded = counters.decode_tokens - last.decode_tokens
        context = counters.context_tokens - last.context_tokens
        # Per step, so that windows with more steps do not weigh more.
        row = (
            1.0,
            (counters.prefill_tokens - last.prefill_tokens) / steps * SCALES[1],
            decoded / steps * SCALES[2],
            context / steps * SCALES[3],
        )
        seconds = (counters.busy_seconds - last.busy_seconds) / steps
        weights, covariance = _update(self.weights, self.covariance, row, seconds)
        return CostModel(weights, covariance, self.observations + 1, counters, context / steps)


def _update(weights: Row, covariance: Matrix, row: Row, value: float) -> tuple[Row, Matrix]:
    """One step of recursive least squares."""
    projected = tuple(sum(covariance[i][j] * row[j] for j in range(SIZE)) for i in range(SIZE))
    denominator = FORGETTING + sum(row[i] * projected[i] for i in range(SIZE))
    gain = tuple(item / denominator for item in projected)
    error = value - sum(weights[i] * row[i] for i in range(SIZE))
    new_weights = tuple(weights[i] + gain[i] * error for i in range(SIZE))
    new_covariance = tuple(
        tuple(
            min(START_VARIANCE, (covariance[i][j] - gain[i] * projected[j]) / FORGETTING)
            for j in range(SIZE)
        )
        for i in range(SIZE)
    )
    return new_weights, new_covariance
