"""``cornelspan check``: validate a profile or service file without applying it."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from cornelspan_cli._output import ExitCode, fail, show_json
from cornelspan_control.changes import Invalid
from cornelspan_control.profiles import Profile, Service


@cappa.command(name="check", help="Validate the JSON file of a profile or service.")
@dataclass(frozen=True, kw_only=True)
class CheckCommand:
    """Validate a file; exit 1 and print the path of the first invalid field.

    Example: cornelspan check orders.json
    """

    file: Annotated[
        str, cappa.Arg(help="JSON file; one with an address is taken as a service.")
    ]
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the result as JSON.")
    ] = False

    def __call__(self) -> int:
        """Validate the file without settings or a store, and return the exit code."""
        try:
            values = msgspec.json.decode(Path(self.file).read_bytes())
            service = isinstance(values, dict) and "address" in values
            checked = msgspec.convert(values, Service if service else Profile)
        except OSError as error:
            return fail(Invalid(f"{self.file}: {error.strerror}"))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return fail(Invalid(f"{self.file}: {error}"))
        kind = "service" if service else "profile"
        if self.json:
            show_json({"kind": kind, "value": checked})
        else:
            print(f"{self.file}: valid {kind} {checked.name}")
        return ExitCode.SUCCESS
