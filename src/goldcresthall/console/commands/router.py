"""The command ``router``."""

from __future__ import annotations

import click

from goldcresthall.application import factory
from goldcresthall.application import runner
from goldcresthall.console import files
from goldcresthall.observability import logs


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False))
def router(settings_file: str) -> None:
    """Run one router instance with the settings of SETTINGS_FILE until SIGTERM."""
    instance_settings = files.read_settings(settings_file)
    logs.configure_logs(instance_settings.name)
    runner.run_until_signalled(factory.Instance.from_config(instance_settings))
