"""Start and graceful stop of an entry instance from its settings."""

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
# The key that identifies the settings of a relay.
RELAY_KEY = "source"


def entry(settings: str) -> ParsedCommand:
    """Run an entry instance from a settings file: for its own callers, or as a relay."""

    def start() -> int:
        if is_relay(settings):
            relay = read_or_exit(PROGRAM, settings, read_relay_settings, USAGE_STATUS)
            set_up_logs("info")
            return run(lambda reactor: serve_relay(reactor, relay, settings))
        # Imported here so that a relay doesn't load pydantic.
        from pondpin.settings import read_settings

        checked = read_or_exit(PROGRAM, settings, read_settings, USAGE_STATUS)
        set_up_logs(checked.log_level)
        return run(lambda reactor: serve(reactor, checked))

    return ParsedCommand(start)


def is_relay(path: str) -> bool:
    """Whether a settings file is a relay's; an unreadable file is reported later."""
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError):
        return False
    return isinstance(document, dict) and RELAY_KEY in document


async def serve(reactor: Any, settings: "Settings") -> int:
    """Serve until SIGTERM or SIGINT, then drain."""
    from pondpin.entry import Entry

    stop = stop_on_signals()
    instance = Entry(reactor, settings)
    freeze_loaded_objects()
    bound = await instance.start()
    print(f"pondpin-entry {settings.instance} ready on {bound}", flush=True)
    await stop.wait()
    await instance.drain_and_stop()
    return 0


async def serve_relay(reactor: Any, settings: RelaySettings, path: str) -> int:
    """Relay until SIGTERM or SIGINT, then drain; SIGHUP reloads the settings."""
    from pondpin.relay.entry import RelayEntry

    stop = stop_on_signals()
    instance = RelayEntry(reactor, settings)
    freeze_loaded_objects()
    call_on_signal(signal.SIGHUP, lambda: reload_relay(instance, path))
    await instance.start()
    # The file may have changed before the SIGHUP handler was installed.
    if read_or_default(path, settings) != settings:
        reload_relay(instance, path)
    await stop.wait()
    await instance.drain_and_stop()
    return 0


def freeze_loaded_objects() -> None:
    """Enable garbage collection, except of the objects that exist now."""
    gc.freeze()
    gc.enable()


def read_or_default(path: str, settings: RelaySettings) -> RelaySettings:
    """The settings in the file; those in force when it has faults."""
    try:
        return read_relay_settings(path)
    except (InvalidFileError, OSError):
        return settings


def reload_relay(instance: "RelayEntry", path: str) -> None:
    """Reload the settings; a file with faults leaves those in force."""
    try:
        instance.reload(read_relay_settings(path))
    except InvalidFileError as error:
        instance.refuse_reload(error.numbered())
    except OSError as error:
        instance.refuse_reload(str(error))
