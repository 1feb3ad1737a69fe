"""``cornelspan soak``: check the guarantees of real processes under faults."""

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

NOT_INSTALLED = "cornelspan-standins is not installed; the soak test needs it"


@cappa.command(
    name="soak", help="Run the soak test; exit 1 if a guarantee is violated."
)
@dataclass(frozen=True)
class SoakCommand:
    """Run processes under load with random faults, one seed after another.

    Example: cornelspan soak --seed 3 --runs 10 --seconds 20
    """

    seed: Annotated[int, cappa.Arg(long=True, help="The first seed.")] = 1
    runs: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long faults are injected, in seconds.")
    ] = 20.0
    balancers: Annotated[int, cappa.Arg(long=True, help="Number of balancers.")] = 3
    orders: Annotated[
        int, cappa.Arg(long=True, help="Number of endpoints of the service orders.")
    ] = 4
    receipts: Annotated[
        int, cappa.Arg(long=True, help="Number of endpoints of the service receipts.")
    ] = 2
    per_second: Annotated[float, cappa.Arg(long=True, help="Requests per second.")] = (
        25.0
    )
    history: Annotated[
        Path, cappa.Arg(long=True, help="Directory for logs and histories of runs.")
    ] = Path("out/soak")

    def __call__(self) -> int:
        """Run all seeds; return 1 if a guarantee is violated, 2 for a bad option."""
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
