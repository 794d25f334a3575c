"""The admission service: admits requests to backend servers, queues them or refuses them.

It enforces an adaptive concurrency limit for each server, a bounded queue for each
service and a quota of caller threads for each service.
"""

from __future__ import annotations

import dataclasses
import functools
import random
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics
from goldcresthall.replication import replica
from goldcresthall.routing import concurrency_limiters
from goldcresthall.routing import observations
from goldcresthall.routing import queues
from goldcresthall.routing import targets
from goldcresthall.routing import thread_quotas

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

STATE_POLL_INTERVAL_S = 1.0
THREADS_EXHAUSTED_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request for admission of one attempt at one of several candidate servers.

    Attributes
    ----------
    servers
        Servers that may run the attempt.
    tried
        Names of the servers at which earlier attempts failed.
    remaining_s
        Seconds until the deadline of the request.
    """

    target: targets.Target
    request_class: preset.RequestClass
    servers: tuple[targets.CandidateServer, ...]
    tried: frozenset[str]
    remaining_s: float


class Admission(service.Service):
    """Limits the in-flight requests, the queue and the caller threads of each service."""

    def __init__(
        self, service_kernel: kernel.Kernel, name: str, thread_count: int, generator: random.Random
    ) -> None:
        self._kernel = service_kernel
        self._name = name
        self._generator = generator
        self._threads = thread_quotas.ThreadQuotas(thread_count)
        self._lock = threading.Lock()
        self._queues: dict[str, queues.ServiceQueue] = {}
        self._task = tasks.LoopTask("admission", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, instance_settings: settings.Settings
    ) -> Admission:
        """Return the admission service of an instance."""
        return cls(
            service_kernel,
            instance_settings.name,
            instance_settings.callers.threads,
            random.Random(),  # noqa: S311
        )

    def start(self) -> None:
        """Look up the required services and start watching for changes of state."""
        self._find_services()
        self._task.start()

    def stop(self) -> None:
        """Stop watching for changes of state."""
        self._task.stop()

    def acquire_thread(self, policy: preset.ServicePolicy) -> outcomes.Refused | None:
        """Reserve a caller thread for a request; return a refusal if the quota is used up."""
        in_force = self._replica.state.preset_in_force
        services = 1 if in_force is None else len(in_force.preset.services)
        if self._threads.acquire_thread(policy.name, services):
            return None
        return outcomes.Refused(
            outcomes.RefusalReason.QUEUE_FULL,
            outcomes.Step.ADMIT,
            policy.name,
            "the service has used up its quota of threads",
            retry_after_s=THREADS_EXHAUSTED_RETRY_AFTER_S,
        )

    def release_thread(self, policy: preset.ServicePolicy) -> None:
        """Release the thread of a request."""
        self._threads.release_thread(policy.name)

    def admit(self, request: AdmissionRequest) -> queues.AdmissionResult:
        """Wait for a permit for as long as an attempt can still meet the deadline."""
        queue = self._find_queue(request.target.policy)
        spec = self._create_spec(request)
        waiter = queue.request_permit(spec)
        if not isinstance(waiter, queues.Waiter):
            return waiter
        waiter.wait(queue.find_max_wait_s(spec))
        result = queue.cancel(waiter)
        if result is not None:
            return result
        return outcomes.Refused(
            outcomes.RefusalReason.DEADLINE_EXPIRED,
            outcomes.Step.ADMIT,
            request.target.policy.name,
            "no server had a free slot before the deadline",
            retry_after_s=queue.find_completion_s(spec),
        )

    def release(self, permit: queues.Permit, attempt: attempts.Attempt, duration_s: float) -> None:
        """Release the slot of a finished attempt that took `duration_s` seconds."""
        queue = self._find_queue(permit.spec.target.policy)
        queue.release(permit, attempt, duration_s)

    def apply_state(self, state: replicated.State) -> None:
        """Apply a changed state or instance list to limits, queues and waiting requests.

        The shares of servers follow the number of live instances. Waiting requests
        whose candidate servers have changed are released to look them up again.
        """
        if state.preset_in_force is None:
            return
        services = state.preset_in_force.preset.services
        for policy in services:
            share = concurrency_limiters.Share.from_config(policy, self._count_instances())
            self._find_queue(policy).configure(policy, share)
        find_servers = functools.partial(self._find_servers, state)
        for queue in list(self._queues.values()):
            queue.release_stale_waiters(find_servers)
        self._observations.track_servers(
            frozenset(server.name for policy in services for server in policy.servers)
        )

    def count_outstanding(self) -> int:
        """Return the number of requests in flight at backend servers."""
        return sum(queue.outstanding for queue in list(self._queues.values()))

    def count_waiting(self) -> int:
        """Return the number of requests waiting for a slot at a server."""
        return sum(queue.length for queue in list(self._queues.values()))

    def _find_services(self) -> None:
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._observations = self._kernel.find(names.OBSERVATIONS, observations.Observations)
        metrics_service = self._kernel.find(names.METRICS, metrics.Metrics)
        metrics_service.register_gauge(
            "outstanding", "Requests in flight at backend servers.", self.count_outstanding
        )
        metrics_service.register_gauge(
            "queue_length", "Requests waiting for a slot at a server.", self.count_waiting
        )
        metrics_service.register_gauge(
            "ejected_servers",
            "Backend servers ejected after failures.",
            self._observations.count_ejected,
        )
        metrics_service.register_gauge(
            "draining_servers",
            "Backend servers that report that they are draining.",
            self._observations.count_draining,
        )

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        state = self._replica.state
        revision = -1
        while not stop_signal.is_set:
            latest = self._replica.wait_for_newer(state.next_offset, STATE_POLL_INTERVAL_S)
            listing = self._list.listing
            if _has_changed(state, latest) or listing.revision != revision:
                self.apply_state(latest)
            state = latest
            revision = listing.revision

    def _find_servers(
        self, state: replicated.State, target: targets.Target, tried: frozenset[str]
    ) -> tuple[targets.CandidateServer, ...] | outcomes.Refused:
        return targets.find_servers(target, state, tried, self._observations)

    def _find_queue(self, policy: preset.ServicePolicy) -> queues.ServiceQueue:
        queue = self._queues.get(policy.name)
        if queue is not None:
            return queue
        share = concurrency_limiters.Share.from_config(policy, self._count_instances())
        with self._lock:
            return self._queues.setdefault(
                policy.name,
                queues.ServiceQueue(policy, share, self._observations, self._generator),
            )

    def _count_instances(self) -> int:
        return max(1, len(self._list.listing.live))

    def _create_spec(self, request: AdmissionRequest) -> queues.AttemptSpec:
        is_long = request.request_class is preset.RequestClass.LONG
        key = request.target.key if isinstance(request.target, targets.KeyTarget) else ""
        return queues.AttemptSpec(
            target=request.target,
            key=key,
            request_class=request.request_class,
            servers=request.servers,
            long_servers=self._list_long_servers(request) if is_long else request.servers,
            tried=request.tried,
            remaining_s=request.remaining_s,
        )

    def _list_long_servers(self, request: AdmissionRequest) -> tuple[targets.CandidateServer, ...]:
        """Return the subset of servers to which this instance sends long requests.

        Instances sorted by name take consecutive subsets of the servers, so that the
        long requests of all instances together leave slots at each server for short
        requests without any coordination between the instances.
        """
        count = len(request.servers)
        instances = sorted(entry.name for entry in self._list.listing.live)
        if count == 1 or self._name not in instances:
            return request.servers
        slots = (
            count * request.target.policy.slots_per_server * concurrency_limiters.MAX_LONG_FRACTION
        )
        subset_size = min(count, max(1, int(slots / len(instances))))
        first = instances.index(self._name) * subset_size
        return tuple(request.servers[(first + index) % count] for index in range(subset_size))


def _has_changed(before: replicated.State, after: replicated.State) -> bool:
    return (
        before.preset_in_force is not after.preset_in_force
        or before.partitions is not after.partitions
    )
