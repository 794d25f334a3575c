"""Bounds on the memory that response bodies take until they are written to the callers.

Every byte counts in the ledger of the process. Within it, large bodies have a total of their own,
so that servers that respond without end leave memory for requests.
"""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.memory import holders

if TYPE_CHECKING:
    from types import TracebackType

    from goldcresthall.memory import ledger

# Received whatever the total is, so that ordinary responses arrive beside bodies without end.
UNCOUNTED_BODY_BYTES: Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on response bodies in bytes.

    Attributes
    ----------
    max_body_bytes
        Largest body of one response.
    total_bytes
        Sum of all complete bodies that wait for their callers, and of the parts beyond
        `UNCOUNTED_BODY_BYTES` of all bodies that are being received.
    """

    max_body_bytes: int
    total_bytes: int


class ResponseMemory:
    """The memory for the response bodies of all connections.

    Parameters
    ----------
    memory_ledger
        Counts every body; `None` if the bodies are too small to be counted.
    """

    def __init__(
        self, limits: ResponseLimits, memory_ledger: ledger.MemoryLedger | None = None
    ) -> None:
        self._limits = limits
        self._ledger = memory_ledger
        self._lock = threading.Lock()
        self._incoming_bytes = 0
        self._waiting_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes counted against the total."""
        return self._incoming_bytes + self._waiting_bytes

    def create_reservation(self) -> BodyReservation:
        """Return an empty reservation for one body."""
        account = None if self._ledger is None else self._ledger.open(holders.ResponseHolder())
        return BodyReservation(self, self._limits.max_body_bytes, account)

    def has_room_without_waiting(self, count: int) -> bool:
        """Return whether only the bodies that wait for their callers leave no room for more."""
        return self._incoming_bytes + count <= self._limits.total_bytes

    def take(self, count: int) -> bool:
        """Count more bytes if the total allows it; return whether it does."""
        with self._lock:
            if self.used_bytes + count > self._limits.total_bytes:
                return False
            self._incoming_bytes += count
            return True

    def release(self, count: int) -> None:
        """Count bytes less that were being received."""
        with self._lock:
            self._incoming_bytes -= count

    def start_waiting(self, taken_bytes: int, size_bytes: int) -> None:
        """Count a complete body in full, in place of what was taken for it.

        This may exceed the total, since what was received is delivered.
        """
        with self._lock:
            self._incoming_bytes -= taken_bytes
            self._waiting_bytes += size_bytes

    def stop_waiting(self, size_bytes: int) -> None:
        """Count a complete body no more."""
        with self._lock:
            self._waiting_bytes -= size_bytes


class BodyReservation:
    """The memory of one response body; leaving the context releases it."""

    def __init__(
        self, memory: ResponseMemory, max_body_bytes: int, account: ledger.Account | None = None
    ) -> None:
        self._memory = memory
        self._account = account
        self._max_body_bytes = max_body_bytes
        self._size_bytes = 0
        self._taken_bytes = 0
        self._waiting_bytes = 0
        self._is_held_up = False

    @property
    def is_held_up(self) -> bool:
        """Whether bytes were refused only because of what other bodies hold."""
        return self._is_held_up

    def __enter__(self) -> BodyReservation:
        """Return the reservation."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release what was taken."""
        self.release()

    def add(self, count: int) -> bool:
        """Reserve more bytes of the body; return `False` if a limit does not allow them."""
        self._size_bytes += count
        if self._size_bytes > self._max_body_bytes:
            return False
        if self._account is not None and not self._account.take(count):
            self._is_held_up = True
            return False
        missing = self._size_bytes - UNCOUNTED_BODY_BYTES - self._taken_bytes
        if missing <= 0:
            return True
        if not self._memory.take(missing):
            self._is_held_up = self._memory.has_room_without_waiting(missing)
            if self._is_held_up and self._account is not None:
                self._account.note_shortage()
            return False
        self._taken_bytes += missing
        return True

    def start_waiting(self) -> None:
        """Count the body, which is complete, in full until it is released."""
        self._memory.start_waiting(self._taken_bytes, self._size_bytes)
        self._waiting_bytes = self._size_bytes
        self._taken_bytes = 0

    def release(self) -> None:
        """Release what was taken; the reservation is empty again."""
        self._memory.release(self._taken_bytes)
        self._memory.stop_waiting(self._waiting_bytes)
        if self._account is not None:
            self._account.release()
        self._size_bytes = self._taken_bytes = self._waiting_bytes = 0
