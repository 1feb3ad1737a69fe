"""Profiles as lists of fields with dotted paths: reading, changing, comparing."""

import sys
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from cornelspan_control.changes import Invalid
from cornelspan_control.profiles import Profile
from cornelspan_control.records import Version


def set_fields(profile: Profile, fields: list[str]) -> Result[Profile, Invalid]:
    """Return a copy of a profile with some fields changed.

    Args:
        profile: The profile to start from.
        fields: Assignments of the form ``PATH=VALUE``. The parts of a path are joined
            by dots. A value that is not valid JSON is taken as a string.

    Returns:
        The new profile, or why an assignment is invalid.
    """
    values = msgspec.to_builtins(profile)
    for field in fields:
        path, separator, text = field.partition("=")
        *parents, last = path.split(".")
        container: Any = values
        for parent in parents:
            container = container.get(parent) if isinstance(container, dict) else None
        if not separator or not isinstance(container, dict) or last not in container:
            return Err(
                Invalid(
                    f"{field}: expected PATH=VALUE with the path of an existing field"
                )
            )
        container[last] = _parse_value(text)
    if values["name"] != profile.name:
        return Err(Invalid("the name of a profile can't be changed"))
    return _to_profile(values)


def _parse_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text.encode())
    except msgspec.DecodeError:
        return text


def _to_profile(values: Any) -> Result[Profile, Invalid]:
    try:
        return Ok(msgspec.convert(values, Profile))
    except msgspec.ValidationError as error:
        return Err(Invalid(str(error)))


def read_profile(file: str, name: str) -> Result[Profile, Invalid]:
    """Read and validate a profile from a JSON file.

    Args:
        file: Path of the file, "-" for standard input.
        name: Name of the profile. The file may leave it out, but not name another.
    """
    try:
        text = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        values = msgspec.json.decode(text)
    except OSError as error:
        return Err(Invalid(f"{file}: {error.strerror}"))
    except msgspec.DecodeError as error:
        return Err(Invalid(f"{file}: {error}"))
    if not isinstance(values, dict) or values.get("name", name) != name:
        return Err(Invalid(f"{file}: expected a profile named {name}"))
    return _to_profile({**values, "name": name})


def profile_fields(profile: Profile) -> list[tuple[str, object]]:
    """Return the path and value of each field of a profile."""
    rows: list[tuple[str, object]] = []
    for name, value in msgspec.to_builtins(profile).items():
        if isinstance(value, dict):
            rows += [(f"{name}.{inner}", each) for inner, each in value.items()]
        else:
            rows.append((name, value))
    return rows


def profile_lines(profile: Profile) -> list[str]:
    """Return one line ``PATH = VALUE`` for each field of a profile."""
    return [f"{path} = {value}" for path, value in profile_fields(profile)]


def changed_fields(older: Version, newest: Version) -> dict[str, list[object]]:
    """Return the paths of the fields that differ, each with old and new value."""
    before, after = (
        dict(profile_fields(older.profile)),
        dict(profile_fields(newest.profile)),
    )
    return {p: [before[p], after[p]] for p in after if before[p] != after[p]}
