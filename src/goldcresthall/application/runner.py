"""Runs an instance until a signal stops it."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.admin import server as admin_server
from goldcresthall.callers import wsgi_frontend as caller_frontend
from goldcresthall.kernel import names

if TYPE_CHECKING:
    from goldcresthall.application import factory

UNREADY_DETECTION_S = 1.0  # a load balancer in front may send new requests for this long
STOP_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})


def run_until_signalled(instance: factory.Instance) -> None:
    """Start an instance and stop it cleanly at SIGTERM or SIGINT.

    It first reports itself as not ready, so that a load balancer sends no new requests,
    and asks callers to close open connections. Then the kernel stops the services,
    beginning with the callers' front end, which completes all requests in progress.

    The signals are blocked in all threads and awaited in this one: a signal handler runs
    only when the main thread wakes, which may not happen in a process that was paused.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    instance.kernel.start()
    logging.info("instance %s started", instance.incarnation)
    signal.sigwait(STOP_SIGNALS)
    logging.info("instance %s draining", instance.incarnation)
    instance.kernel.find(names.ADMIN, admin_server.AdminServer).start_draining()
    instance.kernel.find(names.CALLERS, caller_frontend.WsgiFrontend).start_draining()
    time.sleep(UNREADY_DETECTION_S)
    instance.kernel.stop()
    logging.info("instance %s stopped", instance.incarnation)
