"""The admission service: lets requests through to servers, makes them wait or refuses."""

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
    """What a request asks admission for: one try at one of several servers."""

    target: targets.Target
    request_class: preset.RequestClass
    servers: tuple[targets.CandidateServer, ...]
    tried: frozenset[str]
    remaining_s: float


class Admission(service.Service):
    """Bounds what each service has at servers, in its queue and in threads here."""

    def __init__(
        self, service_kernel: kernel.Kernel, name: str, thread_count: int, generator: random.Random
    ) -> None:
        self._kernel = service_kernel
        self._name = name
        self._generator = generator
        self._threads = thread_quotas.ThreadQuotas(thread_count)
        self._lock = threading.Lock()
        self._queues: dict[str, queues.ServiceQueue] = {}
        self._instances: tuple[str, ...] = ()
        self._task = tasks.Task("admission", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, instance_settings: settings.Settings
    ) -> Admission:
        """Return the admission of an instance."""
        return cls(
            service_kernel,
            instance_settings.name,
            instance_settings.callers.threads,
            random.Random(),  # noqa: S311
        )

    def start(self) -> None:
        """Find the services needed and begin to watch for changes."""
        self._find_services()
        self._task.start()

    def stop(self) -> None:
        """Stop watching."""
        self._task.stop()

    def acquire_thread(self, policy: preset.ServicePolicy) -> outcomes.Refused | None:
        """Take a thread for a request of a service, or return why it may not."""
        in_force = self._replica.state.preset_in_force
        services = 1 if in_force is None else len(in_force.preset.services)
        if self._threads.acquire_thread(policy.name, services):
            return None
        return outcomes.Refused(
            outcomes.RefusalReason.QUEUE_FULL,
            outcomes.Step.ADMIT,
            policy.name,
            "all threads that the service may hold are taken",
            retry_after_s=THREADS_EXHAUSTED_RETRY_AFTER_S,
        )

    def release_thread(self, policy: preset.ServicePolicy) -> None:
        """Give back the thread of a request."""
        self._threads.release_thread(policy.name)

    def admit(self, wish: AdmissionRequest) -> queues.AdmissionResult:
        """Wait for a place at a server for as long as the request could still be answered."""
        queue = self._find_queue(wish.target.policy)
        spec = self._create_spec(wish)
        found = queue.request_permit(spec)
        if not isinstance(found, queues.Waiter):
            return found
        found.wait(queue.find_max_wait_s(spec))
        result = queue.cancel(found)
        if result is not None:
            return result
        return outcomes.Refused(
            outcomes.RefusalReason.DEADLINE_EXPIRED,
            outcomes.Step.ADMIT,
            wish.target.policy.name,
            "no server had a place in time",
        )

    def release(self, permit: queues.Permit, attempt: attempts.Attempt, duration_s: float) -> None:
        """Give back a place at a server after a try of so many seconds."""
        queue = self._find_queue(permit.spec.target.policy)
        queue.release(permit, attempt, duration_s)

    def apply_state(self, state: replicated.State) -> None:
        """Adopt a changed state or instance list: shares, queues and who may wait where."""
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
        """Return the number of requests at backend servers."""
        return sum(queue.outstanding for queue in list(self._queues.values()))

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a place."""
        return sum(queue.length for queue in list(self._queues.values()))

    def _find_services(self) -> None:
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._observations = self._kernel.find(names.OBSERVATIONS, observations.Observations)
        measured = self._kernel.find(names.METRICS, metrics.Metrics)
        measured.register_gauge(
            "outstanding", "Requests at backend servers.", self.count_outstanding
        )
        measured.register_gauge("queue_length", "Requests that wait here.", self.count_waiting)
        measured.register_gauge(
            "ejected_servers",
            "Backend servers that get no work for their failures.",
            self._observations.count_ejected,
        )
        measured.register_gauge(
            "draining_servers",
            "Backend servers that say that they are leaving.",
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

    def _create_spec(self, wish: AdmissionRequest) -> queues.AttemptSpec:
        is_long = wish.request_class is preset.RequestClass.LONG
        key = wish.target.key if isinstance(wish.target, targets.KeyTarget) else ""
        return queues.AttemptSpec(
            target=wish.target,
            key=key,
            request_class=wish.request_class,
            servers=wish.servers,
            long_servers=self._list_long_servers(wish) if is_long else wish.servers,
            tried=wish.tried,
            remaining_s=wish.remaining_s,
        )

    def _list_long_servers(self, wish: AdmissionRequest) -> tuple[targets.CandidateServer, ...]:
        """Return this instance's part of the servers for long work.

        The instances take consecutive parts of the servers in turn, so that long
        work of all instances together leaves slots of each server to short work,
        though no instance sees the others.
        """
        count = len(wish.servers)
        instances = sorted(entry.name for entry in self._list.listing.live)
        if count == 1 or self._name not in instances:
            return wish.servers
        slots = count * wish.target.policy.slots_per_server * concurrency_limiters.MAX_LONG_FRACTION
        part = min(count, max(1, int(slots / len(instances))))
        first = instances.index(self._name) * part
        return tuple(wish.servers[(first + index) % count] for index in range(part))


def _has_changed(before: replicated.State, after: replicated.State) -> bool:
    return (
        before.preset_in_force is not after.preset_in_force
        or before.partitions is not after.partitions
    )
