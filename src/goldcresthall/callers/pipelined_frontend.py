"""Front end of a deployment with HTTP pipelining: one task for each connection."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.callers import connection_limit
from goldcresthall.callers import connections
from goldcresthall.callers import exceptions
from goldcresthall.callers import refusals
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.gateway import directory
from goldcresthall.gateway import gateway
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.memory import ledger
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.callers import codec
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel

LISTEN_BACKLOG = 512
IDLE_CHECK_INTERVAL_S = 0.05
# Connections that were closed to make room still count until their task has ended.
ACCEPTED_OVER_LIMIT = 1 / 8


class PipelinedFrontend(service.Service):
    """Accepts callers' connections, handles pipelined requests and responds in order."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
        caller_codec: codec.CallerCodec,
    ) -> None:
        self._kernel = service_kernel
        self._address = instance_settings.listen.callers
        self._codec = caller_codec
        self._max_connections = instance_settings.machine.max_caller_connections
        self._refusals = refusals.RefusalLog()
        self._lock = threading.Lock()
        self._connections: set[connections.CallerConnection] = set()
        self._is_draining = False
        self._task = tasks.LoopTask("callers", self._run)

    def start(self) -> None:
        """Listen and start serving."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._gateway = self._kernel.find(names.GATEWAY, gateway.Gateway)
        self._memory = self._kernel.find(names.MEMORY, ledger.MemoryLedger)
        self._refusals.register(self._kernel.find(names.METRICS, metrics.Metrics).registry)
        self._listener = socket.create_server(
            (self._address.host, self._address.port), backlog=LISTEN_BACKLOG
        )
        self._task.start()

    def stop(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.stop_accepting()
        with self._lock:
            remaining = tuple(self._connections)
        for connection in remaining:
            connection.close_idle()

    def start_draining(self) -> None:
        """Close each caller's connection after its last pending response or its next one."""
        with self._lock:
            self._is_draining = True
            for connection in self._connections:
                connection.start_draining()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self._task.request_stop()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def close_when_idle(self, stop_signal: tasks.StopSignal, timeout_s: float) -> bool:
        """Close connections as they become idle.

        Returns
        -------
        bool
            Whether all are closed within `timeout_s` seconds.
        """
        ends_at_s = self._clock.read_s() + timeout_s
        while True:
            with self._lock:
                remaining = tuple(self._connections)
            # A list, so that every idle connection is closed: one left open could accept a
            # request too late to finish it.
            closed = [connection.close_idle() for connection in remaining]
            if all(closed):
                return True
            if self._clock.read_s() >= ends_at_s:
                logging.warning("%d connections still open at the drain deadline", len(remaining))
                return False
            stop_signal.wait(IDLE_CHECK_INTERVAL_S)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            try:
                accepted, _ = self._listener.accept()
            except OSError as error:
                if not stop_signal.is_set:
                    logging.warning("accepting a connection failed, step accept: %s", error)
                    stop_signal.wait(IDLE_CHECK_INTERVAL_S)
                continue
            self._add_connection(accepted)

    def _add_connection(self, accepted: socket.socket) -> None:
        if not self._make_room():
            accepted.close()
            self._refusals.count(refusals.Reason.CONNECTION_LIMIT, "all connections are in use")
            return
        connection = connections.CallerConnection(accepted, self._memory, self._refusals)
        with self._lock:
            self._connections.add(connection)
            if self._is_draining:
                connection.start_draining()
        try:
            tasks.Task("caller", lambda _: self._serve(connection)).start()
        except RuntimeError as error:
            self._remove_connection(connection)
            self._refusals.count(refusals.Reason.CONNECTION_LIMIT, f"step accept: {error}")

    def _make_room(self) -> bool:
        """Close another connection at the limit; return whether one more may be accepted."""
        with self._lock:
            if len(self._connections) < self._max_connections:
                return True
            open_connections = tuple(self._connections)
        if len(open_connections) >= self._max_connections * (1 + ACCEPTED_OVER_LIMIT):
            return False
        chosen = connection_limit.choose((each, each.activity) for each in open_connections)
        if chosen is None or not chosen.close_unused():
            return False
        self._refusals.count(
            refusals.Reason.CONNECTION_REPLACED, f"{len(open_connections)} connections are open"
        )
        return True

    def _serve(self, connection: connections.CallerConnection) -> None:
        try:
            while True:
                received = connection.receive(self._find_limits())
                has_more = received.has_more
                self._start_request(connection, received)
                # Otherwise an idle connection would keep the body of its last request.
                del received
                if not has_more:
                    connection.await_responses()
                    return
        except exceptions.BadRequestError as error:
            connection.reject(error)
            connection.await_responses()
        except exceptions.ConnectionDrainingError:
            connection.await_responses()
        except exceptions.CallerDisconnectedError:
            logging.debug("caller disconnected")
        finally:
            self._remove_connection(connection)

    def _remove_connection(self, connection: connections.CallerConnection) -> None:
        connection.abandon()
        with self._lock:
            self._connections.discard(connection)

    def _start_request(
        self, connection: connections.CallerConnection, received: connections.ReceivedRequest
    ) -> None:
        received_at_s = self._clock.read_s()
        # The task takes the request out, so that nothing else holds its body.
        waiting = [received]
        tasks.Task(
            "request", lambda _: self._handle(connection, waiting.pop(), received_at_s)
        ).start()

    def _handle(
        self,
        connection: connections.CallerConnection,
        received: connections.ReceivedRequest,
        received_at_s: float,
    ) -> None:
        pending = received.pending
        pending.response = self._create_response(received, received_at_s)
        del received
        connection.send_due()

    def _create_response(
        self, received: connections.ReceivedRequest, received_at_s: float
    ) -> codec.RawResponse:
        decoded = self._codec.decode(received.request, received_at_s)
        request_id = ""
        if isinstance(decoded, outcomes.Refused):
            outcome: outcomes.Outcome = decoded
        else:
            request_id = decoded.request_id
            try:
                outcome = self._gateway.handle(decoded, received.pending.cancelled)
            except Exception as error:
                logging.exception("request %s failed", request_id)
                outcome = outcomes.OutcomeUnknown(
                    outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.SEND, "", str(error)
                )
        return self._codec.encode(outcome, request_id)

    def _find_limits(self) -> deployment.CallerLimits:
        configuration = self._directory.configuration
        return deployment.CallerLimits() if configuration is None else configuration.limits
