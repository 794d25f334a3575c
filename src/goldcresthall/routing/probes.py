"""The probes service: asks servers that this instance has not heard from lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.replication import replica
from goldcresthall.routing import observations

if TYPE_CHECKING:
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.1
PROBE_AFTER_SILENCE_S = 2.0


class Probes(service.Service):
    """Learns from quiet servers whether they are leaving, and from leaving ones if not.

    A server that answers work tells that along with each answer and is not asked.
    What a probe says of health is not believed: only work shows that.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._task = tasks.Task("probes", self._run)

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> Probes:
        """Return the probes of an instance."""
        return cls(service_kernel)

    def start(self) -> None:
        """Find the services needed and begin to probe."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._client = self._kernel.find(names.BACKENDS, client.BackendClient)
        self._observations = self._kernel.find(names.OBSERVATIONS, observations.Observations)
        self._task.start()

    def stop(self) -> None:
        """Stop probing."""
        self._task.stop()

    def probe_silent_servers(self) -> None:
        """Ask each server of the preset in force that has been quiet."""
        in_force = self._replica.state.preset_in_force
        if in_force is None:
            return
        for policy in in_force.preset.services:
            for server in policy.servers:
                if self._is_silent(server):
                    self._probe(server)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(PROBE_INTERVAL_S):
            self.probe_silent_servers()

    def _is_silent(self, server: preset.BackendServer) -> bool:
        return (
            self._clock.read_s() - self._observations.find_last_response_s(server.name)
            >= PROBE_AFTER_SILENCE_S
        )

    def _probe(self, server: preset.BackendServer) -> None:
        signals = self._client.probe(server, PROBE_TIMEOUT_S)
        if signals is not None:
            self._observations.record_signals(server.name, signals)
