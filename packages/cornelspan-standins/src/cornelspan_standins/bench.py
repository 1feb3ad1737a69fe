"""Benches: what one is, how it is found by name, and how its result is shown.

A bench is a coroutine function in a module ``bench_NAME`` of this package, registered
under its name:

    @bench("path")
    async def bench_path(settings: BenchSettings) -> BenchResult: ...

A bound holds within one run, as a ratio or a count, so that it means the same on a fast
and on a slow machine.
"""

import importlib
import pkgutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Literal

import msgspec
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

import cornelspan_standins

MODULE_PREFIX = "bench_"


@dataclass(frozen=True, slots=True)
class BenchSettings:
    """What a bench is told: its seed and whether to be short, as in CI."""

    seed: int = 1
    short: bool = False


@dataclass(frozen=True, slots=True)
class Bound:
    """A limit that a measured value must keep to."""

    name: str
    value: float
    limit: float
    at: Literal["most", "least"] = "most"

    @property
    def ok(self) -> bool:
        """Whether the value keeps to the limit."""
        if self.at == "most":
            return self.value <= self.limit
        return self.value >= self.limit


@dataclass(frozen=True, slots=True)
class BenchResult:
    """What a bench has measured.

    ``columns`` and ``rows`` make its table; ``summary`` goes into the last line.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    bounds: tuple[Bound, ...]
    summary: dict[str, float]

    @property
    def ok(self) -> bool:
        """Whether all bounds hold."""
        return all(bound.ok for bound in self.bounds)


@dataclass(frozen=True, slots=True)
class BenchError:
    """A bench that there is not."""

    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        return f"no bench {self.name!r}; there are: {', '.join(self.known)}"


Bench = Callable[[BenchSettings], Awaitable[BenchResult]]
registered: dict[str, Bench] = {}


def bench(name: str) -> Callable[[Bench], Bench]:
    """Register a bench under a name."""

    def register(function: Bench) -> Bench:
        registered[name] = function
        return function

    return register


def bench_names() -> tuple[str, ...]:
    """Return the names of all benches, from the names of their modules."""
    modules = pkgutil.iter_modules(cornelspan_standins.__path__)
    return tuple(
        sorted(
            module.name.removeprefix(MODULE_PREFIX)
            for module in modules
            if module.name.startswith(MODULE_PREFIX)
        )
    )


def find_bench(name: str) -> Result[Bench, BenchError]:
    """Return the bench of a name, importing its module only now."""
    if name not in bench_names():
        return Err(BenchError(name, bench_names()))
    importlib.import_module(f"{cornelspan_standins.__name__}.{MODULE_PREFIX}{name}")
    found = registered.get(name)
    return Ok(found) if found else Err(BenchError(name, tuple(registered)))


def show_result(result: BenchResult, console: Console) -> None:
    """Print the tables, then the summary as one line of JSON."""
    table = Table(*result.columns, title=result.title)
    for row in result.rows:
        table.add_row(*row)
    console.print(table)
    console.print(_bounds_table(result.bounds))
    summary = {**result.summary, "ok": result.ok}
    print(msgspec.json.encode(summary).decode(), file=console.file)


def _bounds_table(bounds: tuple[Bound, ...]) -> Table:
    table = Table("bound", "value", "limit", "holds", title="Bounds")
    for bound in bounds:
        limit = f"at {bound.at} {bound.limit:g}"
        holds = "yes" if bound.ok else "NO"
        table.add_row(bound.name, f"{bound.value:.4g}", limit, holds)
    return table
