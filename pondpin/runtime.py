"""Program start-up: Twisted on the asyncio event loop, arguments by fire, logs by absl."""

import asyncio
import json
import logging as std_logging
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging
from twisted.internet import asyncioreactor

import pondpin

USAGE_STATUS = 2


class JsonFormatter(std_logging.Formatter):
    """JSON lines with time, level, module and message."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Format a record."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


def set_up_logs(level: str) -> None:
    """Write absl's logs to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.get_absl_handler().setFormatter(JsonFormatter())
    std_logging.getLogger("asyncio").setLevel(std_logging.ERROR)


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time for which the machine was suspended."""

    def time(self) -> float:
        """The loop's clock, the same as all others of the process."""
        return steady_now()


def new_loop() -> asyncio.AbstractEventLoop:
    """Create the program's event loop and set it as the current one."""
    loop = SteadyLoop()
    asyncio.set_event_loop(loop)
    return loop


def install_reactor(loop: asyncio.AbstractEventLoop) -> Any:
    """Install Twisted's reactor on an event loop, with the loop's clock; returns the reactor."""
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    started: Any = reactor
    started.seconds = loop.time
    started.startRunning(installSignalHandlers=False)
    return started


def run(work: Callable[[Any], Coroutine[Any, Any, int]]) -> int:
    """Run a program's coroutine, given the reactor; returns its exit status."""
    loop = new_loop()
    reactor = install_reactor(loop)
    try:
        return loop.run_until_complete(work(reactor))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())


def stop_on_signals() -> asyncio.Event:
    """An event that SIGTERM or SIGINT sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def call_on_signal(number: int, action: Callable[[], None]) -> None:
    """Call action on the event loop at each signal."""
    asyncio.get_running_loop().add_signal_handler(number, action)


def wall_now() -> float:
    """Seconds since the epoch, for times that other machines read."""
    return time.time()


def steady_now() -> float:
    """Seconds of a clock that never steps back, for time limits.

    It advances while the machine is suspended. CLOCK_MONOTONIC doesn't, which would understate the
    ages of revoked keys, leases and peers.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_command(command: Any, name: str) -> None:
    """Run a fire command line; exits with status 2 on unknown or misspelt arguments.

    fire calls a function before it checks for unused arguments. So functions only return a
    ParsedCommand, which is started when every argument was consumed.
    """
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        print(f"{name} {pondpin.__version__}")
        return
    if not arguments and isinstance(command, dict):
        arguments = ["--help"]
    import fire
    from fire.core import FireExit

    try:
        result = fire.Fire(command, command=arguments, name=name, serialize=lambda _: None)
    except FireExit as error:
        sys.exit(error.code)
    if not isinstance(result, ParsedCommand):
        print(f"{name}: incomplete command; see {name} --help", file=sys.stderr)
        sys.exit(USAGE_STATUS)
    sys.exit(result.start())


class ParsedCommand:
    """A command with its arguments parsed, ready to start."""

    __slots__ = ("start",)

    def __init__(self, start: Callable[[], int]) -> None:
        self.start = start

    def __dir__(self) -> list[str]:
        """Hide members from fire, so that it refuses an unused argument."""
        return []
