"""``cornelspan soak``: real processes under load and faults, promises checked."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from rich.console import Console

from cornelspan_common.logs import start_logging
from cornelspan_common.settings import LogSettings

NOT_INSTALLED = "cornelspan-standins is not installed; the soak needs it"


@cappa.command(name="soak", help="Run the fault soak; exit 1 when a promise breaks.")
@dataclass(frozen=True)
class SoakCommand:
    """Run seeds one after the other, each with faults of its own.

    Example: cornelspan soak --seed 3 --runs 10 --seconds 20
    """

    seed: Annotated[int, cappa.Arg(long=True, help="The first seed.")] = 1
    runs: Annotated[int, cappa.Arg(long=True, help="How many seeds to run.")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long faults come, in seconds.")
    ] = 20.0
    balancers: Annotated[int, cappa.Arg(long=True, help="How many balancers.")] = 3
    orders: Annotated[int, cappa.Arg(long=True, help="Endpoints of one service.")] = 4
    receipts: Annotated[int, cappa.Arg(long=True, help="Those of the other.")] = 2
    per_second: Annotated[float, cappa.Arg(long=True, help="Requests.")] = 25.0
    history: Annotated[
        Path, cappa.Arg(long=True, help="Where logs and histories of runs go.")
    ] = Path("out/soak")

    def __call__(self) -> int:
        """Run all seeds and return the exit code."""
        try:
            from cornelspan_standins import soak
            from cornelspan_standins.ports import port_block
            from cornelspan_standins.soak_plan import SoakPlan
        except ImportError:
            print(NOT_INSTALLED, file=sys.stderr)
            return 2
        start_logging(LogSettings(level="ERROR"), process="soak")
        all_passed = True
        for seed in range(self.seed, self.seed + self.runs):
            values = {
                "seed": seed,
                "seconds": self.seconds,
                "balancers": self.balancers,
                "orders": self.orders,
                "receipts": self.receipts,
                "per_second": self.per_second,
            }
            try:
                plan = msgspec.convert(values, SoakPlan)
            except msgspec.ValidationError as error:
                print(f"cornelspan: {error}", file=sys.stderr)
                return 2
            with port_block() as port:
                plan = msgspec.structs.replace(plan, first_port=port)
                folder = self.history / f"seed-{seed}"
                result = asyncio.run(soak.run_soak(plan, folder))
            soak.show_result(result, Console())
            all_passed = all_passed and not result.broken
        return 0 if all_passed else 1
