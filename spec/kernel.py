"""Transition systems over z3: proofs by induction, and shortest traces to a broken property."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import z3

State = dict[str, Any]


@dataclass(frozen=True)
class Step:
    """A named transition: when it may happen, and what it changes; all else stays."""

    name: str
    guard: Callable[[State], Any]
    change: Callable[[State], Mapping[str, Any]]


@dataclass(frozen=True)
class System:
    """A protocol: its variables, first state, steps, and what must hold.

    invariant is what is proved by induction; it implies safety, which is what is promised.
    """

    name: str
    variables: Mapping[str, z3.SortRef]
    first: Callable[[State], Any]
    steps: tuple[Step, ...]
    safety: Callable[[State], Any]
    invariant: Callable[[State], Any]


@dataclass(frozen=True)
class Mutant:
    """A system with one protection taken away; the search must find its broken property."""

    system: System
    about: str


@dataclass(frozen=True)
class Verdict:
    """What a check found: trace is the way to a broken property, or the step that breaks
    the invariant."""

    good: bool
    about: str
    trace: tuple[str, ...] = field(default=())


def make_state(system: System, suffix: str) -> State:
    """Fresh variables of a state."""
    return {name: z3.Const(f"{name}_{suffix}", sort) for name, sort in system.variables.items()}


def take_step(step: Step, before: State, after: State) -> Any:
    """The formula of one step."""
    changed = step.change(before)
    unknown = set(changed) - set(before)
    assert not unknown, f"{step.name} changes unknown variables {unknown}"
    kept = [after[name] == changed.get(name, before[name]) for name in before]
    return z3.And(step.guard(before), *kept)


def prove(system: System) -> Verdict:
    """Prove the invariant by induction, and that it implies safety."""
    state = make_state(system, "a")
    if not _holds(z3.Implies(system.first(state), system.invariant(state))):
        return Verdict(False, f"{system.name}: the invariant does not hold at first")
    if not _holds(z3.Implies(system.invariant(state), system.safety(state))):
        return Verdict(False, f"{system.name}: the invariant does not imply safety")
    after = make_state(system, "b")
    for step in system.steps:
        formula = z3.Implies(
            z3.And(system.invariant(state), take_step(step, state, after)),
            system.invariant(after),
        )
        if not _holds(formula):
            return Verdict(False, f"{system.name}: a step breaks the invariant", (step.name,))
    about = f"{system.name}: invariant proved by induction over {len(system.steps)} steps"
    return Verdict(True, about)


def _holds(formula: Any) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(formula))
    return bool(solver.check() == z3.unsat)


def find_breach(system: System, depth: int) -> tuple[str, ...] | None:
    """The shortest trace, of at most depth steps, to a state that is not safe."""
    solver = z3.Solver()
    states = [make_state(system, "0")]
    choices: list[Any] = []
    solver.add(system.first(states[0]))
    for number in range(1, depth + 1):
        states.append(make_state(system, str(number)))
        choice = z3.Int(f"choice_{number}")
        choices.append(choice)
        solver.add(
            z3.Or(
                *(
                    z3.And(choice == index, take_step(step, states[-2], states[-1]))
                    for index, step in enumerate(system.steps)
                )
            )
        )
        solver.push()
        solver.add(z3.Not(system.safety(states[-1])))
        if solver.check() == z3.sat:
            model = solver.model()
            return tuple(system.steps[model[item].as_long()].name for item in choices)
        solver.pop()
    return None


def every_step_is_possible(system: System, depth: int) -> list[str]:
    """Steps that can never happen within depth: a specification that can't move proves nothing."""
    reached: set[str] = set()
    for step in system.steps:
        solver = z3.Solver()
        states = [make_state(system, "0")]
        solver.add(system.first(states[0]))
        for number in range(1, depth + 1):
            solver.push()
            solver.add(step.guard(states[-1]))
            if solver.check() == z3.sat:
                reached.add(step.name)
                break
            solver.pop()
            states.append(make_state(system, str(number)))
            moves = [take_step(item, states[-2], states[-1]) for item in system.steps]
            solver.add(z3.Or(*moves))
    return [step.name for step in system.steps if step.name not in reached]
