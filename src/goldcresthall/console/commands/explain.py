"""The command ``explain``."""

from __future__ import annotations

import urllib.parse

import click

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.console import options
from goldcresthall.encoding import documents


@click.command()
@click.argument("service")
@click.argument("key")
@options.admin_option
@options.json_option
def explain(service: str, key: str, admin: str, *, as_json: bool) -> None:
    """Show the owner of KEY of SERVICE and the decision that assigned it."""
    query = urllib.parse.urlencode({"service": service, "key": key})
    view = admin_client.AdminClient(admin).fetch(f"/explain?{query}", messages.KeyView)
    if as_json:
        click.echo(documents.encode_document(view))
        return
    click.echo(f"{view.service}/{view.key} is in partition {view.partition}")
    click.echo(f"  owner   {view.owner} since epoch {view.epoch}")
    click.echo(f"  lessor  {view.lessor or 'none'}")
    click.echo(f"  decided by {view.author}: {view.reason}")
    click.echo(f"  decided at {view.decided_at or 'unknown'}, by its author's clock")
