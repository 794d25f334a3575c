"""The command group ``settings``."""

from __future__ import annotations

import click

from goldcresthall.console import files
from goldcresthall.core import settings as core_settings


@click.group()
def settings() -> None:
    """Check the settings of an instance."""


@settings.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
def check(settings_file: str) -> None:
    """Check SETTINGS_FILE and list every fault with its path."""
    checked = files.read_document(settings_file, core_settings.Settings)
    click.echo(f"{settings_file}: settings of {checked.name} are valid")
