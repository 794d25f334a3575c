"""The configuration in force at this instance, and the versions that other instances have."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.gateway import route_table
from goldcresthall.gateway import warm_ups

if TYPE_CHECKING:
    from goldcresthall.core import configuration_documents
    from goldcresthall.core import deployment


class ConfigurationState:
    """The configuration in force, and the latest one that was relayed or is in force elsewhere.

    A configuration is never replaced by one of an earlier version. Safe for use by several tasks.
    """

    def __init__(self) -> None:
        self._newer_version_seen = threading.Condition()
        self._latest_version = 0
        self._in_force: deployment.Configuration | None = None
        self._document: configuration_documents.ConfigurationDocument | None = None
        self._received: configuration_documents.ConfigurationDocument | None = None
        self._route_table = route_table.RouteTable(())
        self._cold_limits = warm_ups.NO_LIMITS

    @property
    def in_force(self) -> deployment.Configuration | None:
        """The configuration in force; `None` until the first one is read."""
        return self._in_force

    @property
    def document(self) -> configuration_documents.ConfigurationDocument | None:
        """The configuration in force as it is stored; `None` until one is read."""
        return self._document

    @property
    def received_document(self) -> configuration_documents.ConfigurationDocument | None:
        """The latest configuration that was relayed; `None` if there is none."""
        return self._received

    @property
    def route_table(self) -> route_table.RouteTable:
        """The route table of the configuration in force."""
        return self._route_table

    @property
    def cold_limits(self) -> dict[str, float]:
        """Requests per second that a cold server bears, by service; only those with a limit."""
        return self._cold_limits

    @property
    def latest_version(self) -> int:
        """Highest configuration version known to be in force at any instance."""
        return self._latest_version

    @property
    def held_version(self) -> int:
        """Version of the latest configuration that is in force or was relayed; 0 for none."""
        with self._newer_version_seen:
            in_force = 0 if self._in_force is None else self._in_force.version
            return max(in_force, 0 if self._received is None else self._received.version)

    @property
    def is_behind(self) -> bool:
        """Whether another instance has a newer configuration."""
        in_force = self._in_force
        return (0 if in_force is None else in_force.version) < self._latest_version

    def observe_version(self, version: int) -> None:
        """Record a configuration version that is in force at another instance."""
        with self._newer_version_seen:
            if version > self._latest_version:
                self._latest_version = version
                self._newer_version_seen.notify_all()

    def await_newer_version(self, timeout_s: float) -> bool:
        """Wait until another instance has a newer configuration.

        Returns
        -------
        bool
            Whether one has; `False` after `timeout_s` seconds.
        """
        with self._newer_version_seen:
            return self._newer_version_seen.wait_for(lambda: self.is_behind, timeout_s)

    def receive_document(self, document: configuration_documents.ConfigurationDocument) -> None:
        """Keep a relayed configuration until it is put in force, and report its version."""
        with self._newer_version_seen:
            self._received = document
        self.observe_version(document.version)

    def apply(
        self,
        configuration: deployment.Configuration,
        document: configuration_documents.ConfigurationDocument | None = None,
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        Parameters
        ----------
        document
            The configuration as it is stored, for relay to other instances.
        """
        with self._newer_version_seen:
            in_force = self._in_force
            if in_force is not None and configuration.version <= in_force.version:
                return False
            self._route_table = route_table.RouteTable(configuration.routes)
            self._in_force = configuration
            self._cold_limits = warm_ups.find_cold_limits(configuration)
            self._document = document
            self._latest_version = max(self._latest_version, configuration.version)
        logging.info(
            "configuration %08x in force, routes %d, services %d",
            configuration.version,
            len(configuration.routes),
            len(configuration.services),
        )
        return True
