"""Command line of the benchmark experiments."""

from __future__ import annotations

import json
import pathlib

import click

from bench import experiments
from bench import plots
from bench import policies
from bench import runner
from bench import tables
from bench import users
from goldcresthall.encoding import documents

POLICY_NAMES = tuple(policy.name for policy in policies.POLICIES)
RESULTS_FOLDER = pathlib.Path(__file__).parent / "results"


@click.group()
def main() -> None:
    """Run experiments on loopback; each has a fixed duration."""


@main.command("list")
def list_experiments() -> None:
    """List the names of the experiments."""
    for name in experiments.CATALOGUE:
        click.echo(name)


@main.command("run")
@click.argument("name", type=click.Choice(list(experiments.CATALOGUE)))
@click.option("--user", type=click.Choice(list(users.USERS)), default="minnelys")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--results", type=click.Path(path_type=pathlib.Path), default=RESULTS_FOLDER)
@click.option("--policy", "names", type=click.Choice(POLICY_NAMES), multiple=True)
@click.option(
    "--plot/--no-plot", default=False, help="Also write a PNG plot next to the JSON file."
)
def run(
    *,
    name: str,
    user: str,
    seed: int,
    results: pathlib.Path,
    names: tuple[str, ...],
    plot: bool,
) -> None:
    """Run one experiment under the named or all policies and write the result as JSON."""
    experiment = experiments.create_experiment(name, user)
    compared_policies = tuple(
        policy for policy in policies.POLICIES if not names or policy.name in names
    )
    result = runner.run_experiment(experiment, compared_policies, seed, click.echo)
    results.mkdir(parents=True, exist_ok=True)
    path = results / f"{user}-{name}-{seed}.json"
    path.write_text(json.dumps(documents.to_json_value(result), indent=1) + "\n")
    if plot:
        plots.plot_result(result, path.with_suffix(".png"))
    for item in result.results:
        click.echo(_describe(item))
        for unanswered in item.window.not_answered:
            click.echo(
                f"  {unanswered.service} {unanswered.verdict.value} {unanswered.reason}"
                f" {unanswered.count}"
            )
    click.echo(str(path))


@main.command("tables")
@click.option("--results", type=click.Path(path_type=pathlib.Path), default=RESULTS_FOLDER)
def show_tables(results: pathlib.Path) -> None:
    """Print the results in a folder as Markdown tables."""
    click.echo(tables.render_experiments(results))
    click.echo()
    click.echo(tables.render_placements(results))


def _describe(item: runner.PolicyResult) -> str:
    window = item.window
    worst = max(window.imbalance, key=lambda imbalance: imbalance.largest_over_mean)
    return (
        f"{item.policy:14} good {window.good_share:.3f} ({window.goodput_per_s:.0f}/s)"
        f" short p50 {window.short.p50_ms:.0f} p99 {window.short.p99_ms:.0f}"
        f" p99.9 {window.short.p999_ms:.0f} ms"
        f" refused {window.refused_share:.3f} in p99 {window.refusal.p99_ms:.0f} ms"
        f" unknown {window.unknown_share:.3f} unreached {window.unreached_share:.3f}"
        f" imbalance {worst.largest_over_mean:.2f} ({worst.service})"
        f" tries {window.retry_amplification:.2f}"
        f" worst key {window.worst_key_unavailable_s:.2f} s"
        f" late {window.sent_late_p99_ms:.0f} ms"
        f" cpu {item.router_processor_s:.1f} s"
    )


if __name__ == "__main__":
    main()
