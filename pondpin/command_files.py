"""Reading of a command's input file: prints every fault and exits."""

import sys
from collections.abc import Callable
from typing import TypeVar

from pondpin.errors import InvalidFileError

T = TypeVar("T")


def read_or_exit(program: str, path: str, read: Callable[[str], T], status: int) -> T:
    """The result of read; exits with status when the file has faults or can't be read."""
    try:
        return read(path)
    except OSError as error:
        print(f"{program}: {path}: {error.strerror}", file=sys.stderr)
    except InvalidFileError as error:
        print(f"{program}: {error.message}:\n{error.numbered()}", file=sys.stderr)
    sys.exit(status)
