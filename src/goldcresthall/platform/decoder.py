"""Decoding of the platform's records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.gateway import watchers
from goldcresthall.platform import entries
from goldcresthall.platform import exceptions
from goldcresthall.platform import names

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.store import client

LOG_INTERVAL_S = 5


class PlatformDecoder(watchers.EntryDecoder):
    """Decodes records that hold the operator's configuration or a server's entry."""

    configuration_topic = names.CONFIGURATION_TOPIC
    configuration_key = names.CONFIGURATION_KEY
    servers_topic = names.SERVERS_TOPIC

    def decode_configuration(self, stored: bytes) -> deployment.Configuration | None:
        """Return the configuration in a stored document, or `None` if it is not valid."""
        try:
            return entries.decode_configuration(stored)
        except exceptions.MalformedEntryError as error:
            logging.warning("malformed configuration ignored, step decode: %s", error)
            return None

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return the server in a record, or `None` if it has no valid one."""
        if record.value is None:
            return None
        try:
            return entries.decode_server(record.key, record.value)
        except exceptions.MalformedEntryError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "malformed server entry %s ignored, step decode: %s",
                LOG_INTERVAL_S,
                record.key,
                error,
            )
            return None
