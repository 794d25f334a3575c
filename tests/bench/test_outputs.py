"""Tests that results are rendered as Markdown tables and PNG plots."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from bench import experiments
from bench import measures
from bench import plots
from bench import runner
from bench import tables
from goldcresthall.encoding import documents

if TYPE_CHECKING:
    import pathlib

PNG_MAGIC = b"\x89PNG"


def create_result() -> runner.ExperimentResult:
    experiment = experiments.create_experiment("ordinary", "minnelys")
    no_samples = measures.Percentiles(0, 0.0, 0.0, 0.0)
    measured = measures.Measures(
        requests=100,
        good_share=0.93,
        goodput_per_s=9.3,
        short=measures.Percentiles(93, 120.0, 250.0, 260.0),
        long=no_samples,
        refused_share=0.07,
        refusal=no_samples,
        unknown_share=0.0,
        unreached_share=0.0,
        imbalance=(measures.ServiceImbalance("archive", 1.5),),
        retry_amplification=1.1,
        worst_key_unavailable_s=0.4,
        mean_key_unavailable_s=0.1,
        sent_late_p99_ms=3.0,
    )
    result = runner.PolicyResult("product", measured, measured, 1.0, 40.0)
    return runner.ExperimentResult(experiment, 1, 0.5, (result,))


def test_result_is_plotted_as_png(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "result.png"
    plots.plot_result(create_result(), path)
    assert path.read_bytes().startswith(PNG_MAGIC)


def test_written_result_is_rendered_as_table_row(tmp_path: pathlib.Path) -> None:
    (tmp_path / "result.json").write_text(json.dumps(documents.to_json_value(create_result())))
    line = tables.render_experiments(tmp_path).splitlines()[-1]
    assert line.startswith("| minnelys, ordinary, 1 | product | 0.930 | 9 | 120 / 250 / 260 |")
