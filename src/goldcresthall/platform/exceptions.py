"""Exceptions of the platform adapter."""

from __future__ import annotations


class PlatformError(Exception):
    """Base class of the platform adapter's exceptions."""


class MalformedEntryError(PlatformError):
    """A platform document or response is malformed, or a field is missing or invalid."""


class InvalidSettingsError(PlatformError):
    """The platform's settings file is invalid; the message lists every error."""
