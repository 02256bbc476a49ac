"""Prints rows as a table for people, or as JSON for scripts."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

PIPE_WIDTH = 160


def make_console() -> Console:
    """A console as wide as the terminal, or wide enough for tables when there is none."""
    return Console() if sys.stdout.isatty() else Console(width=PIPE_WIDTH)


def print_rows(console: Console, title: str, rows: Sequence[dict[str, Any]]) -> None:
    """One line for each row; a single row of many columns is shown upright."""
    if len(rows) == 1 and len(rows[0]) > 6:
        table = Table(title=title, show_header=False)
        for name, value in rows[0].items():
            table.add_row(name, show_value(value))
        console.print(table)
        return
    table = Table(title=title)
    columns = list(dict.fromkeys(name for row in rows for name in row))
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(show_value(row.get(column, "")) for column in columns))
    console.print(table)


def show_value(value: Any) -> str:
    """A value in a cell."""
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.4g}"
        case dict():
            return ", ".join(f"{name}={item}" for name, item in value.items())
        case list() | tuple():
            return ", ".join(str(item) for item in value)
        case _:
            return str(value)


def print_json(value: Any) -> None:
    """A document for scripts."""
    print(json.dumps(value, indent=2, ensure_ascii=False))
