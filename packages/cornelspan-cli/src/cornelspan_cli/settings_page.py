"""The page docs/SETTINGS.md, made from the schema of settings and profiles.

    python -m cornelspan_cli.settings_page > docs/SETTINGS.md

The schema is msgspec's; a test holds the page and the schema together.
"""

import inspect
import json
from typing import Any

import msgspec

from cornelspan_common.settings import AgentSettings, BalancerSettings, Checked
from cornelspan_control.profiles import Profile, Service
from cornelspan_passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)

INTRODUCTION = """\
# Settings

Made by `make docs` from the schema that the daemons and the client check; edit the
docstrings of `settings.py` and `profiles.py` instead of this page.

A daemon reads one JSON file. Operators edit profiles and services as JSON too. An
unknown key, a wrong type or a value out of range is refused with the path of the field,
such as `$.listen.port`, and exit code 2. Times are in seconds, sizes in bytes, shares
from 0 to 1.
"""
TOP_LEVEL: tuple[type[Checked], ...] = (
    BalancerSettings,
    AgentSettings,
    PassthroughBalancerSettings,
    PassthroughAgentSettings,
    Profile,
    Service,
)
LIMIT_FORMATS = {
    "minimum": "≥ {}",
    "exclusiveMinimum": "> {}",
    "maximum": "≤ {}",
    "exclusiveMaximum": "< {}",
    "pattern": "matches `{}`",
    "enum": "one of {}",
}

Schema = dict[str, Any]


def settings_page() -> str:
    """Return the whole page."""
    _, components = msgspec.json.schema_components(
        TOP_LEVEL, ref_template="#/components/{name}"
    )
    top_level = [settings_type.__name__ for settings_type in TOP_LEVEL]
    others = sorted(set(components) - set(top_level))
    sections = [_section(name, components[name]) for name in (*top_level, *others)]
    return "\n".join([INTRODUCTION, *sections])


def _section(name: str, schema: Schema) -> str:
    text = inspect.cleandoc(schema.get("description", "")).replace("``", "`")
    required = schema.get("required", [])
    rows = [
        _row(field, part, field in required)
        for field, part in schema.get("properties", {}).items()
    ]
    table = ["| field | type | limits | default |", "|---|---|---|---|", *rows]
    return "\n".join([f"## {name}", "", text, "", *table, ""])


def _row(field: str, schema: Schema, required: bool) -> str:
    default = "required" if required else _default(schema)
    cells = [f"`{field}`", _type_name(schema), _limits(schema), default]
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def _default(schema: Schema) -> str:
    if schema.get("default") is None:
        return "none" if "default" in schema else "its own defaults"
    value = schema["default"]
    if isinstance(value, dict):
        return "its own defaults"
    return f"`{json.dumps(value, ensure_ascii=False)}`"


def _type_name(schema: Schema) -> str:
    """Name a type, with a link where it has a section of its own."""
    if "$ref" in schema:
        return _link(schema["$ref"])
    if "anyOf" in schema:
        return " or ".join(_type_name(part) for part in schema["anyOf"])
    if schema.get("type") == "array":
        return f"list of {_type_name(schema['items'])}"
    return schema.get("type", "string" if "enum" in schema else "any")


def _link(reference: str) -> str:
    name = reference.rsplit("/", 1)[-1]
    return f"[{name}](#{name.lower()})"


def _limits(schema: Schema) -> str:
    return ", ".join(
        text.format(_format_limit(schema[key]))
        for key, text in LIMIT_FORMATS.items()
        if key in schema
    )


def _format_limit(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(f"`{each}`" for each in value)
    return f"{value:g}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    print(settings_page(), end="")
