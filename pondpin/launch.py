"""Reads the settings, starts an entry instance, and stops it cleanly."""

import gc
import json
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pondpin.command_files import read_or_exit
from pondpin.errors import InvalidFileError
from pondpin.relay_settings import RelaySettings, read_relay_settings
from pondpin.runtime import (
    USAGE_STATUS,
    ParsedCommand,
    call_on_signal,
    run,
    set_up_logs,
    stop_on_signals,
)

if TYPE_CHECKING:
    from pondpin.relay.entry import RelayEntry
    from pondpin.settings import Settings

PROGRAM = "pondpin-entry"
# The key that only the settings of a relaying instance have.
RELAY_KEY = "source"


def entry(settings: str) -> ParsedCommand:
    """Run an entry instance from a settings file: for its own callers, or as a relay."""

    def start() -> int:
        if is_relay(settings):
            relay = read_or_exit(PROGRAM, settings, read_relay_settings, USAGE_STATUS)
            set_up_logs("info")
            return run(lambda reactor: serve_relay(reactor, relay, settings))
        # A relay doesn't load what only this role needs, pydantic above all.
        from pondpin.settings import read_settings

        checked = read_or_exit(PROGRAM, settings, read_settings, USAGE_STATUS)
        set_up_logs(checked.log_level)
        return run(lambda reactor: serve(reactor, checked))

    return ParsedCommand(start)


def is_relay(path: str) -> bool:
    """Whether a settings file is a relay's; a file that can't be read is told of later."""
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError):
        return False
    return isinstance(document, dict) and RELAY_KEY in document


async def serve(reactor: Any, settings: "Settings") -> int:
    """Serve until SIGTERM, then drain."""
    from pondpin.entry import Entry

    stop = stop_on_signals()
    instance = Entry(reactor, settings)
    keep_loaded_code()
    bound = await instance.start()
    print(f"pondpin-entry {settings.instance} ready on {bound}", flush=True)
    await stop.wait()
    await instance.drain_and_stop()
    return 0


async def serve_relay(reactor: Any, settings: RelaySettings, path: str) -> int:
    """Relay until SIGTERM, then drain; SIGHUP reads the settings again."""
    from pondpin.relay.entry import RelayEntry

    stop = stop_on_signals()
    instance = RelayEntry(reactor, settings)
    keep_loaded_code()
    call_on_signal(signal.SIGHUP, lambda: reload_relay(instance, path))
    await instance.start()
    # The file may have changed after it was read and before a signal was heard.
    if read_or_keep(path, settings) != settings:
        reload_relay(instance, path)
    await stop.wait()
    await instance.drain_and_stop()
    return 0


def keep_loaded_code() -> None:
    """Collect garbage from now on, but not among what was loaded until now."""
    gc.freeze()
    gc.enable()


def read_or_keep(path: str, settings: RelaySettings) -> RelaySettings:
    """The settings as the file has them now; those in force when it has faults."""
    try:
        return read_relay_settings(path)
    except (InvalidFileError, OSError):
        return settings


def reload_relay(instance: "RelayEntry", path: str) -> None:
    """Read the settings again; a faulty file leaves the ones in force."""
    try:
        instance.reload(read_relay_settings(path))
    except InvalidFileError as error:
        instance.refuse_reload(error.numbered())
    except OSError as error:
        instance.refuse_reload(str(error))
