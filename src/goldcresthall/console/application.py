"""Root command of the command line interface."""

from __future__ import annotations

import click

import goldcresthall
from goldcresthall.console import command_loader


class Application(command_loader.CommandLoader):
    """Loads the commands of the program."""

    names = ("router", "settings", "preset", "status", "explain")


@click.command(cls=Application, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(goldcresthall.VERSION, prog_name="goldcresthall")
def main() -> None:
    """Route requests to servers that own their keys exclusively.

    Exit codes: 0 success; 2 usage error; 3 invalid file; 4 instance unreachable;
    5 refused, nothing changed; 6 outcome unknown; 7 not in force on all instances.
    """
