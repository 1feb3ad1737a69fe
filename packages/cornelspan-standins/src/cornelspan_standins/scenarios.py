"""The scenario language: text files of steps, parsed by lark into typed steps.

    scenario "a balancer dies under load"
    load orders to order-hub flows=100 rate=50
    wait 1s
    kill balancer 1
    wait for orders
    expect "broken flows" = 0

Numbers of balancers, agents and endpoints begin with 1. An error names the file, the
line and the column.
"""

from functools import cache
from pathlib import Path

import lark
from lark.exceptions import UnexpectedInput, VisitError
from result import Err, Ok, Result

from cornelspan_standins.scenario_types import (
    ChangeProfile,
    Cut,
    Drain,
    Expect,
    Fault,
    Kill,
    Load,
    Pause,
    Position,
    Race,
    Scenario,
    ScenarioError,
    Start,
    Step,
    StepError,
    Stop,
    Store,
    Target,
    TargetKind,
    UseProfile,
    Value,
    Wait,
    WaitFor,
)

GRAMMAR = "scenario.lark"
MILLISECONDS = 1000


def parse_scenario(text: str, *, file: str) -> Result[Scenario, ScenarioError]:
    """Parse the text of a scenario.

    Args:
        text: The whole file.
        file: Its name, for error messages.
    """
    try:
        tree = _parser().parse(text)
        found = _Reader().transform(tree)
    except UnexpectedInput as error:
        position = Position(max(1, error.line), max(1, error.column))
        return Err(ScenarioError(file, position, _explain(error, text)))
    except VisitError as error:
        if isinstance(error.orig_exc, StepError):
            refused = error.orig_exc
            return Err(ScenarioError(file, refused.position, refused.reason))
        raise
    return Ok(_assemble(file, found))


def load_scenario(file: Path) -> Result[Scenario, ScenarioError]:
    """Read and parse a scenario file."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(ScenarioError(str(file), Position(1, 1), str(error)))
    return parse_scenario(text, file=str(file))


@cache
def _parser() -> lark.Lark:
    return lark.Lark.open(
        GRAMMAR, rel_to=__file__, parser="lalr", propagate_positions=True
    )


def _explain(error: UnexpectedInput, text: str) -> str:
    """Say what stands where it must not, and what could stand there."""
    rest = text[max(0, error.pos_in_stream or 0) :].split("\n")[0].split()
    found = rest[0] if rest else "end of line"
    expected = sorted(getattr(error, "expected", None) or getattr(error, "allowed", ()))
    names = ", ".join(name.lower().lstrip("_") for name in expected)
    return f"unexpected {found!r}; expected one of: {names}"


def _assemble(file: str, found: list[object]) -> Scenario:
    header = {name: value for name, value in _pairs(found, "header")}
    return Scenario(
        file=file,
        title=header.get("title", Path(file).stem),
        covers=header.get("covers", ()),
        short=header.get("short", False),
        deployment=header.get("deployment", "shirakaba"),
        balancers=header.get("balancers", 3),
        fabric=header.get("fabric"),
        profiles=tuple(_pairs(found, "profile")),
        servers=tuple(_pairs(found, "servers")),
        steps=tuple(step for step in found if isinstance(step, Step)),
    )


def _pairs(found: list[object], kind: str) -> list[tuple]:
    tagged = [each for each in found if isinstance(each, tuple)]
    return [each[1:] for each in tagged if each[0] == kind]


def _position(meta: lark.tree.Meta) -> Position:
    return Position(meta.line, meta.column)


def _value_of(token: lark.Token) -> Value:
    text = str(token)
    match token.type:
        case "DURATION" if text.endswith("ms"):
            return float(text[:-2]) / MILLISECONDS
        case "DURATION":
            return float(text[:-1])
        case "SHARE":
            return float(text[:-1]) / 100
        case "NUMBER" | "INT":
            return float(text)
        case _:
            return text


@lark.v_args(meta=True)
class _Reader(lark.Transformer):
    """Turns the parse tree into header entries and steps, in order."""

    def start(self, meta: lark.tree.Meta, parts: list) -> list:
        return parts

    def value(self, meta: lark.tree.Meta, parts: list) -> Value:
        return _value_of(parts[0])

    def setting(self, meta: lark.tree.Meta, parts: list) -> tuple[str, Value]:
        return str(parts[0]), parts[1]

    def title(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "title", _unquoted(parts[0])

    def covers(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "covers", tuple(_unquoted(part) for part in parts)

    def short(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "short", True

    def deployment(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "deployment", str(parts[0])

    def balancers(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "balancers", int(parts[0])

    def fabric(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "header", "fabric", dict(parts)

    def profile(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "profile", str(parts[0]), dict(parts[1:])

    def servers(self, meta: lark.tree.Meta, parts: list) -> tuple:
        return "servers", str(parts[0]), dict(parts[1:])

    def balancer(self, meta: lark.tree.Meta, parts: list) -> Target:
        return Target("balancer", "", _number(meta, parts[0]), _position(meta))

    def agent(self, meta: lark.tree.Meta, parts: list) -> Target:
        return _target("agent", meta, parts)

    def server(self, meta: lark.tree.Meta, parts: list) -> Target:
        return _target("server", meta, parts)

    def endpoint(self, meta: lark.tree.Meta, parts: list) -> Target:
        return _target("endpoint", meta, parts)

    def load(self, meta: lark.tree.Meta, parts: list) -> Load:
        names = [str(part) for part in parts if isinstance(part, lark.Token)]
        settings = dict(part for part in parts if isinstance(part, tuple))
        return Load(_position(meta), names[0], tuple(names[1:]), settings)

    def wait_for(self, meta: lark.tree.Meta, parts: list) -> WaitFor:
        return WaitFor(_position(meta), str(parts[0]))

    def wait(self, meta: lark.tree.Meta, parts: list) -> Wait:
        return Wait(_position(meta), _value_of(parts[0]))

    def start_target(self, meta: lark.tree.Meta, parts: list) -> Start:
        return Start(_position(meta), parts[0])

    def stop(self, meta: lark.tree.Meta, parts: list) -> Stop:
        return Stop(_position(meta), parts[0])

    def kill(self, meta: lark.tree.Meta, parts: list) -> Kill:
        return Kill(_position(meta), parts[0])

    def drain(self, meta: lark.tree.Meta, parts: list) -> Drain:
        return Drain(_position(meta), parts[0])

    def pause(self, meta: lark.tree.Meta, parts: list) -> Pause:
        return Pause(_position(meta), parts[0], _value_of(parts[1]))

    def fault(self, meta: lark.tree.Meta, parts: list) -> Fault:
        return Fault(_position(meta), parts[0], dict(parts[1:]))

    def store_down(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "down")

    def store_hangs(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "hangs")

    def store_slow(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "slow", _value_of(parts[0]))

    def store_lossy(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "lossy", _value_of(parts[0]))

    def store_stale(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "stale", _value_of(parts[0]))

    def store_well(self, meta: lark.tree.Meta, parts: list) -> Store:
        return Store(_position(meta), "well")

    def cut(self, meta: lark.tree.Meta, parts: list) -> Cut:
        return Cut(_position(meta), parts[0], parts[1], _value_of(parts[2]))

    def change(self, meta: lark.tree.Meta, parts: list) -> ChangeProfile:
        return ChangeProfile(_position(meta), str(parts[0]), dict(parts[1:]))

    def race(self, meta: lark.tree.Meta, parts: list) -> Race:
        return Race(_position(meta), str(parts[0]), dict([parts[1]]), dict([parts[2]]))

    def use(self, meta: lark.tree.Meta, parts: list) -> UseProfile:
        return UseProfile(_position(meta), str(parts[0]), str(parts[1]))

    def expect(self, meta: lark.tree.Meta, parts: list) -> Expect:
        return _expect(meta, parts, within_seconds=0.0)

    def eventually(self, meta: lark.tree.Meta, parts: list) -> Expect:
        return _expect(meta, parts[:-1], within_seconds=_value_of(parts[-1]))


def _target(kind: TargetKind, meta: lark.tree.Meta, parts: list) -> Target:
    return Target(kind, str(parts[0]), _number(meta, parts[1]), _position(meta))


def _number(meta: lark.tree.Meta, token: lark.Token) -> int:
    if int(token) < 1:
        raise StepError(_position(meta), "numbers begin with 1")
    return int(token)


def _expect(meta: lark.tree.Meta, parts: list, *, within_seconds: float) -> Expect:
    *names, operator, value = parts
    if isinstance(value, str):
        raise StepError(_position(meta), f"{value!r} is no number")
    service = str(names[1]) if len(names) > 1 else ""
    return Expect(
        _position(meta),
        _unquoted(names[0]),
        service,
        str(operator),
        value,
        within_seconds,
    )


def _unquoted(token: lark.Token) -> str:
    return str(token)[1:-1]
