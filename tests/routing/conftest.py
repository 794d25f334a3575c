"""Fixtures for routing: a router over fakes with a manual clock."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import requests
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.ownership import heat
from goldcresthall.replication import state as replicated
from goldcresthall.routing import admission
from goldcresthall.routing import observations
from goldcresthall.routing import router
from tests.fakes import backends
from tests.fakes import clock
from tests.fakes import instances
from tests.fakes import intents
from tests.fakes import replica

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import outcomes

SEED = 5
THREADS = 64
ROUTES = (
    preset.Route(method="GET", path="/pages/{key}", idempotent=True),
    preset.Route(
        method="GET",
        path="/reports/{key}",
        idempotent=True,
        request_class=preset.RequestClass.LONG,
    ),
    preset.Route(method="POST", path="/orders/{key}", idempotent=False),
)


def create_policy(count: int = 3, *, keyed: bool = False) -> preset.ServicePolicy:
    servers = tuple(
        preset.BackendServer(
            name=f"program-{number}",
            address=identity.Address("127.0.0.1", 9000 + number),
            failure_domain=f"domain-{number}",
        )
        for number in range(1, count + 1)
    )
    return preset.ServicePolicy(
        name="program", keyed=keyed, servers=servers, routes=ROUTES, partitions=1
    )


class RouterHarness:
    """A started router and its fake dependencies."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.replica = replica.SettableReplica()
        self.replica.on_wait = self.clock.advance
        self.backends = backends.ScriptedBackends()
        self.metrics = metrics.Metrics()
        self.delays: list[float] = []
        self.kernel = kernel.Kernel()
        self.kernel.register(names.CLOCK, self.clock)
        self.kernel.register(names.METRICS, self.metrics)
        self.kernel.register(names.REPLICA, self.replica)
        self.kernel.register(names.BACKENDS, self.backends)
        self.kernel.register(names.INTENTS, intents.PassthroughIntents())
        self.kernel.register(names.HEAT, heat.HeatCounter())
        self.instances = instances.SettableInstanceList()
        self.kernel.register(names.INSTANCE_LIST, self.instances)
        self.observations = observations.Observations(self.kernel)
        self.kernel.register(names.OBSERVATIONS, self.observations)
        generator = random.Random(SEED)
        self.admission = admission.Admission(self.kernel, "router-0", THREADS, generator)
        self.kernel.register(names.ADMISSION, self.admission)
        self.router = router.Router(self.kernel, self._sleep, generator)
        self.kernel.register(names.ROUTER, self.router)
        self.observations.start()
        self.admission._find_services()
        self.router.start()

    def publish(self, *policies: preset.ServicePolicy) -> None:
        published = preset.Preset(name="day", services=policies)
        state = self.replica.state
        in_force = replicated.PresetInForce(published, state.next_offset, "operator", "test")
        self.replica.set_state(
            dataclasses.replace(state, next_offset=state.next_offset + 1, preset_in_force=in_force)
        )

        self.admission.apply_state(self.replica.state)

    def set_owner(self, server: str) -> None:
        state = self.replica.state
        partition = replicated.PartitionId("program", 0)
        ownership = replicated.Ownership(server, state.next_offset, "router", "test")
        self.replica.set_state(
            dataclasses.replace(
                state,
                next_offset=state.next_offset + 1,
                partitions=state.partitions.set(partition, ownership),
            )
        )

    def script_attempts(self, *scripted: attempts.Attempt) -> None:
        self.backends._script.extend(scripted)

    def handle(
        self, method: str = "GET", path: str = "/pages/molde", deadline_s: float | None = None
    ) -> outcomes.Outcome:
        now_s = self.clock.read_s()
        return self.router.handle(
            requests.Request(
                request_id="request",
                service="program",
                method=method,
                path=path,
                received_at_s=now_s,
                deadline_s=None if deadline_s is None else now_s + deadline_s,
            )
        )

    def read_metric(self, name: str, **labels: str) -> float:
        return self.metrics.registry.get_sample_value(name, labels) or 0.0

    def _sleep(self, seconds: float) -> None:
        self.delays.append(seconds)
        self.clock.advance(seconds)


HarnessAction = Callable[[RouterHarness], None]


@pytest.fixture
def harness() -> RouterHarness:
    """Return a router over fakes without a preset."""
    return RouterHarness()
