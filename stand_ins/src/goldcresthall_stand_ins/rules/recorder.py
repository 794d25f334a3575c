"""Collects the events of a run from many tasks and writes them as a record."""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import bounds as rule_bounds
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records

if TYPE_CHECKING:
    import pathlib


class Recorder:
    """Collects events; all methods are thread-safe.

    Parameters
    ----------
    bounds
        Bounds of the rules for the run; by default those of `Bounds`.
    """

    def __init__(self, bounds: rule_bounds.Bounds | None = None) -> None:
        self._bounds = bounds or rule_bounds.Bounds()
        self._lock = threading.Lock()
        self._events: list[events.Event] = []
        self._numbers = itertools.count(1)

    def read_s(self) -> float:
        """Return the reading of the record's clock, in seconds."""
        return time.monotonic()

    def add(self, event: events.Event) -> None:
        """Add an event, which bears its own time."""
        with self._lock:
            self._events.append(event)

    def begin_disturbance(
        self, kind: events.DisturbanceKind, instance: str = "", peer: str = ""
    ) -> int:
        """Record that a disturbance begins now; return the number that ends it.

        Call it before the disturbance takes effect, so that nothing caused by it is earlier.
        """
        with self._lock:
            number = next(self._numbers)
            self._events.append(
                events.DisturbanceBegan(
                    at_s=self.read_s(), number=number, kind=kind, instance=instance, peer=peer
                )
            )
        return number

    def end_disturbance(self, number: int) -> None:
        """Record that a disturbance has ended; call it once its effect is over."""
        self.add(events.DisturbanceEnded(at_s=self.read_s(), number=number))

    def collect(self) -> records.Record:
        """Return the record so far, ordered by time."""
        with self._lock:
            return records.Record.from_events(tuple(self._events), self._bounds)

    def write(self, path: pathlib.Path) -> None:
        """Write the record so far."""
        self.collect().write(path)
