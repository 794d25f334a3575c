"""Options that several commands share."""

from __future__ import annotations

import click

DEFAULT_ADMIN = "127.0.0.1:7003"

admin_option = click.option(
    "--admin",
    default=DEFAULT_ADMIN,
    show_default=True,
    envvar="GOLDCRESTHALL_ADMIN",
    help="Address of an instance's operators' front end, as IP:PORT.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
deployment_option = click.option(
    "--deployment",
    is_flag=True,
    help="Take the settings file that the platform places, by default the one it names.",
)
