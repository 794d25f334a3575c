"""The peer server: one task for each connection of a peer."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from absl import logging
from thrift.transport import TSocket
from thrift.transport import TTransport

from goldcresthall.generated.peer import Peer
from goldcresthall.generated.peer import constants
from goldcresthall.generated.peer import ttypes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.ownership import heat
from goldcresthall.peers import heat_encoding
from goldcresthall.peers import transport
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
NO_PRESET_OFFSET = -1


class PeerHandler:
    """Answers the calls of peers from the replica."""

    def __init__(
        self,
        incarnation: identity.Incarnation,
        failure_domain: str,
        log_replica: replica.LogReplica,
        monotonic_clock: clock.Clock,
        heat_counter: heat.HeatCounter,
    ) -> None:
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._replica = log_replica
        self._clock = monotonic_clock
        self._heat = heat_counter

    def greet(self, caller: ttypes.Greeting) -> ttypes.Greeting:
        """Check the caller's version and return this instance's greeting."""
        if caller.protocol_version != constants.PROTOCOL_VERSION:
            raise ttypes.VersionMismatch(
                expected=constants.PROTOCOL_VERSION, received=caller.protocol_version
            )
        return ttypes.Greeting(
            protocol_version=constants.PROTOCOL_VERSION,
            name=self._incarnation.name,
            incarnation=self._incarnation.token,
            failure_domain=self._failure_domain,
        )

    def report_status(self) -> ttypes.StatusReport:
        """Return what this instance has taken up."""
        state = self._replica.state
        in_force = state.preset_in_force
        return ttypes.StatusReport(
            name=self._incarnation.name,
            incarnation=self._incarnation.token,
            next_offset=state.next_offset,
            preset_offset=NO_PRESET_OFFSET if in_force is None else in_force.offset,
            state_digest="",
            digest_offset=state.next_offset,
        )

    def report_heat(self) -> ttypes.HeatReport:
        """Return what this instance's keyed services draw."""
        return heat_encoding.encode_report(self._heat.report)

    def relay_records(self, from_offset: int, limit: int, wait_ms: int) -> ttypes.RecordPage:
        """Return committed entries, fresh if a read begun after the question said so."""
        asked_at_s = self._clock.read_s()
        fresh = self._replica.wait_fresh(asked_at_s, wait_ms / MS_PER_S)
        entries = self._replica.relay(from_offset, limit)
        if entries is None:
            raise ttypes.RangeUnavailable(begin_offset=self._replica.state.next_offset)
        complete = from_offset + len(entries) >= self._replica.state.next_offset
        return ttypes.RecordPage(
            first_offset=from_offset, entries=list(entries), fresh=fresh and complete
        )


class PeerServer(service.Service):
    """Accepts connections of peers on the configured address."""

    def __init__(
        self,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = owner
        self._incarnation = incarnation
        self._failure_domain = instance_settings.failure_domain
        address = instance_settings.listen.peers
        self._listener = TSocket.TServerSocket(address.host, address.port)
        self._lock = threading.Lock()
        self._connections: dict[TSocket.TSocket, tasks.Task] = {}
        self._task = tasks.Task("peer-server", self._run)

    @classmethod
    def from_config(
        cls,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerServer:
        """Return the server for an instance's settings."""
        return cls(owner, incarnation, instance_settings)

    def start(self) -> None:
        """Listen and begin to accept connections."""
        handler = PeerHandler(
            self._incarnation,
            self._failure_domain,
            self._kernel.find(names.REPLICA, replica.LogReplica),
            self._kernel.find(names.CLOCK, clock.Clock),
            self._kernel.find(names.HEAT, heat.HeatCounter),
        )
        self._processor = Peer.Processor(handler)
        self._listener.listen()
        self._task.start()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._task.request_stop()
        self._close_listener()
        with self._lock:
            connections = dict(self._connections)
        for accepted in connections:
            accepted.close()
        self._task.stop()

    def _close_listener(self) -> None:
        # Closing alone leaves a thread that waits in accept; a shutdown wakes it.
        with contextlib.suppress(OSError):
            self._listener.handle.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            try:
                accepted = self._listener.accept()
            except OSError:
                return
            if accepted is not None:
                self._serve(accepted)

    def _serve(self, accepted: TSocket.TSocket) -> None:
        def run(_: tasks.StopSignal) -> None:
            self._answer_calls(accepted)

        task = tasks.Task("peer-connection", run)
        with self._lock:
            self._connections[accepted] = task
        task.start()

    def _answer_calls(self, accepted: TSocket.TSocket) -> None:
        protocol = transport.create_protocol(accepted)
        try:
            while True:
                self._processor.process(protocol, protocol)
        except (TTransport.TTransportException, OSError, EOFError):
            logging.debug("peer connection closed")
        except Exception as error:  # noqa: BLE001
            logging.warning("peer connection: step decode: %s", error)
        finally:
            accepted.close()
            with self._lock:
                self._connections.pop(accepted, None)
