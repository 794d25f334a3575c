"""Client of the platform's list of live and leaving instances; changes reach it late."""

from __future__ import annotations

import abc
import dataclasses
import math
import threading
from typing import TYPE_CHECKING

import urllib3
from absl import logging

from goldcresthall.core import identity
from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.kernel import clock
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks

if TYPE_CHECKING:
    from goldcresthall.core import settings

MS_PER_S = 1_000
STATUS_OK = 200
MAX_BODY_BYTES = 8 * 1_048_576
WARNING_INTERVAL_S = 10


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListing:
    """The list at its last read; `revision` counts the changes that this process saw."""

    revision: int
    instances: tuple[identity.InstanceEntry, ...]

    @property
    def live(self) -> tuple[identity.InstanceEntry, ...]:
        """Router instances that are not leaving."""
        return tuple(
            entry
            for entry in self.instances
            if entry.status is identity.InstanceStatus.LIVE
            and entry.role is identity.InstanceRole.ROUTER
        )

    @property
    def leaving_servers(self) -> frozenset[str]:
        """Names of backend servers that are leaving."""
        return frozenset(
            entry.name
            for entry in self.instances
            if entry.status is identity.InstanceStatus.LEAVING
            and entry.role is identity.InstanceRole.BACKEND_SERVER
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ListDocument:
    instances: tuple[identity.InstanceEntry, ...]


class InstanceList(service.Service):
    """Interface of the instance list."""

    @property
    def last_read_at_s(self) -> float:
        """Reading of the process's clock at the start of the last successful read."""
        return -math.inf

    def bootstrap(self, instances: tuple[identity.InstanceEntry, ...]) -> None:
        """Use a peer's copy of the list until this process has read it."""

    @property
    @abc.abstractmethod
    def listing(self) -> InstanceListing:
        """The list at its last read."""


class HttpInstanceList(InstanceList):
    """Reads the list over HTTP at a fixed interval and keeps the last valid response."""

    def __init__(self, platform: settings.PlatformSettings, user_agent: str = "") -> None:
        self._platform = platform
        self._listing = InstanceListing(0, ())
        self._clock = clock.MonotonicClock()
        self._last_read_at_s = -math.inf
        self._lock = threading.Lock()
        address = platform.instance_list
        self._pool = checked_connections.CheckedPool(
            address.host,
            address.port,
            maxsize=1,
            retries=False,
            headers={"User-Agent": user_agent},
        )
        self._task = tasks.LoopTask("instance-list", self._run)

    @classmethod
    def from_config(cls, instance_settings: settings.Settings) -> HttpInstanceList:
        """Return a client of the configured instance list, with the instance in its User-Agent."""
        return cls(instance_settings.platform, f"goldcresthall/{instance_settings.name}")

    @property
    def listing(self) -> InstanceListing:
        """The list at its last read; empty before the first read."""
        with self._lock:
            return self._listing

    @property
    def last_read_at_s(self) -> float:
        """Reading of the process's clock at the start of the last successful read."""
        return self._last_read_at_s

    def bootstrap(self, instances: tuple[identity.InstanceEntry, ...]) -> None:
        """Use a peer's copy of the list until this process has read it."""
        with self._lock:
            if instances and not self._listing.revision:
                self._listing = InstanceListing(1, instances)

    def start(self) -> None:
        """Start reading the list periodically."""
        self._task.start()

    def stop(self) -> None:
        """Stop reading the list."""
        self._task.stop()
        self._pool.close()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            self._refresh()
            stop_signal.wait(self._platform.list_interval_ms / MS_PER_S)

    def _refresh(self) -> None:
        timeout_s = self._platform.request_timeout_ms / MS_PER_S
        read_started_at_s = self._clock.read_s()
        try:
            response = bounded_bodies.request(
                self._pool, "GET", "/instances", MAX_BODY_BYTES, timeout=timeout_s
            )
            if response.status != STATUS_OK:
                _log_read_failure(f"status {response.status}")
                return
            document = documents.decode_document(response.data, _ListDocument)
        except (urllib3.exceptions.HTTPError, exceptions.DocumentError) as error:
            _log_read_failure(str(error))
            return
        self._update_listing(document.instances)
        self._last_read_at_s = read_started_at_s

    def _update_listing(self, instances: tuple[identity.InstanceEntry, ...]) -> None:
        with self._lock:
            if instances != self._listing.instances:
                self._listing = InstanceListing(self._listing.revision + 1, instances)


def _log_read_failure(detail: str) -> None:
    logging.log_every_n_seconds(
        logging.WARNING, "failed to read the instance list: %s", WARNING_INTERVAL_S, detail
    )
