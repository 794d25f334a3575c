"""Registry of named services with an order of start and stop."""

from __future__ import annotations

from typing import TypeVar

from absl import logging

from goldcresthall.kernel import exceptions
from goldcresthall.kernel import service

ServiceType = TypeVar("ServiceType")


class Kernel:
    """Holds services by name and starts and stops them in order.

    Services start in the order in which they were registered and stop in the
    reverse of it.
    """

    def __init__(self) -> None:
        self._services: dict[str, service.Service] = {}
        self._started: list[str] = []

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of all services, in the order of registration."""
        return tuple(self._services)

    def register(self, name: str, registered: service.Service) -> None:
        """Add a service under a name.

        Raises
        ------
        DuplicateServiceError
            If the name is taken.
        """
        if name in self._services:
            raise exceptions.DuplicateServiceError(name)
        self._services[name] = registered

    def find(self, name: str, interface: type[ServiceType]) -> ServiceType:
        """Return the service of a name, checked to offer an interface.

        Raises
        ------
        ServiceNotFoundError
            If no service has that name.
        ServiceTypeError
            If the service is not an instance of `interface`.
        """
        found = self._services.get(name)
        if found is None:
            raise exceptions.ServiceNotFoundError(name)
        if not isinstance(found, interface):
            raise exceptions.ServiceTypeError(f"{name}: {type(found).__name__}")
        return found

    def start(self) -> None:
        """Start all services; on an error stop those already started and raise it."""
        try:
            for name, registered in self._services.items():
                registered.start()
                self._started.append(name)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop all started services, the latest first; an error stops no other's stop."""
        while self._started:
            name = self._started.pop()
            try:
                self._services[name].stop()
            except Exception:
                logging.exception("service %s failed to stop", name)
