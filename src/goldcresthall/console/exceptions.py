"""Command line errors and their exit codes."""

from __future__ import annotations

from typing import ClassVar

import click

EXIT_INVALID = 3
EXIT_UNREACHABLE = 4
EXIT_REFUSED = 5
EXIT_UNKNOWN = 6
EXIT_INCOMPLETE = 7


class InvalidDocumentError(click.ClickException):
    """A settings or preset file is invalid."""

    exit_code: ClassVar[int] = EXIT_INVALID


class UnreachableError(click.ClickException):
    """The instance gave no usable response."""

    exit_code: ClassVar[int] = EXIT_UNREACHABLE


class RefusedError(click.ClickException):
    """The instance refused the request; nothing was changed."""

    exit_code: ClassVar[int] = EXIT_REFUSED


class UnknownOutcomeError(click.ClickException):
    """It is not known whether anything was changed."""

    exit_code: ClassVar[int] = EXIT_UNKNOWN


class IncompleteError(click.ClickException):
    """Not every instance is known to have the preset in force."""

    exit_code: ClassVar[int] = EXIT_INCOMPLETE
