"""Load balancing among the servers of a service that is not keyed."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.gateway import server_lists

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from goldcresthall.core import deployment
    from goldcresthall.core import identity
    from goldcresthall.gateway import estimates
    from goldcresthall.load import work_model

# Another failure domain must serve a request sooner by this fraction of its work, so that requests
# leave their domain only if the servers there have queues. A body of 60 KB adds 0.6 s.
REMOTE_DOMAIN_PENALTY_FRACTION = 0.75
REMOTE_DOMAIN_PENALTY_S_PER_BYTE = 1e-5
NEW_CONNECTION_PENALTY_S = 0.02
SLOW_START_PENALTY_FACTOR = 2.0
FAILURE_PENALTY_WEIGHT = 6.0
# The load is known late, so that a nearly full server often turns out to have a queue.
LOAD_PENALTY_WEIGHT = 1.0
SCORE_JITTER_FRACTION = 0.1
LOCAL_SAMPLE_SIZE = 4
REMOTE_SAMPLE_SIZE = 2
EXAMINED_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of the server that it is sent to.

    Attributes
    ----------
    route
        Name of its route; empty if unknown, for the average of the service.
    uses_idle
        Whether it may be sent on an idle connection.
    queue_fraction
        Part of a server's load limit up to which the request may join its queue.
    """

    route: str = ""
    body_bytes: int = 0
    uses_idle: bool = True
    queue_fraction: float = 1.0


UNKNOWN_DEMAND: Final = Demand()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """The servers of a service, divided by failure domain.

    Attributes
    ----------
    entries
        All servers, in the order of the directory.
    local
        Those in the failure domain of this instance.
    """

    entries: tuple[server_lists.DirectoryEntry, ...]
    local: tuple[server_lists.DirectoryEntry, ...]
    remote: tuple[server_lists.DirectoryEntry, ...]

    @classmethod
    def divide(
        cls, entries: tuple[server_lists.DirectoryEntry, ...], failure_domain: str
    ) -> Candidates:
        """Divide the servers of a service for an instance in a failure domain."""
        local = tuple(entry for entry in entries if entry.server.failure_domain == failure_domain)
        remote = tuple(entry for entry in entries if entry.server.failure_domain != failure_domain)
        return cls(entries, local, remote)


def draw_sample(
    candidates: Candidates,
    is_usable: Callable[[server_lists.DirectoryEntry], bool],
    generator: random.Random,
) -> list[server_lists.DirectoryEntry]:
    """Return a random sample of the usable servers, with more local ones than remote ones.

    Only as many servers are examined as it takes, because an examination of all servers of a
    large service costs more than the rest of a request.
    """
    local = _draw(candidates.local, LOCAL_SAMPLE_SIZE, is_usable, generator)
    remote_size = REMOTE_SAMPLE_SIZE if local else LOCAL_SAMPLE_SIZE
    return local + _draw(candidates.remote, remote_size, is_usable, generator)


def _draw(
    entries: tuple[server_lists.DirectoryEntry, ...],
    size: int,
    is_usable: Callable[[server_lists.DirectoryEntry], bool],
    generator: random.Random,
) -> list[server_lists.DirectoryEntry]:
    examined = generator.sample(entries, min(len(entries), EXAMINED_FACTOR * size))
    drawn = list(itertools.islice(filter(is_usable, examined), size))
    if len(drawn) == size or len(examined) == len(entries):
        return drawn
    usable = [entry for entry in entries if is_usable(entry)]
    return generator.sample(usable, min(len(usable), size))


class Selector:
    """Selects the server of a sample with the lowest expected time to the response.

    Parameters
    ----------
    server_estimates
        Load and failures of the servers.
    model
        Expected work of requests.
    has_idle
        Returns whether there is an idle connection to an address.
    failure_domain
        Failure domain of this instance.
    """

    def __init__(
        self,
        server_estimates: estimates.Estimates,
        model: work_model.WorkModel,
        has_idle: Callable[[identity.Address], bool],
        failure_domain: str,
    ) -> None:
        self._estimates = server_estimates
        self._model = model
        self._has_idle = has_idle
        self._failure_domain = failure_domain

    def draw(
        self,
        subset: Candidates,
        everything: Candidates,
        is_usable: Callable[[server_lists.DirectoryEntry], bool],
        now_s: float,
        generator: random.Random,
    ) -> list[server_lists.DirectoryEntry]:
        """Return a sample of a subset; one of all servers joins it if no slot there is free."""
        sample = draw_sample(subset, is_usable, generator)
        if subset is everything or any(self._has_free_slot(entry, now_s) for entry in sample):
            return sample
        return sample + draw_sample(everything, is_usable, generator)

    def select(
        self,
        sample: list[server_lists.DirectoryEntry],
        demand: Demand,
        now_s: float,
        generator: random.Random,
    ) -> deployment.RegisteredServer:
        """Return the best server of a sample.

        The random part of the scores keeps instances with the same knowledge from choosing the
        same server.
        """
        low, high = 1.0 - SCORE_JITTER_FRACTION, 1.0 + SCORE_JITTER_FRACTION
        best = min(
            sample,
            key=lambda entry: self.find_completion_s(entry, demand, now_s)
            * generator.uniform(low, high)
            + self._find_penalty_s(entry.server, demand),
        )
        return best.server

    def find_completion_s(
        self, entry: server_lists.DirectoryEntry, demand: Demand, now_s: float
    ) -> float:
        """Return the expected seconds to the response: the work, and the work that waits ahead.

        Recent failures and a slow start after a server's registration count as longer work.
        """
        server = entry.server
        load = self._estimates.find_expected_load(server, now_s)
        queued = max(0.0, load + 1.0 - server.slots) / server.slots
        load_penalty = LOAD_PENALTY_WEIGHT * load / server.slots
        completion_s = self._model.expect_s(demand.route, server) * (1.0 + queued + load_penalty)
        completion_s *= 1.0 + FAILURE_PENALTY_WEIGHT * self._estimates.find(server).failure_rate
        if now_s < entry.first_seen_s + server.slow_start_remaining_s:
            completion_s *= SLOW_START_PENALTY_FACTOR
        return completion_s

    def _find_penalty_s(self, server: deployment.RegisteredServer, demand: Demand) -> float:
        """Return the seconds that a new connection or another failure domain counts as."""
        penalty_s = 0.0
        if demand.uses_idle and not self._has_idle(server.address):
            penalty_s = NEW_CONNECTION_PENALTY_S
        if server.failure_domain != self._failure_domain:
            work_s = self._model.expect_work_s(demand.route)
            penalty_s += REMOTE_DOMAIN_PENALTY_FRACTION * work_s
            penalty_s += REMOTE_DOMAIN_PENALTY_S_PER_BYTE * demand.body_bytes
        return penalty_s

    def _has_free_slot(self, entry: server_lists.DirectoryEntry, now_s: float) -> bool:
        return self._estimates.find_expected_load(entry.server, now_s) < entry.server.slots
