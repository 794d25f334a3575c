"""The interface each service offers to the kernel."""

from __future__ import annotations

import abc


class Service(abc.ABC):
    """A part of an instance, started and stopped by the kernel.

    A service looks up the others it needs by name when it starts, never when it
    is constructed, so that the order of construction is free.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to work; services registered earlier are already started."""

    @abc.abstractmethod
    def stop(self) -> None:
        """End all tasks; services registered later are already stopped."""
