"""Probe for whether another instance is running and follows the log."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.log_service import instance_list
from goldcresthall.peers import client
from goldcresthall.peers import exceptions

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.peers import messages


class LessorProbe(service.Service):
    """Queries the status of other instances by name."""

    @abc.abstractmethod
    def query_status(self, name: str) -> messages.PeerStatus | None:
        """Return the status of an instance, or `None` if it does not answer."""


class PeerLessorProbe(LessorProbe):
    """Queries the status over a peer connection that is opened for each query."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._failure_domain = instance_settings.failure_domain
        self._timeout_ms = instance_settings.peers.request_timeout_ms

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerLessorProbe:
        """Return the probe of an instance."""
        return cls(service_kernel, incarnation, instance_settings)

    def start(self) -> None:
        """Look up the instance list."""
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)

    def stop(self) -> None:
        """Do nothing; connections are closed after each query."""

    def query_status(self, name: str) -> messages.PeerStatus | None:
        """Return the status of an instance, or `None` if it does not answer."""
        for entry in self._list.listing.instances:
            if entry.name == name:
                return self._ask_entry(entry)
        return None

    def _ask_entry(self, entry: identity.InstanceEntry) -> messages.PeerStatus | None:
        connection = client.PeerConnection(entry, self._timeout_ms)
        try:
            connection.open(self._incarnation, self._failure_domain)
            return connection.report_status()
        except exceptions.PeerError as error:
            logging.info("lessor status query failed: %s", error)
            return None
        finally:
            connection.close()
