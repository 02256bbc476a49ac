"""The commands of pondpinctl that read the logs of relaying instances."""

import sys
from pathlib import Path

import msgspec

from pondpin.runtime import ParsedCommand
from pondpin.tools.log_story import find_story, read_lines, tell_story
from pondpin.tools.losses import (
    forecast_errors,
    parse_worth,
    plot_losses,
    read_outcomes,
    show_losses,
    split,
    weigh,
)
from pondpin.tools.tables import make_console

PROGRAM = "pondpinctl"
FAULT_STATUS = 1
NOTHING_STATUS = 4


def trace(request: str, *logs: str, margin: float = 2.0, json: bool = False) -> ParsedCommand:
    """Tell what became of a relayed request, from the log files of all instances.

    margin is how many seconds before its first line other events are shown.
    """

    def start() -> int:
        try:
            lines = read_lines(Path(log) for log in logs)
        except OSError as error:
            print(f"{PROGRAM}: {error.filename}: {error.strerror}", file=sys.stderr)
            return FAULT_STATUS
        story = find_story(lines, str(request), margin)
        if json:
            print(msgspec.json.encode(story).decode())
        else:
            print("\n".join(tell_story(story)))
        return 0 if story.own else NOTHING_STATUS

    return ParsedCommand(start)


def losses(
    *logs: str,
    worth: str = "",
    span: float = 10.0,
    json: bool = False,
    plot: str = "",
) -> ParsedCommand:
    """Split the worth that relayed requests lost by kind, size, time and cause.

    worth gives a request's worth by its target in ms, 300=1.3,3000=24; span is in seconds.
    """

    def start() -> int:
        try:
            lines = read_lines(Path(log) for log in logs)
            worth_by_kind = parse_worth(worth)
        except (OSError, ValueError) as error:
            print(f"{PROGRAM}: {error}", file=sys.stderr)
            return FAULT_STATUS
        tables = split(weigh(read_outcomes(lines), worth_by_kind), span)
        errors = forecast_errors(lines)
        if json:
            print(msgspec.json.encode({"losses": tables, "forecasts": errors}).decode())
        else:
            show_losses(make_console(), tables, errors)
        if plot:
            plot_losses(tables, Path(plot))
        return 0 if tables["cause"] else NOTHING_STATUS

    return ParsedCommand(start)
