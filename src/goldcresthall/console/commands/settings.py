"""The command group ``settings``."""

from __future__ import annotations

import click

from goldcresthall.console import files


@click.group()
def settings() -> None:
    """Check the settings of an instance."""


@settings.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
def check(settings_file: str) -> None:
    """Check SETTINGS_FILE and list every fault with its path."""
    checked = files.read_settings(settings_file)
    click.echo(f"{settings_file}: settings of {checked.name} are valid")
