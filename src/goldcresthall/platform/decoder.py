"""Decoding of the platform's records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
from absl import logging

from goldcresthall.gateway import watchers
from goldcresthall.platform import entries
from goldcresthall.platform import exceptions
from goldcresthall.platform import names

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.store import client

MAX_LOGGED_KEYS = 1_000


class PlatformDecoder(watchers.EntryDecoder):
    """Decodes records that hold the operator's configuration or a server's entry.

    A malformed entry is left out alone. It is counted each time, and logged when its error is a
    new one.

    Parameters
    ----------
    registry
        Registry in which the counter of malformed entries is exported.
    """

    configuration_topic = names.CONFIGURATION_TOPIC
    configuration_key = names.CONFIGURATION_KEY
    servers_topic = names.SERVERS_TOPIC

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._logged: dict[str, str] = {}
        self._checked_version: int | None = None
        self._malformed = prometheus_client.Counter(
            "goldcresthall_malformed_entries",
            "Records in the store that could not be decoded.",
            ["kind"],
            registry=registry,
        )

    def decode_configuration(self, stored: bytes) -> deployment.Configuration | None:
        """Return the configuration in a stored document, or `None` if it is not valid."""
        try:
            configuration = entries.decode_configuration(stored)
            self._report_unknown_types(configuration.version, stored)
        except exceptions.MalformedEntryError as error:
            self._report_malformed("configuration", names.CONFIGURATION_KEY, error)
            return None
        return configuration

    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key asks to evacuate, or `None` for any other key."""
        try:
            return entries.find_evacuated_domain(key)
        except exceptions.MalformedEntryError as error:
            self._report_malformed("evacuation", key, error)
            return None

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return the server in a record, or `None` if it has no valid one."""
        if record.value is None:
            return None
        try:
            return entries.decode_server(record.key, record.value)
        except exceptions.MalformedEntryError as error:
            self._report_malformed("server", record.key, error)
            return None

    def _report_unknown_types(self, version: int, stored: bytes) -> None:
        """Log the unknown types of routes once for each configuration version."""
        if version == self._checked_version:
            return
        self._checked_version = version
        unknown = entries.find_unknown_types(stored)
        if unknown:
            logging.warning(
                "configuration %08x: unknown route types %s, requests are executed at most once",
                version,
                ", ".join(unknown),
            )

    def _report_malformed(self, kind: str, key: str, error: exceptions.MalformedEntryError) -> None:
        self._malformed.labels(kind).inc()
        if self._logged.get(key) == str(error):
            return
        if len(self._logged) >= MAX_LOGGED_KEYS:
            self._logged.clear()
        self._logged[key] = str(error)
        logging.warning("malformed %s %r ignored, step decode: %s", kind, key, error)
