"""Registry of named services with a startup and shutdown order."""

from __future__ import annotations

from typing import TypeVar

from absl import logging

from goldcresthall.kernel import exceptions
from goldcresthall.kernel import service

ServiceType = TypeVar("ServiceType")


class Kernel:
    """Registers services by name and starts and stops them in order.

    Services start in registration order and stop in reverse order.
    """

    def __init__(self) -> None:
        self._services: dict[str, service.Service] = {}
        self._started: list[str] = []

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of all services, in registration order."""
        return tuple(self._services)

    def register(self, name: str, registered: service.Service) -> None:
        """Register a service under a name.

        Raises
        ------
        DuplicateServiceError
            If a service is already registered under the name.
        """
        if name in self._services:
            raise exceptions.DuplicateServiceError(name)
        self._services[name] = registered

    def find(self, name: str, interface: type[ServiceType]) -> ServiceType:
        """Return the service registered under a name, checked against an interface.

        Raises
        ------
        ServiceNotFoundError
            If no service is registered under the name.
        ServiceTypeError
            If the service is not an instance of `interface`.
        """
        registered = self._services.get(name)
        if registered is None:
            raise exceptions.ServiceNotFoundError(name)
        if not isinstance(registered, interface):
            raise exceptions.ServiceTypeError(f"{name}: {type(registered).__name__}")
        return registered

    def start(self) -> None:
        """Start all services; on an error, stop those already started and re-raise it."""
        try:
            for name, registered in self._services.items():
                registered.start()
                self._started.append(name)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop all started services in reverse order; continue if one fails to stop."""
        while self._started:
            name = self._started.pop()
            try:
                self._services[name].stop()
            except Exception:
                logging.exception("service %s failed to stop", name)
