"""Descriptions of experiments: a deployment, traffic, loads, seeds, variants and faults."""

from pathlib import Path
from typing import Any

import msgspec

from pondpin.standins.engine_model import EngineShape
from pondpin.tools.summary import ClassSummary
from pondpin.tools.traffic import Kind


class Variant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One of the things compared: a policy, how many instances stand before the engines.

    only leaves out the arrivals of other length classes.
    """

    name: str
    policy: dict[str, Any] = {}
    entries: int = 0
    only: tuple[str, ...] = ()
    report_lag: float | None = None


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Something that happens at a time, in seconds from the start of the traffic.

    do is one of faults (set the engine's faults), die, revive, leave (of an engine),
    kill_entry, replace_entry, cut (a data centre from the others' peers), join.
    """

    at: float
    do: str
    target: str = ""
    faults: dict[str, Any] = {}


class Experiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An experiment: every variant is run at every load and seed, on the same arrivals.

    rate, in requests per second, goes before the load when it is given; skew weighs the
    instances at the balancer.
    """

    name: str
    about: str
    kinds: tuple[Kind, ...]
    variants: tuple[Variant, ...]
    loads: tuple[float, ...]
    seeds: tuple[int, ...]
    seconds: float
    warm_seconds: float = 3.0
    entries: int = 1
    engines: int = 6
    grouped: int = 0
    shape: dict[str, Any] = {}
    report_lag: float = 0.2
    load_poll: float = 0.25
    cache_loss: float = 0.0
    allowed_by_class: dict[str, float] = {}
    accounts: dict[str, Any] = {}
    faults: tuple[Fault, ...] = ()
    rate: float = 0.0
    skew: tuple[float, ...] = ()

    @property
    def engine_shape(self) -> EngineShape:
        """The shape of the stand-in engines."""
        return EngineShape(**self.shape)


class CellResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one variant did at one load and seed. rates are in requests per second."""

    variant: str
    load: float
    seed: int
    rate: float
    by_class: dict[str, ClassSummary]
    attempts: int
    asked: int
    blocks_left: int
    run_twice: int
    breaches: int
    late: int
    cached_tokens: int
    ideal_cached_tokens: int
    imbalance: float
    loop_busy: float
    extra: dict[str, float] = {}


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """All cells of an experiment."""

    experiment: str
    cells: tuple[CellResult, ...]


def read_experiment(path: Path) -> Experiment:
    """Read a description; raises msgspec.ValidationError, DecodeError or OSError."""
    return msgspec.json.decode(path.read_bytes(), type=Experiment)


def capacity_rate(experiment: Experiment) -> float:
    """Requests per second that the engines can do at best, by their step costs.

    Each prompt token costs its prefill and a part of the step's base; each answer token
    costs its decode. Memory and context costs are left out, so it is an upper bound.
    """
    shape = experiment.engine_shape
    total = sum(kind.share for kind in experiment.kinds)
    seconds = 0.0
    for kind in experiment.kinds:
        prompt = sum(kind.prompt_tokens) / 2
        answer = sum(kind.answer_tokens) / 2
        cost = prompt * (shape.prefill_per_token + shape.step_base / shape.chunk_tokens)
        cost += answer * shape.decode_per_sequence
        seconds += cost * kind.share / total
    return experiment.engines / seconds
