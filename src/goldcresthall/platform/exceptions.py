"""Errors of the adapter."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors of the adapter."""


class MalformedEntryError(PlatformError):
    """A document of the platform has missing fields or fields of a wrong type."""


class InvalidSettingsError(PlatformError):
    """The platform's settings file cannot be used; every fault is listed."""
