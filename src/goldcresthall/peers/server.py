"""Peer server: one task per connection."""

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
from goldcresthall.replication import replica_metrics

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

IDLE_TIMEOUT_MS = 30_000
MAX_CONNECTIONS = 256


class PeerServer(service.Service):
    """Accepts peer connections on the configured address."""

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
        self._task = tasks.LoopTask("peer-server", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerServer:
        """Return the server configured by an instance's settings."""
        return cls(service_kernel, incarnation, instance_settings)

    @property
    def uptake_table(self) -> uptake_table.UptakeTable:
        """Table of the preset in force at each instance, forwarded to peers."""
        return self._uptake

    def start(self) -> None:
        """Listen and start accepting connections."""
        self._replica = self._kernel.find(names.REPLICA, log_replica.LogReplica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._metrics = peer_metrics.PeerMetrics(
            replica_metrics.find_registry(self._kernel), "server"
        )
        self._listener.listen()
        self._task.start()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._task.request_stop()
        self._close_listener()
        with self._lock:
            connections = dict(self._connections)
        for peer_socket in connections:
            peer_socket.close()
        self._task.stop()

    def _close_listener(self) -> None:
        # close() alone leaves a thread blocked in accept(); shutdown() wakes it.
        with contextlib.suppress(OSError):
            self._listener.handle.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            try:
                peer_socket = self._listener.accept()
            except OSError:
                return
            if peer_socket is not None:
                self._accept_connection(peer_socket)

    def _accept_connection(self, peer_socket: TSocket.TSocket) -> None:
        with self._lock:
            is_full = len(self._connections) >= MAX_CONNECTIONS
        if is_full:
            self._metrics.count_fault("accept", _find_address(peer_socket), "too_many_connections")
            peer_socket.close()
            return
        peer_socket.setTimeout(IDLE_TIMEOUT_MS)
        self._start_connection_task(peer_socket)

    def _start_connection_task(self, peer_socket: TSocket.TSocket) -> None:
        def run(_: tasks.StopSignal) -> None:
            self._serve_calls(peer_socket)

        task = tasks.Task("peer-connection", run)
        with self._lock:
            self._connections[peer_socket] = task
        task.start()

    def _create_handler(self, peer_socket: TSocket.TSocket) -> handler.PeerHandler:
        cursor = uptake_table.UptakeCursor(self._uptake, self._settings.peers.uptake_rows)
        return handler.PeerHandler(
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            log_replica=self._replica,
            listed_instances=self._list,
            monotonic_clock=self._clock,
            cursor=cursor,
            metrics=self._metrics,
            heat_counter=self._heat,
            peer_address=_find_address(peer_socket),
        )

    def _serve_calls(self, peer_socket: TSocket.TSocket) -> None:
        peer_handler = self._create_handler(peer_socket)
        processor = Peer.Processor(peer_handler)
        protocol = transport.create_protocol(peer_socket, self._metrics)
        try:
            while processor.process(protocol, protocol):
                pass
            self._report_decode_fault(peer_handler.peer, "unknown_call")
        except transport.FrameTooLargeError as error:
            self._report_decode_fault(peer_handler.peer, "frame_too_large", error)
        except (TTransport.TTransportException, OSError, EOFError):
            logging.debug("peer connection closed")
        except Exception as error:  # noqa: BLE001
            self._report_decode_fault(peer_handler.peer, "garbage", error)
        finally:
            peer_socket.close()
            with self._lock:
                self._connections.pop(peer_socket, None)

    def _report_decode_fault(self, peer: str, reason: str, error: Exception | None = None) -> None:
        self._metrics.count_fault("decode", peer, reason)
        logging.warning("peer %s: decode failed: %s: %s", peer, reason, error or "")


def _find_address(peer_socket: TSocket.TSocket) -> str:
    try:
        return str(peer_socket.handle.getpeername()[0])
    except OSError:
        return "unknown"
