"""Errors raised by the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """Base of all errors of the kernel."""


class ServiceNotFoundError(KernelError):
    """No service is registered under the name that was asked for."""


class ServiceTypeError(KernelError):
    """The service found under a name does not offer the interface asked for."""


class DuplicateServiceError(KernelError):
    """A second service was registered under a name already taken."""
