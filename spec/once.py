"""(a) A call that may not be repeated runs at most once, and 'not run' is true.

One token and its issuer. Tries may come at any instance and at any time: they all become
the issuer's begin, or, once the issuer is gone, the answer 'outcome unknown'. A message to
the upstream may be delivered late, also after the issuer's death, or be lost.
"""

from dataclasses import replace

import z3

from spec.kernel import Mutant, Step, System

VARIABLES = {
    "alive": z3.BoolSort(),
    "spent": z3.BoolSort(),
    "running": z3.BoolSort(),
    "sent": z3.BoolSort(),
    "messages": z3.IntSort(),
    "runs": z3.IntSort(),
    "told_not_run": z3.BoolSort(),
}

BEGIN = Step(
    "begin",
    lambda s: z3.And(s["alive"], z3.Not(s["spent"]), z3.Not(s["running"])),
    lambda s: {
        "spent": z3.BoolVal(True),
        "running": z3.BoolVal(True),
        "sent": z3.BoolVal(False),
    },
)
SEND = Step(
    "send",
    lambda s: z3.And(s["alive"], s["running"], z3.Not(s["sent"])),
    lambda s: {"sent": z3.BoolVal(True), "messages": s["messages"] + 1},
)
CLOSE = Step(
    "close: no byte was sent, the caller is told 'not run', the token stays spent",
    lambda s: z3.And(s["alive"], s["running"], z3.Not(s["sent"])),
    lambda s: {"running": z3.BoolVal(False), "told_not_run": z3.BoolVal(True)},
)
REFUSE = Step(
    "refuse: not begun, the caller is told 'not run', the token is spent",
    lambda s: z3.And(s["alive"], z3.Not(s["spent"])),
    lambda s: {"spent": z3.BoolVal(True), "told_not_run": z3.BoolVal(True)},
)
DELIVER = Step(
    "deliver",
    lambda s: s["messages"] > 0,
    lambda s: {"messages": s["messages"] - 1, "runs": s["runs"] + 1},
)
LOSE = Step(
    "lose",
    lambda s: s["messages"] > 0,
    lambda s: {"messages": s["messages"] - 1},
)
FINISH = Step(
    "finish: answered, or outcome unknown",
    lambda s: z3.And(s["alive"], s["running"], s["sent"]),
    lambda s: {"running": z3.BoolVal(False)},
)
CRASH = Step(
    "crash: all that the issuer knew is gone, for good",
    lambda s: s["alive"],
    lambda s: {"alive": z3.BoolVal(False), "running": z3.BoolVal(False)},
)

SYSTEM = System(
    name="calls that may not be repeated",
    variables=VARIABLES,
    first=lambda s: z3.And(
        s["alive"],
        z3.Not(s["spent"]),
        z3.Not(s["running"]),
        z3.Not(s["sent"]),
        s["messages"] == 0,
        s["runs"] == 0,
        z3.Not(s["told_not_run"]),
    ),
    steps=(BEGIN, SEND, CLOSE, REFUSE, DELIVER, LOSE, FINISH, CRASH),
    safety=lambda s: z3.And(
        s["runs"] <= 1,
        z3.Implies(s["told_not_run"], z3.And(s["runs"] == 0, s["messages"] == 0)),
    ),
    invariant=lambda s: z3.And(
        s["messages"] >= 0,
        s["runs"] >= 0,
        s["messages"] + s["runs"] <= 1,
        z3.Implies(z3.Not(s["spent"]), s["messages"] + s["runs"] == 0),
        z3.Implies(z3.And(s["running"], z3.Not(s["sent"])), s["messages"] + s["runs"] == 0),
        z3.Implies(s["running"], s["spent"]),
        z3.Implies(
            s["told_not_run"],
            z3.And(s["spent"], z3.Not(s["running"]), s["messages"] + s["runs"] == 0),
        ),
        z3.Implies(s["alive"], z3.Or(s["spent"], z3.Not(s["running"]))),
    ),
)

RESEND = Step(
    "resend after bytes were sent",
    lambda s: z3.And(s["alive"], s["running"], s["sent"]),
    lambda s: {"messages": s["messages"] + 1},
)
FORGETFUL_RESTART = Step(
    "restart that still takes the token",
    lambda s: z3.Not(s["alive"]),
    lambda s: {"alive": z3.BoolVal(True), "spent": z3.BoolVal(False)},
)
LATE_CLOSE = replace(
    CLOSE,
    name="'not run' told after bytes were sent",
    guard=lambda s: z3.And(s["alive"], s["running"]),
)
STILL_GOOD = Step(
    "a token that stays good after 'not run': a late try runs it",
    lambda s: z3.And(s["alive"], s["told_not_run"], z3.Not(s["running"])),
    lambda s: {"spent": z3.BoolVal(False)},
)
OTHER_INSTANCE = Step(
    "another instance runs the token when its issuer seems gone",
    lambda s: z3.Not(s["alive"]),
    lambda s: {"messages": s["messages"] + 1},
)

MUTANTS = tuple(
    Mutant(replace(SYSTEM, steps=(*SYSTEM.steps, step)), step.name)
    for step in (RESEND, FORGETFUL_RESTART, LATE_CLOSE, STILL_GOOD, OTHER_INSTANCE)
)
