"""The command group ``settings``."""

from __future__ import annotations

import click

from goldcresthall.console import deployment_files
from goldcresthall.console import files
from goldcresthall.console import options


@click.group()
def settings() -> None:
    """Check the settings of an instance."""


@settings.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
@options.deployment_option
def check(settings_file: str, deployment: bool) -> None:
    """Check SETTINGS_FILE and list every fault with its path."""
    if deployment:
        name = deployment_files.read_deployment_settings(settings_file).name
    else:
        name = files.read_settings(settings_file).name
    click.echo(f"{settings_file}: settings of {name} are valid")
