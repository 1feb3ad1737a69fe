"""``cornelspan bench``: run a benchmark and check its bounds."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
from result import Err, Ok
from rich.console import Console

NOT_INSTALLED = "cornelspan-standins is not installed; benchmarks need it"


@cappa.command(name="bench", help="Run a benchmark; exit 1 if a bound is violated.")
@dataclass(frozen=True)
class BenchCommand:
    """Run a benchmark and print its tables, then one line of JSON.

    Example: cornelspan bench path --seed 7
    """

    name: Annotated[
        str, cappa.Arg(help="Name of the benchmark, or 'list' for all names.")
    ]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")] = 1
    short: Annotated[bool, cappa.Arg(long=True, help="Do a short run, as in CI.")] = (
        False
    )

    def __call__(self) -> int:
        """Run the benchmark and return the exit code.

        Returns:
            0, 1 if a bound is violated, or 2 if the benchmark is unknown or
            cornelspan-standins is not installed.
        """
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
