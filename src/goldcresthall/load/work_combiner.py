"""The lessor's combination of the work that all instances measure into one table."""

from __future__ import annotations

import math
import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from goldcresthall.core import row_changes
from goldcresthall.load import means
from goldcresthall.load import work_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import deployment
    from goldcresthall.gateway import estimates

KeyType = TypeVar("KeyType")

# At ten samples a second for each server the mean is off by a few percent only. With a longer one a
# server that has recovered, and gets few requests, would be avoided for minutes.
HALF_LIFE_S = 20.0
PRIOR_SAMPLES = 6.0
# A factor of the previous lessor's table stands for some hundred samples of its term, and decays as
# they would.
INHERITED_SAMPLES = 40.0
MIN_ROUTE_SAMPLES = 5.0
MIN_COUNT = 0.01
MIN_TABLE_INTERVAL_S = 0.4
# A change of a tenth is within the noise of servers that get few requests, and may wait.
SMALL_CHANGE_INTERVAL_S = 4.0
SMALL_CHANGE_RATIO = 1.1
LARGE_CHANGE_RATIO = 1.5
MIN_VALUE = 1e-6

NO_SUM = means.DecayingSum()


class WorkCombiner:
    """Means over the samples of all instances, published when one changed by over a tenth.

    Changes by over a half and new servers and routes are published without delay.

    Parameters
    ----------
    find_service
        Returns the service of a registered server, or `None` if it is not registered.
    """

    def __init__(self, find_service: Callable[[deployment.ServerIncarnation], str | None]) -> None:
        self._find_service = find_service
        self._lock = threading.Lock()
        self._updated_at_s: float | None = None
        self._reset(work_table.WorkTable(), 0.0)

    def begin_term(self, inherited: work_table.WorkTable, now_s: float) -> None:
        """Discard all samples; the factors of the previous lessor's table become the priors."""
        with self._lock:
            self._reset(inherited, now_s)

    def add(
        self,
        samples: tuple[estimates.LatencySample, ...],
        route_samples: tuple[work_table.RouteSample, ...],
        now_s: float,
    ) -> None:
        """Add the samples of one instance."""
        with self._lock:
            for sample in samples:
                previous = self._servers.get(sample.server, NO_SUM)
                self._servers[sample.server] = previous.add(
                    sample.count, sample.total_s, now_s, HALF_LIFE_S
                )
            for row in route_samples:
                if row.route in self._routes or len(self._routes) < work_table.MAX_ROUTES:
                    previous = self._routes.get(row.route, NO_SUM)
                    self._routes[row.route] = previous.add(
                        row.count, row.total_s, now_s, HALF_LIFE_S
                    )

    def update_table(self, now_s: float) -> work_table.WorkTable:
        """Return the latest table; it is computed at most each `MIN_TABLE_INTERVAL_S`."""
        with self._lock:
            if self._updated_at_s is None or now_s - self._updated_at_s >= MIN_TABLE_INTERVAL_S:
                self._updated_at_s = now_s
                self._publish(self._estimate_factors(now_s), self._estimate_works_s(now_s), now_s)
            return self._table

    def _reset(self, inherited: work_table.WorkTable, now_s: float) -> None:
        self._inherited = {
            row.server: means.DecayingSum(INHERITED_SAMPLES, INHERITED_SAMPLES * row.factor, now_s)
            for row in inherited.servers
        }
        self._servers: dict[deployment.ServerIncarnation, means.DecayingSum] = {}
        self._routes: dict[str, means.DecayingSum] = {}
        self._published_servers: dict[deployment.ServerIncarnation, float] = {}
        self._published_routes: dict[str, float] = {}
        self._table = work_table.WorkTable()
        self._updated_at_s = None
        self._published_at_s = -math.inf

    def _publish(
        self,
        servers: dict[deployment.ServerIncarnation, float],
        routes: dict[str, float],
        now_s: float,
    ) -> None:
        change = max(
            _find_change(servers, self._published_servers),
            _find_change(routes, self._published_routes),
        )
        is_due = now_s - self._published_at_s >= SMALL_CHANGE_INTERVAL_S
        if change <= (SMALL_CHANGE_RATIO if is_due else LARGE_CHANGE_RATIO):
            return
        self._published_at_s = now_s
        self._published_servers, self._published_routes = servers, routes
        revision = max(self._table.revision, row_changes.NO_REVISION) + 1
        self._table = work_table.WorkTable(
            revision,
            tuple(work_table.ServerSlowness(key, servers[key]) for key in sorted(servers)),
            tuple(work_table.RouteWork(route, routes[route]) for route in sorted(routes)),
        )

    def _estimate_factors(self, now_s: float) -> dict[deployment.ServerIncarnation, float]:
        """Return each server's time relative to the mean over all samples of its service."""
        by_service: dict[str, dict[deployment.ServerIncarnation, means.DecayingSum]] = {}
        for server, times in list(self._servers.items()):
            service = self._find_service(server)
            if service is None:
                del self._servers[server]
                continue
            decayed = times.decay(now_s, HALF_LIFE_S)
            by_service.setdefault(service, {})[server] = decayed
        factors = {}
        for servers in by_service.values():
            count = sum(times.count for times in servers.values())
            total_s = sum(times.total for times in servers.values())
            if count < MIN_COUNT or total_s <= 0:
                continue
            for server, times in servers.items():
                factors[server] = self._blend(server, times, total_s / count, now_s)
        return factors

    def _blend(
        self,
        server: deployment.ServerIncarnation,
        times: means.DecayingSum,
        mean_s: float,
        now_s: float,
    ) -> float:
        """Return a server's factor, shrunk to 1.0 and to the one of the previous lessor."""
        inherited = self._inherited.get(server, NO_SUM).decay(now_s, HALF_LIFE_S)
        total = times.total / mean_s + inherited.total + PRIOR_SAMPLES
        return total / (times.count + inherited.count + PRIOR_SAMPLES)

    def _estimate_works_s(self, now_s: float) -> dict[str, float]:
        works_s = {}
        for route, times in self._routes.items():
            decayed = times.decay(now_s, HALF_LIFE_S)
            published_s = self._published_routes.get(route)
            if decayed.count >= MIN_ROUTE_SAMPLES or (
                published_s is not None and decayed.count >= MIN_COUNT
            ):
                works_s[route] = decayed.total / decayed.count
            elif published_s is not None:
                works_s[route] = published_s
        return works_s


def _find_change(current: dict[KeyType, float], published: dict[KeyType, float]) -> float:
    """Return the largest ratio between new and published values; infinite if the keys differ."""
    if current.keys() != published.keys():
        return math.inf
    return max(
        (
            max(value, published[key]) / max(MIN_VALUE, min(value, published[key]))
            for key, value in current.items()
        ),
        default=1.0,
    )
