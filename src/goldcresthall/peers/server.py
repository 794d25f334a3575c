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
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import heat
from goldcresthall.peers import handler
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import transport
from goldcresthall.peers import uptake_table
from goldcresthall.replication import log_replica
from goldcresthall.replication import replica_metrics as replication_meters

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

IDLE_TIMEOUT_MS = 30_000
CONNECTION_LIMIT = 256


class PeerServer(service.Service):
    """Accepts connections of peers on the configured address."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._settings = instance_settings
        self._uptake = uptake_table.UptakeTable(incarnation.name)
        address = instance_settings.listen.peers
        self._listener = TSocket.TServerSocket(address.host, address.port)
        self._lock = threading.Lock()
        self._connections: dict[TSocket.TSocket, tasks.Task] = {}
        self._task = tasks.Task("peer-server", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerServer:
        """Return the server for an instance's settings."""
        return cls(service_kernel, incarnation, instance_settings)

    @property
    def uptake_table(self) -> uptake_table.UptakeTable:
        """Which instance has which preset, as it is passed on to peers."""
        return self._uptake

    def start(self) -> None:
        """Listen and begin to accept connections."""
        self._replica = self._kernel.find(names.REPLICA, log_replica.LogReplica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._metrics = peer_metrics.PeerMetrics(
            replication_meters.find_registry(self._kernel), "server"
        )
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
                self._admit(accepted)

    def _admit(self, accepted: TSocket.TSocket) -> None:
        with self._lock:
            is_full = len(self._connections) >= CONNECTION_LIMIT
        if is_full:
            self._metrics.count_fault("accept", _find_address(accepted), "too_many_connections")
            accepted.close()
            return
        accepted.setTimeout(IDLE_TIMEOUT_MS)
        self._serve(accepted)

    def _serve(self, accepted: TSocket.TSocket) -> None:
        def run(_: tasks.StopSignal) -> None:
            self._answer_calls(accepted)

        task = tasks.Task("peer-connection", run)
        with self._lock:
            self._connections[accepted] = task
        task.start()

    def _create_handler(self, accepted: TSocket.TSocket) -> handler.PeerHandler:
        cursor = uptake_table.UptakeCursor(self._uptake, self._settings.peers.uptake_rows)
        return handler.PeerHandler(
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            log_replica=self._replica,
            listed=self._list,
            monotonic_clock=self._clock,
            cursor=cursor,
            metrics=self._metrics,
            heat_counter=self._heat,
            caller_address=_find_address(accepted),
        )

    def _answer_calls(self, accepted: TSocket.TSocket) -> None:
        answering = self._create_handler(accepted)
        processor = Peer.Processor(answering)
        protocol = transport.create_protocol(accepted, self._metrics)
        try:
            while processor.process(protocol, protocol):
                pass
            self._refuse(answering.caller, "unknown_call")
        except transport.FrameTooLargeError as error:
            self._refuse(answering.caller, "frame_too_large", error)
        except (TTransport.TTransportException, OSError, EOFError):
            logging.debug("peer connection closed")
        except Exception as error:  # noqa: BLE001
            self._refuse(answering.caller, "garbage", error)
        finally:
            accepted.close()
            with self._lock:
                self._connections.pop(accepted, None)

    def _refuse(self, peer: str, reason: str, error: Exception | None = None) -> None:
        self._metrics.count_fault("decode", peer, reason)
        logging.warning("peer %s: step decode: %s: %s", peer, reason, error or "")


def _find_address(accepted: TSocket.TSocket) -> str:
    try:
        return str(accepted.handle.getpeername()[0])
    except OSError:
        return "unknown"
