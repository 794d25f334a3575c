"""The command group ``preset``."""

from __future__ import annotations

import getpass

import click

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.console import exceptions
from goldcresthall.console import files
from goldcresthall.console import options
from goldcresthall.encoding import documents


@click.group()
def preset() -> None:
    """Validate, publish and show presets."""


@preset.command()
@click.argument("preset_file", type=click.Path(dir_okay=False))
def validate(preset_file: str) -> None:
    """Check PRESET_FILE and list every fault with its path."""
    checked = files.read_preset(preset_file)
    click.echo(f"{preset_file}: preset {checked.name} is valid")


@preset.command()
@click.argument("preset_file", type=click.Path(dir_okay=False))
@click.option("--reason", required=True, help="Why, for those who read the history.")
@click.option("--author", default=getpass.getuser, help="Who publishes; default: the user.")
@click.option("--base", type=int, help="Offset of the state you looked at.")
@options.admin_option
@options.json_option
def publish(
    preset_file: str, reason: str, author: str, base: int | None, admin: str, *, as_json: bool
) -> None:
    """Put PRESET_FILE in force."""
    wish = messages.PublishRequest(author, reason, files.read_preset(preset_file), base)
    result = admin_client.AdminClient(admin).publish(wish)
    if as_json:
        click.echo(documents.encode_document(result))
    elif result.outcome == "accepted":
        click.echo(f"accepted at offset {result.offset}")
    if result.outcome == "unknown":
        raise exceptions.UnknownOutcomeError(result.detail)
    if result.outcome != "accepted":
        raise exceptions.RefusedError(f"{result.outcome}: {result.detail}")


@preset.command()
@options.admin_option
@options.json_option
def show(admin: str, *, as_json: bool) -> None:
    """Show the preset in force."""
    view = admin_client.AdminClient(admin).fetch("/preset", messages.PresetView)
    if as_json:
        click.echo(documents.encode_document(view))
        return
    click.echo(f"{view.preset.name} at offset {view.offset}")
    click.echo(f"  published by {view.author}: {view.reason}")
    for service in view.preset.services:
        kind = "keyed" if service.keyed else "unkeyed"
        click.echo(f"  {service.name}: {kind}, {len(service.servers)} server(s)")
