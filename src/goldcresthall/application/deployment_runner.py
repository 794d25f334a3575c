"""Runs an instance of a deployment until the platform stops it."""

from __future__ import annotations

import os
import signal
import threading
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.callers import pipelined_frontend
from goldcresthall.gateway import gateway
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.observability import decisions
from goldcresthall.observability import log_writer
from goldcresthall.observability import logs
from goldcresthall.ranges import election

if TYPE_CHECKING:
    from goldcresthall.application import deployment_factory

STOP_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})
AWAITED_SIGNALS: Final = STOP_SIGNALS | {signal.SIGHUP}
UNREADY_DETECTION_S = 2.3  # the platform's load balancer may send new requests for this long
EXIT_MARGIN_S = 0.7  # left of the grace period when the wait for idle connections ends
LAST_RESPONSE_MARGIN_S = 0.85  # left of the grace period at the latest request deadline
FINAL_LINGER_S = 0.2


def run_until_signalled(instance: deployment_factory.DeploymentInstance) -> None:
    """Start an instance and stop it cleanly at SIGTERM or SIGINT.

    It continues to serve until the load balancer has detected that it is not ready, then
    closes connections as they become idle, and exits when all are closed or shortly
    before the platform kills it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, AWAITED_SIGNALS)
    instance.kernel.start()
    logging.info("instance %s started", instance.incarnation)
    while signal.sigwait(AWAITED_SIGNALS) not in STOP_SIGNALS:
        logging.info("ignoring SIGHUP: settings cannot be changed in a running process")
    logging.info("instance %s draining", instance.incarnation)
    _drain(instance)
    logging.info("instance %s stopped", instance.incarnation)
    log_writer.flush_all(logs.FLUSH_TIMEOUT_S)
    # Threads of the HTTP library would keep the process alive until it is killed.
    os._exit(0)


def _drain(instance: deployment_factory.DeploymentInstance) -> None:
    caller_frontend = instance.kernel.find(names.CALLERS, pipelined_frontend.PipelinedFrontend)
    election_service = instance.kernel.find(names.REPORTS, election.Election)
    instance.readiness.start_draining()
    caller_frontend.start_draining()
    gateway_service = instance.kernel.find(names.GATEWAY, gateway.Gateway)
    gateway_service.start_draining(instance.settings.grace_s - LAST_RESPONSE_MARGIN_S)
    unset_signal = tasks.StopSignal()
    handover = threading.Thread(
        target=election_service.resign, args=(unset_signal,), name="hand-over", daemon=True
    )
    handover.start()
    unset_signal.wait(UNREADY_DETECTION_S)
    caller_frontend.stop_accepting()
    caller_frontend.close_when_idle(
        unset_signal, instance.settings.grace_s - UNREADY_DETECTION_S - EXIT_MARGIN_S
    )
    # Exiting at once could reset connections whose last response is in flight.
    unset_signal.wait(FINAL_LINGER_S)
    handover.join(FINAL_LINGER_S)
    instance.kernel.find(names.REQUEST_LOG, decisions.DecisionLog).stop()
