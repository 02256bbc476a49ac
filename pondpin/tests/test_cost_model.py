"""The cost model finds an engine's step costs from its counters."""

import random
import unittest
from dataclasses import replace

from pondpin.cost_model import CostModel, Counters
from pondpin.standins.engine_model import EngineShape


def feed(model: CostModel, shape: EngineShape, rounds: int, seed: int) -> CostModel:
    rng = random.Random(seed)
    steps, busy, prefill, decode, context = 0, 0.0, 0, 0, 0
    for _ in range(rounds):
        for _ in range(rng.randint(5, 60)):
            tokens, running = rng.choice([0, 0, 500, 2048]), rng.randint(0, 30)
            held = running * rng.randint(100, 5000)
            steps, prefill, decode = steps + 1, prefill + tokens, decode + running
            context += held
            busy += shape.step_base + tokens * shape.prefill_per_token
            busy += running * shape.decode_per_sequence + held * shape.context_per_token
        model = model.observe(Counters(steps, busy, prefill, decode, context))
    return model


class CostModelTest(unittest.TestCase):
    def test_costs_are_learnt(self) -> None:
        shape = EngineShape(step_base=0.004, prefill_per_token=2e-5)
        costs = feed(CostModel(), shape, 60, 1).costs
        self.assertAlmostEqual(costs.base, shape.step_base, delta=0.001)
        self.assertAlmostEqual(costs.prefill, shape.prefill_per_token, delta=2e-6)

    def test_a_slowed_engine_is_noticed(self) -> None:
        model = feed(CostModel(), EngineShape(prefill_per_token=2e-5), 60, 1)
        slow = feed(replace(model, last=None), EngineShape(prefill_per_token=2e-4), 60, 2)
        self.assertGreater(slow.costs.prefill, 5 * model.costs.prefill)

    def test_a_restart_is_not_learnt_from(self) -> None:
        model = feed(CostModel(), EngineShape(), 20, 1)
        again = model.observe(Counters(0, 0.0, 0, 0, 0))
        self.assertEqual(again.costs, model.costs)
