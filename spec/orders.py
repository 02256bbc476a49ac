"""(c) Orders with fences: an engine never goes back to the order of an older revision.

Two instances order one engine that checks fences. An instance reads the engine's last fence and
proposes a higher one whose high part is its revision. It may be paused for any time between
reading and sending, while its revision grows old.
"""

from dataclasses import replace

import z3

from spec.kernel import Mutant, Step, System

SPAN = 1000

VARIABLES = {
    "fence": z3.IntSort(),
    "applied": z3.IntSort(),
    "highest_applied": z3.IntSort(),
    "published": z3.IntSort(),
    "revision_a": z3.IntSort(),
    "proposed_a": z3.IntSort(),
    "order_a": z3.IntSort(),
    "revision_b": z3.IntSort(),
    "proposed_b": z3.IntSort(),
    "order_b": z3.IntSort(),
}


def _steps_of(who: str, high_part: bool = True, checked: bool = True) -> tuple[Step, ...]:
    revision, proposed, order = f"revision_{who}", f"proposed_{who}", f"order_{who}"

    def next_fence(s: dict[str, z3.ArithRef]) -> z3.ArithRef:
        base = s[revision] * SPAN if high_part else z3.IntVal(0)
        return z3.If(s["fence"] >= base, s["fence"] + 1, base + 1)

    learn = Step(
        f"{who} learns the published revision",
        lambda s: s["published"] > s[revision],
        lambda s: {revision: s["published"]},
    )
    propose = Step(
        f"{who} reads the fence and prepares an order",
        # With the revision in the high part, a fence above one's own revision shows that
        # a newer one is in force somewhere: such an instance proposes nothing.
        lambda s: z3.And(
            s[revision] > 0,
            s["fence"] < (s[revision] + 1) * SPAN - 1 if high_part else z3.BoolVal(True),
        ),
        lambda s: {proposed: next_fence(s), order: s[revision]},
    )
    send = Step(
        f"{who} sends the order, perhaps late",
        lambda s: z3.And(s[proposed] > (s["fence"] if checked else 0), s[order] > 0),
        lambda s: {
            "fence": z3.If(s[proposed] > s["fence"], s[proposed], s["fence"]),
            "applied": s[order],
            "highest_applied": z3.If(
                s[order] > s["highest_applied"], s[order], s["highest_applied"]
            ),
        },
    )
    return learn, propose, send


PUBLISH = Step("publish", lambda s: z3.BoolVal(True), lambda s: {"published": s["published"] + 1})


def _proposal_is_of_its_revision(s: dict[str, z3.ArithRef], who: str) -> z3.BoolRef:
    proposed, order = s[f"proposed_{who}"], s[f"order_{who}"]
    within = z3.And(proposed > order * SPAN, proposed < (order + 1) * SPAN)
    return z3.Or(z3.And(order == 0, proposed == 0), z3.And(order > 0, within))


SYSTEM = System(
    name="orders with fences",
    variables=VARIABLES,
    first=lambda s: z3.And(*(s[name] == 0 for name in VARIABLES)),
    steps=(PUBLISH, *_steps_of("a"), *_steps_of("b")),
    safety=lambda s: s["applied"] == s["highest_applied"],
    invariant=lambda s: z3.And(
        s["applied"] == s["highest_applied"],
        s["applied"] >= 0,
        z3.Or(
            z3.And(s["applied"] == 0, s["fence"] == 0),
            z3.And(s["fence"] > s["applied"] * SPAN, s["fence"] < (s["applied"] + 1) * SPAN),
        ),
        _proposal_is_of_its_revision(s, "a"),
        _proposal_is_of_its_revision(s, "b"),
        s["revision_a"] >= 0,
        s["revision_b"] >= 0,
    ),
)

MUTANTS = (
    Mutant(
        replace(
            SYSTEM,
            steps=(PUBLISH, *_steps_of("a", high_part=False), *_steps_of("b", high_part=False)),
        ),
        "fences without the revision in their high part",
    ),
    Mutant(
        replace(SYSTEM, steps=(PUBLISH, *_steps_of("a", checked=False), *_steps_of("b"))),
        "an engine that does not check the fence",
    ),
)
