"""Bounded history of a replica: recent entries, states and commit outcomes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from goldcresthall.replication import state as replicated

MAX_RECENT_ENTRIES = 2_000
MAX_RECENT_ENTRY_BYTES = 2 * 1_048_576
MAX_RECENT_STATES = 512
MAX_PAGE_BYTES = 512 * 1_024

Value = TypeVar("Value")


class RecentEntries:
    """The newest replayed entries, contiguous up to the next offset of the state."""

    def __init__(self) -> None:
        self._entries: collections.deque[bytes] = collections.deque()
        self._bytes = 0

    def append(self, entry: bytes) -> None:
        """Add an entry and evict the oldest ones beyond the limits."""
        self._entries.append(entry)
        self._bytes += len(entry)
        while len(self._entries) > MAX_RECENT_ENTRIES or (
            self._bytes > MAX_RECENT_ENTRY_BYTES and len(self._entries) > 1
        ):
            self._bytes -= len(self._entries.popleft())

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._bytes = 0

    def read(self, from_offset: int, next_offset: int, limit: int) -> tuple[bytes, ...] | None:
        """Return entries from an offset on, or `None` if the first was evicted.

        The page holds at most `limit` entries and `MAX_PAGE_BYTES` bytes, but at
        least one entry if there is one.
        """
        first_kept = next_offset - len(self._entries)
        if from_offset < first_kept:
            return None
        page: list[bytes] = []
        page_bytes = 0
        for index in range(from_offset - first_kept, len(self._entries)):
            page_bytes += len(self._entries[index])
            if page and (len(page) >= limit or page_bytes > MAX_PAGE_BYTES):
                break
            page.append(self._entries[index])
        return tuple(page)


class RecentStates:
    """The newest states by their next offset; persistent maps share unchanged parts."""

    def __init__(self) -> None:
        self._states: collections.deque[replicated.State] = collections.deque(
            maxlen=MAX_RECENT_STATES
        )

    def append(self, state: replicated.State) -> None:
        """Add the state after the next entry and evict the oldest beyond the limit."""
        self._states.append(state)

    def clear(self) -> None:
        """Remove all states."""
        self._states.clear()

    def find(self, next_offset: int) -> replicated.State | None:
        """Return the state at an offset, or `None` if it is not kept."""
        if not self._states:
            return None
        index = next_offset - self._states[0].next_offset
        return self._states[index] if 0 <= index < len(self._states) else None


class BoundedMap(Generic[Value]):
    """A map of bounded size that keeps the first value of each identifier.

    Parameters
    ----------
    limit
        Maximum number of identifiers; the oldest is evicted beyond it.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._values: collections.OrderedDict[str, Value] = collections.OrderedDict()

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._values

    def __len__(self) -> int:
        return len(self._values)

    def find(self, identifier: str) -> Value | None:
        """Return the value of an identifier, or `None` if it has none."""
        return self._values.get(identifier)

    def add_if_absent(self, identifier: str, value: Value) -> None:
        """Set the value of an identifier that has none; evict the oldest beyond the limit."""
        if identifier in self._values:
            return
        self._values[identifier] = value
        while len(self._values) > self._limit:
            self._values.popitem(last=False)
