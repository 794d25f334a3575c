"""Runs an instance until the operating system asks it to end."""

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

NOT_READY_PAUSE_S = 1.0
ENDING_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})


def run_until_signalled(instance: factory.Instance) -> None:
    """Start an instance and stop it cleanly at SIGTERM or SIGINT.

    It reports itself as not ready first, so that a balancer sends nothing new, and
    tells callers on open connections to close them. Only then the kernel stops the
    services, the callers' front end first, which finishes all requests in progress.

    The signals are blocked in all threads and awaited in this one: a handler would
    run only when the main thread wakes, which a process that was paused may not do.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    instance.kernel.start()
    logging.info("instance %s started", instance.incarnation)
    signal.sigwait(ENDING_SIGNALS)
    logging.info("instance %s leaving", instance.incarnation)
    instance.kernel.find(names.ADMIN, admin_server.AdminServer).start_draining()
    instance.kernel.find(names.CALLERS, caller_frontend.WsgiFrontend).start_draining()
    time.sleep(NOT_READY_PAUSE_S)
    instance.kernel.stop()
    logging.info("instance %s ended", instance.incarnation)
