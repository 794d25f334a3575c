"""Command line that runs stand-ins in a separate process."""

from __future__ import annotations

import dataclasses
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import click

from goldcresthall.encoding import documents
from goldcresthall_stand_ins import backend
from goldcresthall_stand_ins import platform
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import rulebook

if TYPE_CHECKING:
    from collections.abc import Sequence

    from goldcresthall_stand_ins import web


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFile:
    """Configuration file of a process that hosts backend servers."""

    servers: tuple[backend.BackendConfig, ...]


@click.group()
def main() -> None:
    """Run stand-ins for the platform or backend servers until SIGTERM, or check a record."""


@main.command("platform")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
def run_platform(host: str, port: int) -> None:
    """Run the platform stand-in: the log service and the instance list."""
    _run_until_signalled([platform.PlatformStandIn(host, port)])


@main.command("backends")
@click.argument("config_file", type=click.Path(dir_okay=False))
def run_backends(config_file: str) -> None:
    """Run the backend servers listed in CONFIG_FILE."""
    content = pathlib.Path(config_file).read_bytes()
    configs = documents.decode_document(content, BackendFile).servers
    _run_until_signalled([backend.BackendStandIn(config) for config in configs])


@main.group("rules")
def rules_group() -> None:
    """Check what was seen in a run against the rules of the platform."""


@rules_group.command("check")
@click.argument("record_file", type=click.Path(exists=True, dir_okay=False))
def check_record(record_file: str) -> None:
    """Print the broken rules of RECORD_FILE and exit with status 1 if there are any."""
    try:
        record = records.Record.from_file(pathlib.Path(record_file))
    except records.RecordError as error:
        raise click.ClickException(f"{record_file}: {error}") from error
    violations = rulebook.check(record)
    for violation in violations:
        click.echo(str(violation))
    click.echo(f"{len(record.events)} events, {len(violations)} violations")
    sys.exit(1 if violations else 0)


def _run_until_signalled(stand_ins: Sequence[web.StandIn]) -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    for stand_in in stand_ins:
        stand_in.start()
    click.echo("started")
    signal.sigwait({signal.SIGTERM})
    for stand_in in stand_ins:
        stand_in.stop()


if __name__ == "__main__":
    main()
