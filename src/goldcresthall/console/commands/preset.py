"""The command group ``preset``."""

from __future__ import annotations

import contextlib
import getpass
import sys
import time

import click

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.console import exceptions
from goldcresthall.console import files
from goldcresthall.console import options
from goldcresthall.core import identity
from goldcresthall.encoding import documents

MS_PER_S = 1_000
POLL_INTERVAL_S = 0.25
RESOLVE_TIMEOUT_S = 5.0
OUTCOME_UNKNOWN = "unknown"


@click.group()
def preset() -> None:
    """Validate, publish, watch and show presets."""


@preset.command()
@click.argument("preset_file", type=click.Path(dir_okay=False))
def validate(preset_file: str) -> None:
    """Check PRESET_FILE and list every fault with its path."""
    decoded_preset = files.read_preset(preset_file)
    click.echo(f"{preset_file}: preset {decoded_preset.name} is valid")


@preset.command()
@click.argument("preset_file", type=click.Path(dir_okay=False))
@click.option("--reason", required=True, help="Reason, shown in the history.")
@click.option("--author", default=getpass.getuser, help="Author; default: the current user.")
@click.option("--base", type=int, help="Offset of the state that the preset is based on.")
@options.admin_option
@options.json_option
def publish(
    preset_file: str, reason: str, author: str, base: int | None, admin: str, *, as_json: bool
) -> None:
    """Put PRESET_FILE in force."""
    publish_request = messages.PublishRequest(
        author, reason, files.read_preset(preset_file), base, identity.create_record_id()
    )
    client = admin_client.AdminClient(admin)
    try:
        result = client.publish(publish_request)
    except exceptions.UnknownOutcomeError as error:
        result = messages.PublishResult(
            OUTCOME_UNKNOWN, -1, error.message, publish_request.record_id
        )
    _print_result(_resolve_unknown(client, result), as_json=as_json)


@preset.command()
@click.argument("record_id")
@options.admin_option
@options.json_option
def outcome(record_id: str, admin: str, *, as_json: bool) -> None:
    """Show the outcome of the publication RECORD_ID; any instance can be queried."""
    client = admin_client.AdminClient(admin)
    result = client.fetch(f"/preset/outcome?record={record_id}", messages.PublishResult)
    _print_result(result, as_json=as_json)


@preset.command()
@click.option("--offset", type=int, help="Offset of the preset; default: the one in force.")
@click.option("--timeout", default=30.0, show_default=True, help="Maximum wait in seconds.")
@options.admin_option
@options.json_option
def watch(offset: int | None, timeout: float, admin: str, *, as_json: bool) -> None:
    """Wait until every instance has reported that a preset is in force.

    Only reports made after the start of the watch count. The exit code is 7 if an
    instance did not report or is behind, or the instance list could not be read.
    """
    client = admin_client.AdminClient(admin)
    started_at_s = time.monotonic()
    view = _fetch_uptake(client, offset, started_at_s)
    with click.progressbar(
        length=len(view.instances), label=f"preset at offset {view.offset}", file=sys.stderr
    ) as bar:
        while not view.is_everywhere and time.monotonic() < started_at_s + timeout:
            time.sleep(POLL_INTERVAL_S)
            view = _fetch_uptake(client, view.offset, started_at_s)
            bar.length = len(view.instances)
            bar.update(sum(entry.status == "has" for entry in view.instances) - bar.pos)
    _print_uptake(view, as_json=as_json)


@preset.command()
@options.admin_option
@options.json_option
def history(admin: str, *, as_json: bool) -> None:
    """List the latest presets put in force, oldest first."""
    view = admin_client.AdminClient(admin).fetch("/preset/history", messages.PresetHistory)
    if as_json:
        click.echo(documents.encode_document(view))
        return
    for entry in view.presets:
        click.echo(f"{entry.offset}  {entry.name}  by {entry.author}: {entry.reason}")


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


def _resolve_unknown(
    client: admin_client.AdminClient, result: messages.PublishResult
) -> messages.PublishResult:
    # The response may be lost although the preset was accepted; poll for its record.
    deadline_s = time.monotonic() + RESOLVE_TIMEOUT_S
    while result.outcome == OUTCOME_UNKNOWN and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
        with contextlib.suppress(exceptions.UnreachableError):
            path = f"/preset/outcome?record={result.record_id}"
            result = client.fetch(path, messages.PublishResult)
    return result


def _print_result(result: messages.PublishResult, *, as_json: bool) -> None:
    if as_json:
        click.echo(documents.encode_document(result))
    elif result.outcome == "accepted":
        click.echo(f"accepted at offset {result.offset}")
    if result.outcome == OUTCOME_UNKNOWN:
        raise exceptions.UnknownOutcomeError(
            f"{result.detail}; to check later: goldcresthall preset outcome {result.record_id}"
        )
    if result.outcome != "accepted":
        raise exceptions.RefusedError(f"{result.outcome}: {result.detail}")


def _fetch_uptake(
    client: admin_client.AdminClient, offset: int | None, started_at_s: float
) -> messages.UptakeView:
    within_ms = int((time.monotonic() - started_at_s) * MS_PER_S)
    path = f"/preset/uptake?within_ms={within_ms}"
    if offset is not None and offset >= 0:
        path = f"{path}&offset={offset}"
    return client.fetch(path, messages.UptakeView)


def _print_uptake(view: messages.UptakeView, *, as_json: bool) -> None:
    if as_json:
        click.echo(documents.encode_document(view))
    else:
        for entry in view.instances:
            heard = "never" if entry.heard_age_s is None else f"{entry.heard_age_s} s ago"
            click.echo(f"{entry.name}  {entry.status}  offset {entry.preset_offset}  heard {heard}")
    if not view.list_is_current:
        raise exceptions.IncompleteError(
            "the instance list cannot be read; the instances shown may be incomplete"
        )
    if not view.is_everywhere:
        missing = [entry.name for entry in view.instances if entry.status != "has"]
        raise exceptions.IncompleteError(f"not known to be everywhere: {', '.join(missing)}")
    if not as_json:
        click.echo(f"the preset at offset {view.offset} is in force everywhere")
