"""A stand-in engine with many slow streams and almost no cost, for measuring the hop alone."""

from typing import Any

from pondpin.network import parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, stop_on_signals
from pondpin.standins.engine import Engine, EngineOptions
from pondpin.standins.engine_model import EngineShape

SHAPE = EngineShape(
    blocks=100_000,
    step_base=0.05,
    prefill_per_token=1e-8,
    decode_per_sequence=0.0,
    chunk_tokens=1_000_000,
    max_running=2000,
)


def engine(address: str, model: str) -> ParsedCommand:
    """Run it on IP:port."""

    async def work(reactor: Any) -> int:
        stop = stop_on_signals()
        served = Engine(reactor, EngineOptions(model=model, shape=SHAPE))
        bound = await served.start(parse_endpoint(address))
        print(f"ready on {bound}", flush=True)
        await stop.wait()
        await served.stop()
        return 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(engine, "measure_engine")
