"""Traffic, traces, summaries and the stand-in platform's limits."""

import json
import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from pondpin.standins.engine_model import (
    EngineModel,
    EngineShape,
    Holder,
    StreamKey,
    Submission,
)
from pondpin.standins.platform import ReadLimit
from pondpin.tools.balancer import Balancer
from pondpin.tools.capacity import SLOPES, Slopes, Target, make_rows
from pondpin.tools.experiment import capacity_rate, read_experiment
from pondpin.tools.summary import take_percentiles
from pondpin.tools.trace import TraceError, read_trace
from pondpin.tools.traffic import SAMPLES, poisson_arrivals, read_traffic


class TrafficTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_traffic(self) -> None:
        kinds = read_traffic(SAMPLES / "traffic.json").kinds
        one, two = (poisson_arrivals(kinds, 20.0, 5.0, 7, SAMPLES) for _ in range(2))
        self.assertEqual(one, two)
        self.assertEqual(len({item.question.prompt for item in one}), len(one))

    def test_experiments_are_readable(self) -> None:
        files = sorted((SAMPLES.parent / "experiments").glob("*.json"))
        self.assertGreaterEqual(len(files), 6)
        for path in files:
            self.assertGreater(capacity_rate(read_experiment(path)), 0)

    def test_percentiles(self) -> None:
        found = take_percentiles([number / 100 for number in range(1, 101)])
        self.assertAlmostEqual(found.p50, 0.5, delta=0.01)
        self.assertAlmostEqual(found.p99, 0.99, delta=0.01)
        self.assertEqual(take_percentiles([]).count, 0)

    def test_a_balancer_leaves_out_what_is_down(self) -> None:
        balancer = Balancer(["a", "b"])
        balancer.mark_down("a", 10.0)
        self.assertEqual({balancer.next(10.5) for _ in range(4)}, {"b"})
        self.assertEqual({balancer.next(20.0) for _ in range(4)}, {"a", "b"})


class TraceTest(unittest.TestCase):
    def read(self, text: str) -> list[float]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            path.write_text(text)
            return [item.at for item in read_trace(path, "k", "m", 2.0)]

    def test_lines_become_arrivals(self) -> None:
        line = {"timestamp": 3000, "input_length": 1000, "output_length": 5, "hash_ids": [1, 2]}
        self.assertEqual(self.read(json.dumps(line) + "\n\n"), [1.5])

    def test_a_bad_line_is_named(self) -> None:
        with self.assertRaisesRegex(TraceError, "line 2"):
            self.read('{"timestamp":1,"input_length":1,"output_length":1}\n{"x":1}\n')


class ReadLimitTest(unittest.TestCase):
    def test_a_waiting_watch_counts(self) -> None:
        limit = ReadLimit(per_second=3)
        limit.waiting = 2
        self.assertTrue(limit.take(10.0))
        self.assertFalse(limit.take(10.1))
        self.assertTrue(limit.take(11.0))


class CapacityTest(unittest.TestCase):
    def test_the_table_follows_from_the_slopes(self) -> None:
        import msgspec

        slopes = msgspec.json.decode(SLOPES.read_bytes(), type=Slopes)
        rows = make_rows(slopes, Target())
        for row in rows:
            self.assertIn(row.role, (SLOPES.parent / "CAPACITY.md").read_text())


class EngineModelTest(unittest.TestCase):
    """The stand-in engine is honest: it audits itself."""

    @given(
        st.lists(
            st.tuples(st.integers(1, 60_000), st.integers(1, 20), st.integers(0, 3)), max_size=20
        ),
        st.integers(0, 1000),
    )
    def test_no_block_is_lost(self, work: list[tuple[int, int, int]], seed: int) -> None:
        model = EngineModel(EngineShape(blocks=100, max_running=5))
        rng = random.Random(seed)
        keys = []
        for number, (size, answer, priority) in enumerate(work):
            key = StreamKey(f"r{number}", 0)
            submission = Submission(
                key, Holder("a", 1), b"x" * size, answer, priority, deadline=1e9
            )
            if model.submit(submission) is not None:
                keys.append(key)
        now = 0.0
        for _ in range(2000):
            if not model.running and not model.waiting:
                break
            seconds, _ = model.step(now)
            now += seconds
            self.assertEqual(model.leaked_blocks(), 0)
            self.assertLessEqual(model.held_blocks(), 100)
            if keys and rng.random() < 0.05:
                model.cancel(rng.choice(keys), now)
        self.assertEqual((model.held_blocks(), model.leaked_blocks()), (0, 0))
        for key in keys:
            sequence = model.find(key)
            assert sequence is not None
            self.assertTrue(sequence.ended)
