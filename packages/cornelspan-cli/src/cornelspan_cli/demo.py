"""``cornelspan demo``: a deployment on loopback that changes under load."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

NOT_INSTALLED = "cornelspan-standins is not installed; the demo needs it"


@cappa.command(name="demo", help="Run a deployment on loopback under load.")
@dataclass(frozen=True)
class DemoCommand:
    """Run the demo; exit 1 if a flow broke or a guarantee was violated.

    Example: cornelspan demo --deployment mezvarti --seed 7
    """

    deployment: Annotated[
        Literal["shirakaba", "mezvarti"],
        cappa.Arg(long=True, help="Which deployment to run."),
    ] = "shirakaba"
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random choices.")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="How long new flows are opened, in seconds.")
    ] = 24.0
    port: Annotated[
        int, cappa.Arg(long=True, help="First port; 0 picks a block of free ports.")
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
