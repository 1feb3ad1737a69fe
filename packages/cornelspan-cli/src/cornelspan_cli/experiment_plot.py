"""The plot of an experiment: share of worth earned over time, by variant."""

from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib
from matplotlib.figure import Figure

if TYPE_CHECKING:
    from cornelspan_standins.experiment_sweep import VariantRun

matplotlib.use("Agg")

FIGURE_INCHES = (8.0, 4.0)


def write_plot(runs: "list[VariantRun]", file: Path) -> None:
    """Plot the worth of each window, a line for each variant, and write it to a file.

    Only the first seed of a variant is plotted. The suffix of the file name selects the
    format.
    """
    from cornelspan_standins.experiment_figures import windows_of

    figure = Figure(figsize=FIGURE_INCHES)
    axes = figure.subplots()
    for run in runs:
        windows = windows_of(run.outcomes[0])
        name = run.variant.name or "as planned"
        axes.plot(
            [window.at for window in windows],
            [window.worth for window in windows],
            marker=".",
            label=name,
        )
    axes.set_xlabel("seconds")
    axes.set_ylabel("share of worth earned")
    axes.legend(fontsize="small")
    figure.savefig(file, bbox_inches="tight")
