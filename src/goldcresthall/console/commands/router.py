"""The command ``router``."""

from __future__ import annotations

import gc
import sys

import click

from goldcresthall.console import options
from goldcresthall.observability import logs


@click.command()
@click.argument("settings_file", required=False, type=click.Path(dir_okay=False))
@options.deployment_option
def router(settings_file: str | None, deployment: bool) -> None:
    """Run a router instance with the settings of SETTINGS_FILE until SIGTERM."""
    # Each mode imports only the modules it uses, which shortens startup and saves memory.
    if deployment:
        _run_deployment(settings_file)
    else:
        _run_configured(settings_file)


def _run_configured(settings_file: str | None) -> None:
    from goldcresthall.application import factory
    from goldcresthall.application import runner
    from goldcresthall.console import files

    instance_settings = files.read_settings(files.require_path(settings_file))
    logs.configure_logs(instance_settings.name)
    runner.run_until_signalled(factory.Instance.from_config(instance_settings))


def _run_deployment(settings_file: str | None) -> None:
    # Modules and services live as long as the process, so collections during the start find
    # nothing, and later ones need not look at them.
    gc.disable()
    from goldcresthall.application import deployment_factory
    from goldcresthall.application import deployment_runner
    from goldcresthall.console import deployment_files

    instance_settings = deployment_files.read_deployment_settings(settings_file)
    logs.configure_logs(instance_settings.name, sys.stdout)
    instance = deployment_factory.DeploymentInstance.from_config(instance_settings)
    gc.freeze()
    gc.enable()
    deployment_runner.run_until_signalled(instance)
