"""Command line of the soak test: runs seeds and prints the violated invariants."""

from __future__ import annotations

import pathlib
import sys
import tempfile

import click

from tests.soak import deployment
from tests.soak import drawing
from tests.soak import seed_run


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", default=15.0, show_default=True, help="Duration of fault injection.")
@click.option("--instances", default=3, show_default=True, help="Number of router processes.")
@click.option("--keyed", default=4, show_default=True, help="Number of keyed servers.")
@click.option("--unkeyed", default=2, show_default=True, help="Number of other servers.")
@click.option("--profile", type=click.Choice(list(drawing.PROFILES)), default="everything")
@click.option(
    "--keep", type=click.Path(path_type=pathlib.Path), help="Folder in which logs are kept."
)
def main(
    *,
    first: int,
    count: int,
    seconds: float,
    instances: int,
    keyed: int,
    unkeyed: int,
    profile: str,
    keep: pathlib.Path | None,
) -> None:
    """Run seeds; exit with status 1 if an invariant was violated."""
    failed = False
    for seed in range(first, first + count):
        folder = pathlib.Path(tempfile.mkdtemp()) if keep is None else keep / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        size = deployment.DeploymentSize(instances, keyed, unkeyed)
        outcome = seed_run.run_seed(seed, seconds, folder, size, drawing.PROFILES[profile])
        click.echo(
            f"seed {seed}: {len(outcome.faults)} faults, statuses {dict(outcome.statuses)},"
            f" {len(outcome.violations)} violations"
        )
        for violation in outcome.violations:
            failed = True
            click.echo(f"  {violation.at_s:.3f} {violation.invariant}: {violation.detail}")
        if outcome.violations:
            click.echo(f"  logs in {folder}")
            for fault in outcome.faults:
                click.echo(f"  {fault}")
    sys.exit(1 if failed else 0)


main()
