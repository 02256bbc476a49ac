"""(e) A key that was taken away is accepted by nobody for longer than its bound.

An instance that can't read the source itself goes by a peer's proofs, which come in messages
that may wait for any time, also through a freeze. Time is in whole steps.
"""

from dataclasses import replace

import z3

from spec.kernel import Mutant, State, Step, System

BOUND = 1
# The shortest way to the third mutant's breach takes ten steps.
DEPTH = 10
LONG_AGO = -100
NEVER = -1

VARIABLES = {
    "now": z3.IntSort(),
    # When the key was taken away, NEVER before.
    "removed_at": z3.IntSort(),
    # The peer's read under way, and its last one: when it was sent, whether it found the key.
    "reading_since": z3.IntSort(),
    "peer_read_at": z3.IntSort(),
    "peer_saw_key": z3.BoolSort(),
    # What the peer heard last of this instance: the time it was sent.
    "stamp": z3.IntSort(),
    "echo": z3.IntSort(),
    # The peer's message under way.
    "told_echo": z3.IntSort(),
    "told_age": z3.IntSort(),
    "told_key": z3.BoolSort(),
    # This instance: whether the version in force has the key, and since when that is proved.
    "has_key": z3.BoolSort(),
    "proof_at": z3.IntSort(),
    "ran_late": z3.BoolSort(),
}


def _was_there(s: State, at: z3.ArithRef) -> z3.BoolRef:
    """The key had not been taken away before a moment."""
    return z3.Or(s["removed_at"] == NEVER, at <= s["removed_at"])


def _take(name: str, proved_at: object) -> Step:
    def change(s: State) -> dict[str, object]:
        at = proved_at(s)  # type: ignore[operator]
        newer = z3.If(at > s["proof_at"], at, s["proof_at"])
        return {
            "has_key": z3.And(s["has_key"], s["told_key"]),
            "proof_at": z3.If(s["told_key"], newer, s["proof_at"]),
        }

    return Step(name, lambda s: z3.BoolVal(True), change)


def _run(name: str, checked: bool) -> Step:
    return Step(
        name,
        lambda s: z3.And(
            s["has_key"], s["now"] - s["proof_at"] < BOUND if checked else z3.BoolVal(True)
        ),
        lambda s: {
            "ran_late": z3.Or(
                s["ran_late"],
                z3.And(s["removed_at"] != NEVER, s["now"] > s["removed_at"] + BOUND),
            )
        },
    )


def _answer(name: str, from_sending: bool) -> Step:
    return Step(
        name,
        lambda s: s["reading_since"] != NEVER,
        lambda s: {
            "peer_read_at": s["reading_since"] if from_sending else s["now"],
            # The source answered from what it had when the read was sent, at the latest now.
            "peer_saw_key": _was_there(s, s["reading_since"]),
            "reading_since": z3.IntVal(NEVER),
        },
    )


TICK = Step("time passes", lambda s: z3.BoolVal(True), lambda s: {"now": s["now"] + 1})
REMOVE = Step(
    "the key is taken away",
    lambda s: s["removed_at"] == NEVER,
    lambda s: {"removed_at": s["now"]},
)
READ = Step(
    "the peer sends a read",
    lambda s: s["reading_since"] == NEVER,
    lambda s: {"reading_since": s["now"]},
)
STAMP = Step("tell the peer", lambda s: z3.BoolVal(True), lambda s: {"stamp": s["now"]})
HEAR = Step("the peer hears", lambda s: z3.BoolVal(True), lambda s: {"echo": s["stamp"]})
TELL = Step(
    "the peer tells its proof",
    lambda s: z3.BoolVal(True),
    lambda s: {
        "told_echo": s["echo"],
        "told_age": s["now"] - s["peer_read_at"],
        "told_key": s["peer_saw_key"],
    },
)

SYSTEM = System(
    name="proofs of freshness passed on",
    variables=VARIABLES,
    first=lambda s: z3.And(
        s["now"] == 0,
        s["removed_at"] == NEVER,
        s["reading_since"] == NEVER,
        s["peer_read_at"] == LONG_AGO,
        s["peer_saw_key"],
        s["stamp"] == LONG_AGO,
        s["echo"] == LONG_AGO,
        s["told_echo"] == LONG_AGO,
        s["told_age"] == 0,
        s["told_key"],
        s["has_key"],
        s["proof_at"] == LONG_AGO,
        z3.Not(s["ran_late"]),
    ),
    steps=(
        TICK,
        REMOVE,
        READ,
        _answer("the peer's read is answered", from_sending=True),
        STAMP,
        HEAR,
        TELL,
        _take("hear the proof", lambda s: s["told_echo"] - s["told_age"]),
        _run("run a request", checked=True),
    ),
    safety=lambda s: z3.Not(s["ran_late"]),
    invariant=lambda s: z3.And(
        z3.Not(s["ran_late"]),
        s["now"] >= 0,
        z3.Or(s["removed_at"] == NEVER, z3.And(s["removed_at"] >= 0, s["removed_at"] <= s["now"])),
        z3.Or(s["reading_since"] == NEVER, s["reading_since"] >= 0),
        s["reading_since"] <= s["now"],
        s["peer_read_at"] <= s["now"],
        s["stamp"] <= s["now"],
        s["echo"] <= s["now"],
        z3.Implies(s["peer_saw_key"], _was_there(s, s["peer_read_at"])),
        z3.Implies(s["told_key"], _was_there(s, s["told_echo"] - s["told_age"])),
        s["told_echo"] - s["told_age"] <= s["now"],
        s["proof_at"] <= s["now"],
        z3.Implies(s["has_key"], _was_there(s, s["proof_at"])),
    ),
)

MUTANTS = (
    Mutant(
        replace(
            SYSTEM,
            steps=(
                *SYSTEM.steps,
                _take("date the proof by its arrival", lambda s: s["now"] - s["told_age"]),
            ),
        ),
        "an instance that counts a proof's age from the arrival of the message",
    ),
    Mutant(
        replace(SYSTEM, steps=(*SYSTEM.steps, _run("run without looking", checked=False))),
        "an instance that does not check the age when it sends",
    ),
    Mutant(
        replace(
            SYSTEM,
            steps=(*SYSTEM.steps, _answer("date a read by its answer", from_sending=False)),
        ),
        "a peer that counts a read's age from its answer",
    ),
)
