"""PNG plots of experiment results."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl
from matplotlib import pyplot as plt

if TYPE_CHECKING:
    import pathlib

    from bench import runner

FIGURE_SIZE_INCHES = (9.0, 3.6)
DOTS_PER_INCH = 90


def plot_result(result: runner.ExperimentResult, path: pathlib.Path) -> None:
    """Plot the shares of good and refused requests and the short latencies for each policy."""
    mpl.use("Agg")
    names = [item.policy for item in result.results]
    figure, (shares, latencies) = plt.subplots(1, 2, figsize=FIGURE_SIZE_INCHES)
    good = [item.window.good_share for item in result.results]
    refused = [item.window.refused_share for item in result.results]
    shares.bar(names, good, label="answered in time")
    shares.plot(names, refused, "k.", label="refused")
    shares.set_ylim(0.0, 1.05)
    shares.set_ylabel("share of requests")
    shares.legend()
    for label in ("p50_ms", "p99_ms", "p999_ms"):
        values = [getattr(item.window.short, label) for item in result.results]
        latencies.plot(names, values, "o", label=label)
    latencies.set_yscale("log")
    latencies.set_ylabel("latency of answered short requests, ms")
    latencies.legend()
    figure.suptitle(f"{result.experiment.user} {result.experiment.name}, seed {result.seed}")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
