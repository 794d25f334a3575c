"""The era of the store, which all its responses bear."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.platform import exceptions
from goldcresthall.platform import fields
from goldcresthall.platform import names
from goldcresthall.store import positions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from goldcresthall.store import store_metrics

MAX_ERA: Final = positions.MAX_ERA
MAX_DIGITS: Final = len(str(MAX_ERA))


class EarlierEraError(exceptions.PlatformError):
    """A response is of an earlier era than one before it, so nothing of it holds any more."""


class StoreEras:
    """The latest era that a response has shown. Safe for use by several tasks.

    Parameters
    ----------
    metrics
        Shows the era and counts its rises.
    """

    def __init__(self, metrics: store_metrics.StoreMetrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._latest: int | None = None

    @property
    def latest(self) -> int:
        """The latest known era; 0 before the first response."""
        return self._latest or 0

    def observe(self, headers: Mapping[str, str]) -> int:
        """Return the era of a response; a store that names none is in era 0.

        Raises
        ------
        EarlierEraError
            If a response of a later era was observed before.
        MalformedEntryError
            If the header is no era.
        """
        era = _parse(headers.get(names.STORE_ERA))
        with self._lock:
            known = self._latest
            if known is not None and era < known:
                raise EarlierEraError(f"response of era {era}, the store is in era {known}")
            if known == era:
                return era
            self._latest = era
        self._metrics.record_era(era, is_rise=known is not None)
        if known is None:
            logging.info("store is in era %d, step receive", era)
        else:
            logging.warning(
                "store came back from a copy, step receive: era %d after %d; all topics are read "
                "anew",
                era,
                known,
            )
        return era


def _parse(value: str | None) -> int:
    if value is None:
        return 0
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS):
        raise exceptions.MalformedEntryError(f"{names.STORE_ERA}: not a number")
    return fields.read_count({names.STORE_ERA: int(value)}, names.STORE_ERA, maximum=MAX_ERA)
