"""How recent an instance's list of servers is, and whether requests may be sent by it."""

from __future__ import annotations

import abc
import enum
import math
import threading

from absl import logging

from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.store import positions


class ListSource(enum.Enum):
    """Where a list of servers comes from."""

    STORE = "the store"
    RELAY = "a relay"


class ListFreshness(abc.ABC):
    """The version of a list of servers, and the waits for its renewal.

    Parameters
    ----------
    bounds
        Bounds on the age of the list.
    """

    def __init__(self, bounds: list_bounds.ListBounds) -> None:
        self._bounds = bounds
        self._lock = threading.Lock()
        self._version = server_lists.NO_LIST
        self._source: ListSource | None = None
        self._relayed_at_s = -math.inf
        self._is_store_lost = False
        self._failed_reads = 0
        self._is_read_requested = False
        self._read_requested = threading.Condition(self._lock)
        self._renewed = threading.Condition(self._lock)

    @property
    def bounds(self) -> list_bounds.ListBounds:
        """Bounds on the age of the list."""
        return self._bounds

    @property
    def version(self) -> server_lists.ListVersion:
        """Which state of the store the list shows."""
        return self._version

    @property
    def list_age_s(self) -> float:
        """Seconds since the list was last known to be current; infinite without a list."""
        return self.read_s() - self._version.known_at_s

    @property
    def is_list_usable(self) -> bool:
        """Whether requests may be sent by the present list.

        The last known list is used for as long as the store fails, and so is the lack of a list.
        """
        return (
            self._is_store_lost
            or self._version is server_lists.NO_LIST
            or self.list_age_s <= self._bounds.use_s
        )

    @property
    def is_store_away(self) -> bool:
        """Whether the store fails; one lost response says nothing of it."""
        return self._failed_reads >= list_bounds.MIN_FAILED_READS_OF_OUTAGE

    @property
    def is_relayed(self) -> bool:
        """Whether another instance relays its list, so that the store need not be read."""
        return not self._is_read_requested and self.find_relay_remaining_s() > 0

    @property
    def is_read_requested(self) -> bool:
        """Whether the store must be read although a lessor may relay soon."""
        return self._is_read_requested

    @abc.abstractmethod
    def read_s(self) -> float:
        """Return the reading in seconds of the clock by which the age is counted."""

    def find_relay_remaining_s(self) -> float:
        """Return the seconds until the relay ends unless it is renewed; not positive if it has.

        It ends when the list is too old, or when nothing was relayed for that long.
        """
        latest_s = min(self._version.known_at_s, self._relayed_at_s)
        return self._bounds.relay_s - (self.read_s() - latest_s)

    def request_read(self) -> None:
        """Let the store be read at once, because there is no lessor that could relay."""
        with self._read_requested:
            self._is_read_requested = True
            self._read_requested.notify_all()

    def await_relay_end(self, min_wait_s: float) -> None:
        """Wait until the relay would end unless it is renewed, or until a read is requested."""
        wait_s = max(min_wait_s, self.find_relay_remaining_s())
        with self._read_requested:
            self._read_requested.wait_for(lambda: self._is_read_requested, wait_s)

    def await_usable_list(self, max_wait_s: float) -> None:
        """Wait until requests may be sent by the list, for `max_wait_s` seconds at most."""
        with self._renewed:
            self._renewed.wait_for(lambda: self.is_list_usable, max_wait_s)

    def record_read_failure(self) -> None:
        """Record that the store failed, so that the list cannot be renewed."""
        with self._renewed:
            self._is_store_lost = True
            self._failed_reads += 1
            self._renewed.notify_all()

    def _record_relay(self, now_s: float) -> None:
        """Record that another instance relays its list, even if that is an earlier one."""
        self._relayed_at_s = now_s
        self._is_read_requested = False

    def _renew(self, version: server_lists.ListVersion, source: ListSource, now_s: float) -> None:
        """Replace the version; log where the list comes from if that changes."""
        if source is not self._source:
            logging.info(
                "server list now from %s, step discover, position %s, %.2f s old; "
                "before %s, %.2f s",
                source.value,
                positions.describe(version.position),
                now_s - version.known_at_s,
                positions.describe(self._version.position),
                now_s - self._version.known_at_s,
            )
        self._source = source
        self._version = version
        # An old list from an instance that lost the store too is no sign that the store is back.
        is_outdated = now_s - version.known_at_s > self._bounds.use_s
        self._is_store_lost = self._is_store_lost and is_outdated
        if not is_outdated:
            self._failed_reads = 0
        self._renewed.notify_all()
