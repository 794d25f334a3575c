"""When this instance may send a probe to a server whose circuit is open."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment

# All instances together send a suspected server about this many requests per second.
PROBES_PER_S = 10.0
MIN_INTERVAL_S = 0.2
# A time that has passed by more than this and an interval belongs to an earlier circuit.
MAX_UNUSED_S = 1.0
MAX_TRACKED_SERVERS = 2_048


class ProbeSchedule:
    """The time of the next probe of each server; the instances share `PROBES_PER_S`.

    Parameters
    ----------
    generator
        Keeps the probes of the instances apart.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._lock = threading.Lock()
        self._next_s: dict[deployment.ServerIncarnation, float] = {}

    def may_probe(
        self,
        server: deployment.ServerIncarnation,
        instances: int,
        now_s: float,
        *,
        has_own_evidence: bool,
    ) -> bool:
        """Return whether a probe may be sent now.

        The first probe after own evidence passes at once. After reports alone it comes at a random
        time, because all instances get the reports at the same time and a full server would get a
        request from each.
        """
        interval_s = _find_interval_s(instances)
        with self._lock:
            next_s = self._next_s.get(server)
            if next_s is None or now_s - next_s > MAX_UNUSED_S + interval_s:
                delay_s = 0.0 if has_own_evidence else self._generator.uniform(0.0, interval_s)
                next_s = now_s + delay_s
                self._next_s[server] = next_s
                if len(self._next_s) > MAX_TRACKED_SERVERS:
                    del self._next_s[next(iter(self._next_s))]
            return now_s >= next_s

    def take(self, server: deployment.ServerIncarnation, instances: int, now_s: float) -> bool:
        """Take the probe that `may_probe` allowed; return whether no other request took it."""
        with self._lock:
            if now_s < self._next_s.get(server, 0.0):
                return False
            factor = self._generator.uniform(0.5, 1.5)
            self._next_s[server] = now_s + factor * _find_interval_s(instances)
            return True


def _find_interval_s(instances: int) -> float:
    return max(MIN_INTERVAL_S, instances / PROBES_PER_S)
