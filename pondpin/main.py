"""pondpin-entry: reads the settings, starts an entry instance, and stops it cleanly."""

from typing import Any

from pondpin.entry import Entry
from pondpin.reading import read_or_exit
from pondpin.runtime import USAGE_STATUS, Ready, run, run_command, set_up_logs, stop_on_signals
from pondpin.settings import Settings, read_settings

PROGRAM = "pondpin-entry"


def entry(settings: str) -> Ready:
    """Run an entry instance from a settings file."""

    def start() -> int:
        checked = read_or_exit(PROGRAM, settings, read_settings, USAGE_STATUS)
        set_up_logs(checked.log_level)
        return run(lambda reactor: serve(reactor, checked))

    return Ready(start)


async def serve(reactor: Any, settings: Settings) -> int:
    """Serve until SIGTERM, then drain."""
    stop = stop_on_signals()
    instance = Entry(reactor, settings)
    bound = await instance.start()
    print(f"pondpin-entry {settings.instance} ready on {bound}", flush=True)
    await stop.wait()
    await instance.drain_and_stop()
    return 0


def main() -> None:
    """Entry point of pondpin-entry."""
    run_command(entry, PROGRAM)


if __name__ == "__main__":
    main()
