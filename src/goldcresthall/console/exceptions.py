"""Errors of the command line, each with its exit code."""

from __future__ import annotations

from typing import ClassVar

import click

EXIT_INVALID = 3
EXIT_UNREACHABLE = 4
EXIT_REFUSED = 5
EXIT_UNKNOWN = 6
EXIT_INCOMPLETE = 7


class InvalidDocumentError(click.ClickException):
    """A file of settings or a preset has faults."""

    exit_code: ClassVar[int] = EXIT_INVALID


class UnreachableError(click.ClickException):
    """The instance gave no usable answer."""

    exit_code: ClassVar[int] = EXIT_UNREACHABLE


class RefusedError(click.ClickException):
    """The instance refused, and nothing was changed."""

    exit_code: ClassVar[int] = EXIT_REFUSED


class UnknownOutcomeError(click.ClickException):
    """Nobody can say yet whether anything was changed."""

    exit_code: ClassVar[int] = EXIT_UNKNOWN


class IncompleteError(click.ClickException):
    """Not every instance could be heard, or not every one has taken the preset up."""

    exit_code: ClassVar[int] = EXIT_INCOMPLETE
