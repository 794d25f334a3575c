"""The command line: its name, its version and its commands."""

from __future__ import annotations

import click

import goldcresthall
from goldcresthall.console import command_loader


class Application(command_loader.CommandLoader):
    """All commands of the program."""

    names = ("router", "settings", "preset", "status", "explain")


@click.command(cls=Application, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(goldcresthall.VERSION, prog_name="goldcresthall")
def main() -> None:
    """Route requests to servers that own their keys exclusively.

    Exit codes: 0 done; 2 wrong usage; 3 a file has faults; 4 the instance cannot
    be reached; 5 refused, nothing changed; 6 outcome unknown; 7 not everywhere.
    """
