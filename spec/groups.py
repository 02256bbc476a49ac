"""(d) Reservation of groups: two requests that each need two engines never block each other.

Each engine has room for one. A request reserves in the order of the engines' names, and gives
everything back when a reservation fails, before it tries again.
"""

from dataclasses import replace

import z3

from spec.kernel import Mutant, Step, System

OTHER = 3
# Who holds an engine: nobody (0), request 1 or 2, or some other work (3).
VARIABLES = {
    "engine_1": z3.IntSort(),
    "engine_2": z3.IntSort(),
    "waits_1": z3.BoolSort(),
    "waits_2": z3.BoolSort(),
}
ENGINES = ("engine_1", "engine_2")


def _held(s: dict[str, z3.ExprRef], who: int) -> z3.ArithRef:
    return z3.Sum([z3.If(s[engine] == who, 1, 0) for engine in ENGINES])


def _steps_of(who: int, order: tuple[str, str], keeps: bool = False) -> tuple[Step, ...]:
    first, second = order
    waits = f"waits_{who}"
    free_all = {engine: (lambda s, e=engine: z3.If(s[e] == who, 0, s[e])) for engine in ENGINES}

    def give_back(s: dict[str, z3.ExprRef]) -> dict[str, z3.ExprRef]:
        return {engine: change(s) for engine, change in free_all.items()}

    return (
        Step(
            f"{who} reserves {first}",
            lambda s: z3.And(s[first] == 0, s[second] != who),
            lambda s: {first: z3.IntVal(who), waits: z3.BoolVal(False)},
        ),
        Step(
            f"{who} reserves {second}",
            lambda s: z3.And(s[first] == who, s[second] == 0),
            lambda s: {second: z3.IntVal(who), waits: z3.BoolVal(False)},
        ),
        Step(
            f"{who} fails on {second}" + (" and keeps what it has" if keeps else ""),
            lambda s: z3.And(s[first] == who, s[second] != 0, s[second] != who),
            lambda s: ({} if keeps else give_back(s)) | {waits: z3.BoolVal(True)},
        ),
        Step(
            f"{who} is done",
            lambda s: z3.And(s[first] == who, s[second] == who),
            lambda s: give_back(s) | {waits: z3.BoolVal(False)},
        ),
        Step(
            f"the holder of {who} dies, and its orphans are cancelled",
            lambda s: _held(s, who) > 0,
            lambda s: give_back(s) | {waits: z3.BoolVal(False)},
        ),
    )


OTHER_WORK = tuple(
    step
    for engine in ENGINES
    for step in (
        Step(
            f"other work takes {engine}",
            lambda s, e=engine: s[e] == 0,
            lambda s, e=engine: {e: z3.IntVal(OTHER)},
        ),
        Step(
            f"other work leaves {engine}",
            lambda s, e=engine: s[e] == OTHER,
            lambda s, e=engine: {e: z3.IntVal(0)},
        ),
    )
)
ORDER = ("engine_1", "engine_2")
REVERSED = ("engine_2", "engine_1")


def _no_hold_and_wait(s: dict[str, z3.ExprRef]) -> z3.BoolRef:
    return z3.And(
        *(z3.Implies(s[f"waits_{who}"], _held(s, who) == 0) for who in (1, 2)),
    )


SYSTEM = System(
    name="reservation of groups",
    variables=VARIABLES,
    first=lambda s: z3.And(
        *(s[engine] == 0 for engine in ENGINES), z3.Not(s["waits_1"]), z3.Not(s["waits_2"])
    ),
    steps=(*_steps_of(1, ORDER), *_steps_of(2, ORDER), *OTHER_WORK),
    # Nobody waits while it holds: so no circle of waiting can form, and what the dead
    # held is back.
    safety=_no_hold_and_wait,
    invariant=lambda s: z3.And(
        _no_hold_and_wait(s),
        *(z3.And(s[engine] >= 0, s[engine] <= OTHER) for engine in ENGINES),
    ),
)

MUTANTS = (
    Mutant(
        replace(
            SYSTEM,
            steps=(*_steps_of(1, ORDER, keeps=True), *_steps_of(2, REVERSED, keeps=True)),
            safety=lambda s: z3.Not(z3.And(s["waits_1"], s["waits_2"])),
        ),
        "requests that keep what they have while they wait",
    ),
)
