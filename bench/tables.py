"""Markdown tables of results, generated from the result files so that pages agree with them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import pathlib

COLUMNS = (
    "user, experiment, seed",
    "policy",
    "good share",
    "goodput 1/s",
    "short p50 / p99 / p99.9 ms",
    "refused (p99 ms)",
    "unknown",
    "imbalance",
    "tries",
    "worst key s",
    "router CPU s",
    "tool late p99 ms",
)
PLACEMENT_COLUMNS = (
    "servers, Zipf, sampled, seed",
    "method",
    "imbalance mean / p95 / worst",
    "moves: partitions, keys",
    "keys moved",
)


def render_experiments(folder: pathlib.Path) -> str:
    """Return a table of the experiments in a folder, each measured in its own time window."""
    lines = _render_header(COLUMNS)
    for path in sorted(folder.glob("*.json")):
        document = json.loads(path.read_text())
        if "experiment" in document:
            lines.extend(_render_policy(document, item) for item in document["results"])
    return "\n".join(lines)


def render_placements(folder: pathlib.Path) -> str:
    """Return a table of the placement trials in a folder."""
    lines = _render_header(PLACEMENT_COLUMNS)
    for path in sorted(folder.glob("placement-*.json")):
        document = json.loads(path.read_text())
        lines.extend(_render_method(document["draw"], item) for item in document["results"])
    return "\n".join(lines)


def _render_header(columns: tuple[str, ...]) -> list[str]:
    return [_render_line(columns), "|" + "---|" * len(columns)]


def _render_line(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"


def _render_policy(document: dict[str, Any], item: dict[str, Any]) -> str:
    experiment = document["experiment"]
    window = item["window"]
    short = window["short"]
    worst = max(window["imbalance"], key=lambda imbalance: imbalance["largest_over_mean"])
    return _render_line(
        (
            f"{experiment['user']}, {experiment['name']}, {document['seed']}",
            item["policy"],
            f"{window['good_share']:.3f}",
            f"{window['goodput_per_s']:.0f}",
            f"{short['p50_ms']:.0f} / {short['p99_ms']:.0f} / {short['p999_ms']:.0f}",
            f"{window['refused_share']:.3f} ({window['refusal']['p99_ms']:.0f})",
            f"{window['unknown_share'] + window['unreached_share']:.3f}",
            f"{worst['largest_over_mean']:.2f} {worst['service']}",
            f"{window['retry_amplification']:.2f}",
            f"{window['worst_key_unavailable_s']:.2f}",
            f"{item['router_processor_s']:.1f}",
            f"{window['sent_late_p99_ms']:.0f}",
        )
    )


def _render_method(draw: dict[str, Any], item: dict[str, Any]) -> str:
    return _render_line(
        (
            f"{draw['servers']}, {draw['zipf_exponent']}, {draw['sampled']}, {draw['seed']}",
            item["method"],
            f"{item['mean_imbalance']} / {item['p95_imbalance']} / {item['worst_imbalance']}",
            f"{item['partition_moves']}, {item['key_moves']}",
            f"{item['key_churn']}",
        )
    )
