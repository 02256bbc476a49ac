"""(b) A configuration in force never gives way to an older one.

Two instances and a platform that may serve any old revision. A fresh instance first hears its
peer, if it can, and takes that revision as its floor.
"""

from dataclasses import replace

import z3

from spec.kernel import Mutant, Step, System

VARIABLES = {
    "published": z3.IntSort(),
    "served": z3.IntSort(),
    "force_a": z3.IntSort(),
    "highest_a": z3.IntSort(),
    "floor_a": z3.IntSort(),
    "heard_a": z3.IntSort(),
    "force_b": z3.IntSort(),
}


def _take(name: str, source: str, rises: bool = True, floor: bool = True) -> Step:
    return Step(
        name,
        lambda s: z3.And(
            s[source] > 0,
            s[source] > s["force_a"] if rises else z3.BoolVal(True),
            s[source] >= s["floor_a"] if floor else z3.BoolVal(True),
        ),
        lambda s: {
            "force_a": s[source],
            "highest_a": z3.If(s[source] > s["highest_a"], s[source], s["highest_a"]),
            "floor_a": z3.If(s[source] > s["floor_a"], s[source], s["floor_a"]),
        },
    )


PUBLISH = Step(
    "publish",
    lambda s: z3.BoolVal(True),
    lambda s: {"published": s["published"] + 1, "served": s["published"] + 1},
)
GO_STALE = Step(
    "the platform serves an older revision",
    lambda s: s["served"] > 1,
    lambda s: {"served": s["served"] - 1},
)
B_TAKES = Step(
    "the peer takes what the platform serves",
    lambda s: s["served"] > s["force_b"],
    lambda s: {"force_b": s["served"]},
)
HEAR = Step(
    "hear the peer",
    lambda s: s["force_b"] > s["floor_a"],
    lambda s: {"floor_a": s["force_b"]},
)
RESTART = Step(
    "a is replaced, and hears its peer first",
    lambda s: z3.BoolVal(True),
    lambda s: {
        "force_a": z3.IntVal(0),
        "highest_a": z3.IntVal(0),
        "floor_a": s["force_b"],
        "heard_a": s["force_b"],
    },
)

SYSTEM = System(
    name="configuration that never reverts",
    variables=VARIABLES,
    first=lambda s: z3.And(*(s[name] == 0 for name in VARIABLES)),
    steps=(
        PUBLISH,
        GO_STALE,
        B_TAKES,
        HEAR,
        RESTART,
        _take("take from the platform", "served"),
        _take("take from the peer", "force_b"),
    ),
    # What is in force is the highest that ever was in this life, and not under the floor
    # that was known when it was taken.
    safety=lambda s: z3.And(
        s["force_a"] == s["highest_a"],
        z3.Or(s["force_a"] == 0, s["force_a"] >= s["heard_a"]),
    ),
    invariant=lambda s: z3.And(
        s["force_a"] == s["highest_a"],
        z3.Or(s["force_a"] == 0, s["force_a"] >= s["heard_a"]),
        s["force_a"] >= 0,
        s["force_b"] >= 0,
        s["heard_a"] <= s["floor_a"],
        s["force_a"] <= s["floor_a"],
        s["floor_a"] <= s["published"],
        s["force_a"] <= s["published"],
        s["force_b"] <= s["published"],
        s["served"] <= s["published"],
    ),
)

MUTANTS = (
    Mutant(
        replace(
            SYSTEM,
            steps=(
                *SYSTEM.steps,
                _take("take whatever is served", "served", rises=False, floor=False),
            ),
        ),
        "an instance that takes whatever the platform serves",
    ),
    Mutant(
        replace(
            SYSTEM, steps=(*SYSTEM.steps, _take("take under the floor", "served", floor=False))
        ),
        "a fresh instance that does not ask its peers for the floor",
    ),
)
