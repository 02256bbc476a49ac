"""pondpin-entry: reads the settings, starts an entry instance, and stops it cleanly."""

import sys
from typing import Any

from pondpin.entry import Entry
from pondpin.errors import InvalidFileError
from pondpin.runtime import USAGE_STATUS, Ready, run, run_command, set_up_logs, stop_on_signals
from pondpin.settings import Settings, read_settings


def load_settings(path: str) -> Settings:
    """Read the settings; prints every fault and ends with status 2 when there is one."""
    try:
        return read_settings(path)
    except OSError as error:
        print(f"pondpin-entry: {path}: {error.strerror}", file=sys.stderr)
    except InvalidFileError as error:
        print(f"pondpin-entry: {error.message}:\n{error.numbered()}", file=sys.stderr)
    sys.exit(USAGE_STATUS)


def entry(settings: str) -> Ready:
    """Run an entry instance from a settings file."""

    def start() -> int:
        checked = load_settings(settings)
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
    run_command(entry, "pondpin-entry")


if __name__ == "__main__":
    main()
