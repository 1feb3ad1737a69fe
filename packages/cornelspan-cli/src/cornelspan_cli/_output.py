"""Output and exit codes of the operator commands."""

import sys
from collections.abc import Iterable
from enum import IntEnum
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from cornelspan_common.errors import SettingsError
from cornelspan_control.changes import (
    Conflict,
    Indeterminate,
    Invalid,
    NotFound,
    NotWritten,
)


class ExitCode(IntEnum):
    """Exit codes of the operator commands, documented in docs/OPERATIONS.md."""

    SUCCESS = 0
    REJECTED = 1
    USAGE_ERROR = 2
    CONFLICT = 3
    STORE_ERROR = 4
    INDETERMINATE = 5
    NOT_IN_FORCE = 6
    ALERT = 7


def show_table(title: str, columns: Iterable[str], rows: Iterable[Iterable]) -> None:
    """Print a table with a title on standard output."""
    table = Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def show_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def fail(error: object) -> int:
    """Print an error on standard error and return its exit code.

    A conflict is printed with the version in force, so that the operator can merge.
    """
    print(f"cornelspan: {error}", file=sys.stderr)
    if isinstance(error, Conflict) and error.current is not None:
        current = error.current.profile or error.current.service
        text = msgspec.json.encode(current).decode()
        print(f"in force, version {error.current.change}: {text}", file=sys.stderr)
    return exit_code(error)


def exit_code(error: object) -> int:
    """Return the exit code for an error."""
    match error:
        case Invalid() | NotFound():
            return ExitCode.REJECTED
        case Conflict():
            return ExitCode.CONFLICT
        case Indeterminate():
            return ExitCode.INDETERMINATE
        case SettingsError():
            return ExitCode.USAGE_ERROR
        case NotWritten() | _:
            return ExitCode.STORE_ERROR
