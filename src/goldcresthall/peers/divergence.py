"""Whether this instance's state or its peers' is the one that went wrong."""

from __future__ import annotations

import threading


class StateAgreement:
    """Counts peers that agree and that differ, this instance voting for itself.

    An instance that is not in the majority stops deciding. In a tie nobody can
    say which state is right, and both sides stop.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._agrees: dict[str, bool] = {}

    @property
    def lacks_majority(self) -> bool:
        """Whether at least as many peers differ as agree, this instance included."""
        with self._lock:
            agreeing = 1 + sum(self._agrees.values())
            return len(self._agrees) - agreeing + 1 >= agreeing

    def record(self, peer: str, *, agrees: bool) -> None:
        """Note the latest comparison with a peer."""
        with self._lock:
            self._agrees[peer] = agrees

    def remove(self, peer: str) -> None:
        """Forget a peer that is no longer heard."""
        with self._lock:
            self._agrees.pop(peer, None)

    def describe(self) -> str:
        """Return the votes for a message to operators."""
        with self._lock:
            differing = [peer for peer, agrees in self._agrees.items() if not agrees]
            agreeing = [peer for peer, agrees in self._agrees.items() if agrees]
        return f"differing {', '.join(differing)}; agreeing {', '.join(agreeing) or 'none'}"
