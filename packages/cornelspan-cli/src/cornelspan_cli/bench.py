"""``cornelspan bench``: run a bench and check its bounds."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
from result import Err, Ok
from rich.console import Console

NOT_INSTALLED = "cornelspan-standins is not installed; benches need it"


@cappa.command(name="bench", help="Run a bench; exit 1 when one of its bounds fails.")
@dataclass(frozen=True)
class BenchCommand:
    """Run a bench, print its tables and end with one line of JSON.

    Example: cornelspan bench path --seed 7
    """

    name: Annotated[str, cappa.Arg(help="Name of the bench, or 'list' for all names.")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")] = 1
    short: Annotated[bool, cappa.Arg(long=True, help="A short run, as in CI.")] = False

    def __call__(self) -> int:
        """Run the bench and return the exit code."""
        try:
            from cornelspan_standins import bench
        except ImportError:
            print(NOT_INSTALLED, file=sys.stderr)
            return 2
        if self.name == "list":
            print("\n".join(bench.bench_names()))
            return 0
        match bench.find_bench(self.name):
            case Err(error):
                print(error, file=sys.stderr)
                return 2
            case Ok(bench_function):
                settings = bench.BenchSettings(seed=self.seed, short=self.short)
        result = asyncio.run(bench_function(settings))
        bench.show_result(result, Console())
        return 0 if result.ok else 1
