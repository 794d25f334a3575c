"""Interface that each service implements for the kernel."""

from __future__ import annotations

import abc


class Service(abc.ABC):
    """A component of an instance, started and stopped by the kernel.

    A service looks up its dependencies by name in `start` and not in its constructor, so
    that services can be constructed in any order. Only the registry of the metrics service
    may be looked up earlier.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Start the service; services registered earlier are already started."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop all tasks; services registered later are already stopped."""
