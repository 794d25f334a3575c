"""Lazy loading of command modules."""

from __future__ import annotations

import importlib

import click

COMMANDS_PACKAGE = "goldcresthall.console.commands"


class CommandLoader(click.Group):
    """A group that imports each command from its module in `console/commands` on demand."""

    names: tuple[str, ...] = ()

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        del ctx
        return list(self.names)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, or `None` if there is no such command."""
        del ctx
        if cmd_name not in self.names:
            return None
        module = importlib.import_module(f"{COMMANDS_PACKAGE}.{cmd_name}")
        command: click.Command = getattr(module, cmd_name)
        return command
