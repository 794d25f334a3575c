"""Options shared by several commands."""

from __future__ import annotations

import click

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7003"

admin_option = click.option(
    "--admin",
    default=DEFAULT_ADMIN_ADDRESS,
    show_default=True,
    envvar="GOLDCRESTHALL_ADMIN",
    help="Address of an instance's admin server, as IP:PORT.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
deployment_option = click.option(
    "--deployment",
    is_flag=True,
    help="Read the platform's settings file, by default at the path in its environment variable.",
)
