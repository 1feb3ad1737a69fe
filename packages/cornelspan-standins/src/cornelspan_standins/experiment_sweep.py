"""Runs an experiment with several values of its settings, and with several seeds.

match vary(plan, ["policy.order=due,age", "load=1,1.5"]):
    case Ok(variants): ...
    case Err(error): ...
"""

import itertools
from collections.abc import Iterator
from dataclasses import asdict, dataclass

import msgspec
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from cornelspan_standins.experiment import Outcome, play
from cornelspan_standins.experiment_figures import Figures, figures_of, mean_figures
from cornelspan_standins.experiment_plan import ExperimentPlan

MILLISECONDS = "_milliseconds"


@dataclass(frozen=True, slots=True)
class Variant:
    """A plan with one combination of values; ``values`` are by path."""

    values: dict[str, str]
    plan: ExperimentPlan

    @property
    def name(self) -> str:
        """The values as text, for tables and plots."""
        return ", ".join(f"{path}={value}" for path, value in self.values.items())


@dataclass(frozen=True, slots=True)
class VariantRun:
    """A variant, its outcomes by seed and the mean of their figures."""

    variant: Variant
    outcomes: tuple[Outcome, ...]
    figures: Figures


@dataclass(frozen=True, slots=True)
class BadVariation:
    """A setting that can't be varied so."""

    text: str
    reason: str

    def __str__(self) -> str:
        return f"can't vary {self.text!r}: {self.reason}"


def vary(
    plan: ExperimentPlan, variations: list[str]
) -> Result[list[Variant], BadVariation]:
    """Return the plan with each combination of values.

    Args:
        plan: The plan.
        variations: Texts of the form ``path=value,value``; a path leads through tables
            by name and through lists by number.
    """
    axes: list[list[tuple[str, str]]] = []
    for text in variations:
        path, found, values = text.partition("=")
        if not found or not values:
            return Err(BadVariation(text, "expected PATH=VALUE,VALUE"))
        axes.append([(path, value) for value in values.split(",")])
    variants = []
    for combination in itertools.product(*axes):
        match _with_values(plan, dict(combination)):
            case Ok(changed):
                variants.append(Variant(dict(combination), changed))
            case error:
                return error
    return Ok(variants)


def _with_values(
    plan: ExperimentPlan, values: dict[str, str]
) -> Result[ExperimentPlan, BadVariation]:
    built = msgspec.json.decode(msgspec.json.encode(plan))
    for path, value in values.items():
        try:
            _put(built, path.split("."), value)
        except (KeyError, IndexError, ValueError, TypeError):
            return Err(BadVariation(f"{path}={value}", "there is no such setting"))
    try:
        return Ok(msgspec.convert(built, type=ExperimentPlan, strict=False))
    except msgspec.ValidationError as error:
        return Err(BadVariation(str(values), str(error)))


def _put(built: dict | list, path: list[str], value: str) -> None:
    """Put a value where a path leads; the path must exist."""
    first, *rest = path
    key = int(first) if isinstance(built, list) else first
    if rest:
        _put(built[key], rest, value)
    elif isinstance(built, dict) and key not in built:
        raise KeyError(key)
    else:
        built[key] = value


def run_variants(variants: list[Variant], seeds: int) -> Iterator[VariantRun]:
    """Play each variant with some seeds, beginning with its own."""
    for variant in variants:
        first = variant.plan.seed
        outcomes = tuple(
            play(msgspec.structs.replace(variant.plan, seed=seed))
            for seed in range(first, first + seeds)
        )
        figures = mean_figures([figures_of(outcome) for outcome in outcomes])
        yield VariantRun(variant, outcomes, figures)


def show_runs(runs: list[VariantRun], console: Console) -> None:
    """Print a table of the figures, then all of them as one line of JSON."""
    numbers = [str(number) for number, _ in enumerate(runs, start=1)]
    for number, run in zip(numbers, runs, strict=True):
        console.print(f"{number}: {run.variant.name or 'as planned'}")
    table = Table("figure", *numbers)
    for figure in asdict(runs[0].figures):
        values = [f"{asdict(run.figures)[figure]:.4g}" for run in runs]
        heading = figure.replace(MILLISECONDS, " ms").replace("_", " ")
        table.add_row(heading, *values)
    console.print(table)
    summary = [{**run.variant.values, **asdict(run.figures)} for run in runs]
    print(msgspec.json.encode(summary).decode(), file=console.file)
