"""Majority vote on whether this instance's state diverged from its peers'."""

from __future__ import annotations

import threading


class StateAgreement:
    """Counts peers whose state agrees or differs; this instance agrees with itself.

    An instance that is not in the majority stops making decisions. In a tie the correct
    state cannot be determined, and both sides stop.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._agrees: dict[str, bool] = {}

    @property
    def lacks_majority(self) -> bool:
        """Whether at least as many peers differ as agree, counting this instance as agreeing."""
        with self._lock:
            agreeing = 1 + sum(self._agrees.values())
            return len(self._agrees) - agreeing + 1 >= agreeing

    def record(self, peer: str, *, agrees: bool) -> None:
        """Record the latest comparison with a peer."""
        with self._lock:
            self._agrees[peer] = agrees

    def remove(self, peer: str) -> None:
        """Remove a peer that is no longer connected."""
        with self._lock:
            self._agrees.pop(peer, None)

    def describe(self) -> str:
        """Return the result for each peer, for operator messages."""
        with self._lock:
            differing = [peer for peer, agrees in self._agrees.items() if not agrees]
            agreeing = [peer for peer, agrees in self._agrees.items() if agrees]
        return f"differing {', '.join(differing)}; agreeing {', '.join(agreeing) or 'none'}"
