"""Runs an instance of a deployment until the platform asks it to end."""

from __future__ import annotations

import os
import signal
import sys
import threading
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.callers import pipelined_frontend
from goldcresthall.gateway import gateway
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.observability import decisions
from goldcresthall.ranges import election

if TYPE_CHECKING:
    from goldcresthall.application import deployment_factory

ENDING_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})
AWAITED_SIGNALS: Final = ENDING_SIGNALS | {signal.SIGHUP}
BALANCER_NOTICE_S = 2.3
END_MARGIN_S = 0.7
LAST_ANSWER_MARGIN_S = 0.85
LINGER_S = 0.2


def run_until_signalled(instance: deployment_factory.DeploymentInstance) -> None:
    """Start an instance and stop it cleanly at SIGTERM or SIGINT.

    It goes on to serve while the balancer learns that it is not ready, then closes
    connections as they become idle, and ends when all are closed or before the
    platform kills it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, AWAITED_SIGNALS)
    instance.kernel.start()
    logging.info("instance %s started", instance.incarnation)
    while signal.sigwait(AWAITED_SIGNALS) not in ENDING_SIGNALS:
        logging.info("settings may have changed; none of them can change in a running process")
    logging.info("instance %s leaving", instance.incarnation)
    _leave(instance)
    logging.info("instance %s ended", instance.incarnation)
    sys.stdout.flush()
    # Threads of the HTTP library would hold the process until it is killed.
    os._exit(0)


def _leave(instance: deployment_factory.DeploymentInstance) -> None:
    front = instance.kernel.find(names.CALLERS, pipelined_frontend.PipelinedFrontend)
    following = instance.kernel.find(names.REPORTS, election.Election)
    instance.readiness.start_draining()
    front.start_draining()
    serving = instance.kernel.find(names.GATEWAY, gateway.Gateway)
    serving.start_draining(instance.settings.grace_s - LAST_ANSWER_MARGIN_S)
    handing_over = threading.Thread(target=following.resign, name="hand-over", daemon=True)
    handing_over.start()
    never = tasks.StopSignal()
    never.wait(BALANCER_NOTICE_S)
    front.stop_accepting()
    front.close_when_idle(never, instance.settings.grace_s - BALANCER_NOTICE_S - END_MARGIN_S)
    # Closing at once could reset connections whose last answer is on its way.
    never.wait(LINGER_S)
    handing_over.join(LINGER_S)
    instance.kernel.find(names.REQUEST_LOG, decisions.DecisionLog).stop()
