"""Kernel errors."""

from __future__ import annotations


class KernelError(Exception):
    """Base class of all kernel errors."""


class ServiceNotFoundError(KernelError):
    """No service is registered under the requested name."""


class ServiceTypeError(KernelError):
    """The registered service does not implement the requested interface."""


class DuplicateServiceError(KernelError):
    """A service is already registered under the name."""
