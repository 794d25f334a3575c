"""Runs an instance until the operating system asks it to end."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.admin import front as admin_front
from goldcresthall.kernel import names

if TYPE_CHECKING:
    from goldcresthall.application import factory

NOT_READY_PAUSE_S = 1.0


def run_until_signalled(instance: factory.Instance) -> None:
    """Start an instance and stop it cleanly at SIGTERM or SIGINT.

    It reports itself as not ready first, so that a balancer sends nothing new,
    then finishes all requests in progress.
    """
    ending = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ending.set())
    instance.kernel.start()
    logging.info("instance %s started", instance.incarnation)
    ending.wait()
    logging.info("instance %s leaving", instance.incarnation)
    instance.kernel.find(names.ADMIN, admin_front.AdminFront).mark_leaving()
    threading.Event().wait(NOT_READY_PAUSE_S)
    instance.kernel.stop()
    logging.info("instance %s ended", instance.incarnation)
