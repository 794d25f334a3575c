"""The probes service: polls backend servers that have sent no response recently."""

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
    """Polls silent servers for their draining signal.

    A server that responds to requests sends the signal with each response, so it is
    not probed. A draining server of a pool gets no requests, so only a probe shows that
    it has stopped draining. Probe results do not affect health: only the results of real
    requests do.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._task = tasks.LoopTask("probes", self._run)

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> Probes:
        """Return the probes service of an instance."""
        return cls(service_kernel)

    def start(self) -> None:
        """Look up the required services and start probing."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._client = self._kernel.find(names.BACKENDS, client.BackendClient)
        self._observations = self._kernel.find(names.OBSERVATIONS, observations.Observations)
        self._task.start()

    def stop(self) -> None:
        """Stop probing."""
        self._task.stop()

    def probe_silent_servers(self) -> None:
        """Probe each server of the preset in force that has sent no response recently."""
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
