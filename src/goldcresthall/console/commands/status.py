"""The command ``status``."""

from __future__ import annotations

import click

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.console import options
from goldcresthall.encoding import documents


@click.command()
@options.admin_option
@options.json_option
def status(admin: str, *, as_json: bool) -> None:
    """Show an instance, its peers and the servers of keyed services."""
    view = admin_client.AdminClient(admin).fetch("/status", messages.StatusView)
    if as_json:
        click.echo(documents.encode_document(view))
        return
    click.echo(f"instance {view.instance.name}/{view.instance.incarnation}")
    click.echo(f"  ready {view.ready}  next offset {view.instance.next_offset}")
    click.echo(f"  preset {view.preset_name or '-'} at offset {view.instance.preset_offset}")
    click.echo(f"  last fresh read of the log began {view.read_age_s} s ago")
    click.echo(f"  condition {view.condition}  {view.condition_detail}")
    click.echo(f"  newest complete snapshot at offset {view.snapshot_offset}")
    for peer in view.peers:
        click.echo(f"peer {peer.name}  next offset {peer.next_offset}")
    for server in view.servers:
        lost = "  LOST" if server.lost else ""
        click.echo(f"server {server.name}  lessor {server.lessor}  {server.partitions}{lost}")
