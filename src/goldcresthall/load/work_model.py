"""Expected work of requests: work of the route x slowness of the server x momentary slowdown."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from absl import logging

from goldcresthall.core import deployment
from goldcresthall.gateway import estimates
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.load import means
from goldcresthall.load import measurements
from goldcresthall.load import work_estimates
from goldcresthall.load import work_table

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.kernel import kernel

ValueType = TypeVar("ValueType")

# Without a relayed value a few samples of a factor are blended with its parent. A relayed value
# stands for some hundred samples, which a few own ones must not outweigh.
ALONE_PRIOR_WEIGHT = 4.0
RELAYED_PRIOR_WEIGHT = 100.0
MAX_SERVER_WEIGHT = 20.0
MAX_ROUTE_WEIGHT = 60.0
MAX_SERVICE_WEIGHT = 200.0
MAX_SLOWDOWN_WEIGHT = 100.0
# Until a route's work is known, the slowness of a server can't be told from the route's work.
MIN_ROUTE_WEIGHT = 5.0
# A machine's slowdown changes several times a second.
SLOWDOWN_FADE_S = 0.3
# A relayed table is trusted in full for a time that covers a change of the lessor.
TABLE_TRUST_S = 10.0
TABLE_FADE_S = 30.0
LOGGED_CHANGE = 1.5
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Slowdown:
    factor: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _WarmUp:
    """A warm-up as a server registered it, and the clock reading at which it will be over."""

    registered_s: float
    ends_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Relayed:
    """A relayed table, indexed, and the clock reading at which a lessor last confirmed it."""

    table: work_table.WorkTable
    servers: dict[deployment.ServerIncarnation, float]
    routes: dict[str, float]
    confirmed_at_s: float

    def find_trust(self, now_s: float) -> float:
        """Return how far the table is trusted: 1 at first, falling to 0 while unconfirmed."""
        excess_s = now_s - self.confirmed_at_s - TABLE_TRUST_S
        return 1.0 if excess_s <= 0 else max(0.0, 1.0 - excess_s / TABLE_FADE_S)

    def blend(
        self, own: means.MovingMean, parent: float, value: float | None, now_s: float
    ) -> float:
        """Return own samples blended with the table's value, or their parent if it has none."""
        if value is None:
            return own.blend(parent, ALONE_PRIOR_WEIGHT)
        trust = self.find_trust(now_s)
        weight = ALONE_PRIOR_WEIGHT + trust * (RELAYED_PRIOR_WEIGHT - ALONE_PRIOR_WEIGHT)
        return own.blend(parent + trust * (value - parent), weight)


NO_MEAN = means.MovingMean()
NO_PENDING = means.PendingSum()
NO_TABLE = _Relayed(work_table.WorkTable(), {}, {}, 0.0)


class WorkModel(work_estimates.WorkEstimates):
    """Expects the work of requests from own measurements and those relayed by the lessor.

    Each factor is the mean of this instance's few samples, blended with the relayed value. While
    no lessor confirms the table, its values fade to the parents: 1.0 for a server and the
    service's average for a route. Updates take a lock; reads take none, since the values are
    immutable and are replaced as a whole.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._routes: dict[str, means.MovingMean] = {}
        self._route_services: dict[str, str] = {}
        self._servers: dict[deployment.ServerIncarnation, means.MovingMean] = {}
        self._services: dict[str, means.MovingMean] = {}
        self._usual_slowdowns: dict[str, means.MovingMean] = {}
        self._slowdowns: dict[deployment.ServerIncarnation, _Slowdown] = {}
        self._warm_ups: dict[deployment.ServerIncarnation, _WarmUp] = {}
        self._pending_routes: dict[str, means.PendingSum] = {}
        self._pending_servers: dict[deployment.ServerIncarnation, means.PendingSum] = {}
        self._logged: dict[deployment.ServerIncarnation, float] = {}
        self._relayed = NO_TABLE

    def start(self) -> None:
        """Look up the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    @property
    def table(self) -> work_table.WorkTable:
        """The last relayed table; empty before the first one or once it is not trusted."""
        relayed = self._relayed
        return relayed.table if relayed.find_trust(self._clock.read_s()) else NO_TABLE.table

    @property
    def route_works_s(self) -> dict[str, float]:
        """Expected work in seconds of each known route."""
        with self._lock:
            known = {*self._routes, *self._relayed.routes}
        return {route: self.expect_work_s(route) for route in known}

    def expect_s(self, route: str, server: deployment.RegisteredServer) -> float:
        """Return the seconds that a request's work takes at a server now, without queueing."""
        now_s = self._clock.read_s()
        work_s = self._find_work_s(route, server.service, now_s)
        return (
            work_s
            * self._find_slowness(server.incarnation, now_s)
            * self._find_slowdown(server, now_s)
        )

    def expect_work_s(self, route: str) -> float:
        """Return the seconds that a request's work takes at a server of usual speed."""
        return self._find_work_s(route, self._route_services.get(route, ""), self._clock.read_s())

    def record(
        self,
        route: str,
        server: deployment.RegisteredServer,
        attempt: attempts.Attempt,
        duration_s: float,
    ) -> None:
        """Take the measurements from an attempt that took `duration_s` seconds.

        While a server warms up, its work is not measured: it would count as slow long after.
        """
        now_s = self._clock.read_s()
        slowdown = attempt.signals.slowdown
        measured = measurements.measure(attempt, duration_s, server.slots)
        with self._lock:
            if slowdown is not None:
                self._slowdowns[server.incarnation] = _Slowdown(slowdown, now_s)
                usual = self._usual_slowdowns.get(server.service, NO_MEAN)
                self._usual_slowdowns[server.service] = usual.add(
                    slowdown, 1.0, MAX_SLOWDOWN_WEIGHT
                )
            if measured is not None and not self._is_warming_up(server, now_s):
                self._record(route, server, measured, now_s)

    def take_route_samples(self) -> tuple[work_table.RouteSample, ...]:
        """Return the work by route measured since the last call."""
        taken = []
        with self._lock:
            for route, pending in self._pending_routes.items():
                count, total_s, self._pending_routes[route] = pending.split()
                if count:
                    taken.append(work_table.RouteSample(route, count, total_s))
        return tuple(taken)

    def take_server_samples(self) -> tuple[estimates.LatencySample, ...]:
        """Return the work by server measured since the last call.

        It is normalized by route: the seconds that the average request of the service would have
        taken there.
        """
        taken = []
        with self._lock:
            for incarnation, pending in self._pending_servers.items():
                count, total_s, self._pending_servers[incarnation] = pending.split()
                if count:
                    taken.append(estimates.LatencySample(incarnation, count, total_s))
        return tuple(taken)

    def apply_table(self, table: work_table.WorkTable) -> None:
        """Replace the relayed table."""
        relayed = _Relayed(
            table,
            {row.server: _bound(row.factor) for row in table.servers},
            {row.route: row.mean_s for row in table.routes if row.mean_s > 0},
            self._clock.read_s(),
        )
        with self._lock:
            self._relayed = relayed
            changed = self._find_changed(relayed)
        for server, before, factor in changed:
            logging.info(
                "work at server %s takes %.2f times its service's average, before %.2f",
                server,
                factor,
                before,
            )

    def confirm_table(self) -> None:
        """Note that the lessor which relayed the table still has the same one."""
        with self._lock:
            self._relayed = dataclasses.replace(self._relayed, confirmed_at_s=self._clock.read_s())

    def retain(self, incarnations: frozenset[deployment.ServerIncarnation]) -> None:
        """Discard what is known of all other servers."""
        with self._lock:
            self._servers = _retain(self._servers, incarnations)
            self._slowdowns = _retain(self._slowdowns, incarnations)
            self._pending_servers = _retain(self._pending_servers, incarnations)
            self._warm_ups = _retain(self._warm_ups, incarnations)
            self._logged = _retain(self._logged, incarnations)

    def _find_changed(
        self, relayed: _Relayed
    ) -> list[tuple[deployment.ServerIncarnation, float, float]]:
        """Return the servers whose factors changed by more than half since they were logged."""
        changed = []
        for server, factor in relayed.servers.items():
            before = self._logged.get(server, 1.0)
            if max(factor, before) > LOGGED_CHANGE * min(factor, before):
                self._logged[server] = factor
                changed.append((server, before, factor))
        return changed

    def _record(
        self,
        route: str,
        server: deployment.RegisteredServer,
        measured: measurements.Measurement,
        now_s: float,
    ) -> None:
        weight = measured.weight
        incarnation = server.incarnation
        is_known = self._is_route_known(route, now_s)
        expected_s = self._find_work_s(route, server.service, now_s)
        usual_s = measured.work_s / self._find_slowness(incarnation, now_s)
        average = self._services.get(server.service, NO_MEAN)
        average = average.add(usual_s, weight, MAX_SERVICE_WEIGHT)
        self._services[server.service] = average
        if route in self._routes or len(self._routes) < work_table.MAX_ROUTES:
            mean = self._routes.get(route, NO_MEAN)
            self._routes[route] = mean.add(usual_s, weight, MAX_ROUTE_WEIGHT)
            self._route_services[route] = server.service
            pending = self._pending_routes.get(route, NO_PENDING)
            self._pending_routes[route] = pending.add(usual_s, weight)
        if not is_known:
            return
        slowness = min(MAX_FACTOR, measured.work_s / expected_s)
        mean = self._servers.get(incarnation, NO_MEAN)
        self._servers[incarnation] = mean.add(slowness, weight, MAX_SERVER_WEIGHT)
        pending = self._pending_servers.get(incarnation, NO_PENDING)
        self._pending_servers[incarnation] = pending.add(slowness * average.value, weight)

    def _is_warming_up(self, server: deployment.RegisteredServer, now_s: float) -> bool:
        registered_s = server.slow_start_remaining_s
        if registered_s <= 0:
            return False
        warm_up = self._warm_ups.get(server.incarnation)
        if warm_up is None or warm_up.registered_s != registered_s:
            warm_up = _WarmUp(registered_s, now_s + registered_s)
            self._warm_ups[server.incarnation] = warm_up
        return now_s < warm_up.ends_at_s

    def _is_route_known(self, route: str, now_s: float) -> bool:
        if self._routes.get(route, NO_MEAN).weight >= MIN_ROUTE_WEIGHT:
            return True
        return route in self._relayed.routes and self._relayed.find_trust(now_s) > 0

    def _find_work_s(self, route: str, service_name: str, now_s: float) -> float:
        average = self._services.get(service_name, NO_MEAN)
        parent_s = average.value if average.weight else work_estimates.DEFAULT_WORK_S
        own = self._routes.get(route, NO_MEAN)
        relayed = self._relayed
        return relayed.blend(own, parent_s, relayed.routes.get(route), now_s)

    def _find_slowness(self, incarnation: deployment.ServerIncarnation, now_s: float) -> float:
        own = self._servers.get(incarnation, NO_MEAN)
        relayed = self._relayed
        return relayed.blend(own, 1.0, relayed.servers.get(incarnation), now_s)

    def _find_slowdown(self, server: deployment.RegisteredServer, now_s: float) -> float:
        usual = self._usual_slowdowns.get(server.service)
        if usual is None:
            return 1.0
        reported = self._slowdowns.get(server.incarnation)
        if reported is None:
            return usual.value
        freshness = max(0.0, 1.0 - (now_s - reported.at_s) / SLOWDOWN_FADE_S)
        return usual.value + (reported.factor - usual.value) * freshness


def _bound(factor: float) -> float:
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))


def _retain(
    values: dict[deployment.ServerIncarnation, ValueType],
    incarnations: frozenset[deployment.ServerIncarnation],
) -> dict[deployment.ServerIncarnation, ValueType]:
    return {server: value for server, value in values.items() if server in incarnations}
