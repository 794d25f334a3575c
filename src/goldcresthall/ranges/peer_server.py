"""Thrift server for calls between instances, with one task for each connection."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from absl import logging
from thrift.transport import TSocket
from thrift.transport import TTransport

from goldcresthall.generated.lessor import Lessor
from goldcresthall.generated.lessor import ttypes
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import transport
from goldcresthall.ranges import election
from goldcresthall.ranges import report_encoding

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.kernel import kernel

IDLE_TIMEOUT_MS = 10_000
MS_PER_S = 1_000
MAX_SILENCE_MS = 2**31 - 1


class ReportHandler:
    """Handles the calls on one peer connection."""

    def __init__(self, election_service: election.Election) -> None:
        self._election = election_service

    def report(self, report: ttypes.Report) -> ttypes.ReportReply:
        """Reply to a report."""
        reply = self._election.answer_report(report_encoding.decode_report(report))
        return report_encoding.encode_reply(reply)

    def ask_presence(self) -> ttypes.Presence:
        """Return this instance's incarnation and how long ago the lessor replied to it."""
        presence = self._election.describe_presence()
        return ttypes.Presence(
            presence.incarnation.name,
            presence.incarnation.token,
            min(MAX_SILENCE_MS, int(presence.lessor_silence_s * MS_PER_S)),
        )

    def stand_down(self, term: int, successor: ttypes.LessorAddress | None) -> bool:
        """Step down if `term` is later; return whether this instance sends no further grants."""
        return self._election.handle_step_down(term, report_encoding.decode_lessor(successor))


class ReportServer(service.Service):
    """Accepts connections from peers."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        address: identity.Address,
        metrics: peer_metrics.PeerMetrics,
    ) -> None:
        self._kernel = service_kernel
        self._metrics = metrics
        self._listener = TSocket.TServerSocket(address.host, address.port)
        self._lock = threading.Lock()
        self._connections: set[TSocket.TSocket] = set()
        self._task = tasks.LoopTask("report-server", self._run)

    def start(self) -> None:
        """Listen and start to accept connections."""
        self._election = self._kernel.find(names.REPORTS, election.Election)
        self._listener.listen()
        self._task.start()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._task.request_stop()
        with contextlib.suppress(OSError):
            self._listener.handle.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            remaining = tuple(self._connections)
        for accepted in remaining:
            accepted.close()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            try:
                accepted = self._listener.accept()
            except OSError as error:
                if not stop_signal.is_set:
                    logging.warning("peer connection not accepted, step accept: %s", error)
                    stop_signal.wait(0.1)
                continue
            if accepted is not None:
                accepted.setTimeout(IDLE_TIMEOUT_MS)
                self._serve(accepted)

    def _serve(self, accepted: TSocket.TSocket) -> None:
        with self._lock:
            self._connections.add(accepted)
        tasks.Task("report-connection", lambda _: self._serve_calls(accepted)).start()

    def _serve_calls(self, accepted: TSocket.TSocket) -> None:
        processor = Lessor.Processor(ReportHandler(self._election))
        protocol = transport.create_protocol(accepted, self._metrics)
        try:
            while processor.process(protocol, protocol):
                pass
            logging.warning("peer called an unknown method, step decode; closing the connection")
        except (TTransport.TTransportException, OSError, EOFError):
            logging.debug("peer connection closed")
        except transport.DECODE_ERRORS as error:
            logging.warning("peer connection closed, step decode: %s", error)
        finally:
            accepted.close()
            with self._lock:
                self._connections.discard(accepted)
