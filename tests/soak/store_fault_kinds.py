"""Faults of the store that the soak test injects beyond unavailability."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import deployment_server

from tests.soak import deployment
from tests.soak import faults

if TYPE_CHECKING:
    import threading

CONFIGURATION_TOPIC = "keyed.op"
# Live servers are registered again within two seconds of the store's return.
REGISTRATION_S = 1.5
AWAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreLapsed(faults.Fault):
    """The store rejects all calls, and the entries of all servers expire meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRestored(faults.Fault):
    """The store is away and comes back from a copy.

    Attributes
    ----------
    copy_age_s
        Seconds between the copy and the time at which the store goes away.
    """

    copy_age_s: float


@faults.inject.register(StoreLapsed)
def _(fault: StoreLapsed, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    with faults.disturb(running):
        running.store.is_down = True
        stopped.wait(fault.duration_s)
        lapsed = [
            soak_server
            for soak_server in (*running.keyed, *running.unkeyed)
            if running.is_serving(soak_server.server.name)
        ]
        for soak_server in lapsed:
            soak_server.server.unregister()
        running.store.is_down = False
    ends_at_s = time.monotonic() + REGISTRATION_S
    for index, soak_server in enumerate(lapsed):
        due_at_s = ends_at_s - REGISTRATION_S * (len(lapsed) - index) / len(lapsed)
        stopped.wait(max(0.0, due_at_s - time.monotonic()))
        if running.is_serving(soak_server.server.name):
            soak_server.server.register(port=soak_server.proxy.port)


@faults.inject.register(StoreRestored)
def _(fault: StoreRestored, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    running.store.take_copy()
    stopped.wait(fault.copy_age_s)
    with faults.disturb(running):
        running.store.is_down = True
        stopped.wait(AWAY_S)
        topics = (CONFIGURATION_TOPIC, deployment_server.SERVERS_TOPIC)
        running.store.restore_copy(rewritten=topics)
        running.store.is_down = False
