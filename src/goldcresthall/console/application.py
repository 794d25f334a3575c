"""Assembles the command line from its commands."""

from __future__ import annotations

import click

import goldcresthall
from goldcresthall.console.commands import explain
from goldcresthall.console.commands import preset
from goldcresthall.console.commands import router
from goldcresthall.console.commands import settings
from goldcresthall.console.commands import status


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(goldcresthall.VERSION, prog_name="goldcresthall")
def main() -> None:
    """Route requests to servers that own their keys exclusively.

    Exit codes: 0 done; 2 wrong usage; 3 a file has faults; 4 the instance cannot
    be reached; 5 refused, nothing changed; 6 outcome unknown; 7 not everywhere.
    """


main.add_command(router.router)
main.add_command(settings.settings)
main.add_command(preset.preset)
main.add_command(status.status)
main.add_command(explain.explain)
