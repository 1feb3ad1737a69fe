"""``cornelspan demo``: the whole path on loopback, with changes while it runs."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

NOT_INSTALLED = "cornelspan-standins is not installed; the demo needs it"


@cappa.command(name="demo", help="Run a whole deployment on loopback under load.")
@dataclass(frozen=True)
class DemoCommand:
    """Run the demo; exit 1 if a flow broke or a promise did not hold.

    Example: cornelspan demo --deployment mezvarti --seed 7
    """

    deployment: Annotated[
        Literal["shirakaba", "mezvarti"],
        cappa.Arg(long=True, help="Whose places and services to run."),
    ] = "shirakaba"
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="How long load runs.")] = 24.0
    port: Annotated[
        int, cappa.Arg(long=True, help="First port; 0 takes free ones.")
    ] = 0

    def __call__(self) -> int:
        """Run the demo and return the exit code."""
        try:
            from cornelspan_standins import demo
        except ImportError:
            print(NOT_INSTALLED, file=sys.stderr)
            return 2
        settings = demo.DemoSettings(
            deployment=self.deployment,
            seed=self.seed,
            seconds=self.seconds,
            base_port=self.port,
        )
        return asyncio.run(demo.run_demo(settings))
