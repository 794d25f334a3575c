"""Services that a lessor depends on."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment_settings
from goldcresthall.gateway import directory
from goldcresthall.kernel import clock
from goldcresthall.kernel import tasks
from goldcresthall.ranges import grants
from goldcresthall.store import client


@dataclasses.dataclass(frozen=True, slots=True)
class LessorContext:
    """The services of one instance that its lessor uses.

    Attributes
    ----------
    channel
        Sends grants and releases to backend servers.
    start_task
        Starts a named background task; tests run some tasks inline instead.
    start_loop
        Starts a task that is started again after an exception.
    max_record_bytes
        Size in bytes of the largest record that the store takes.
    """

    store: client.StoreClient
    channel: grants.GrantChannel
    directory: directory.Directory
    clock: clock.Clock
    start_task: tasks.TaskStarter = tasks.start
    start_loop: tasks.TaskStarter = tasks.start_loop
    max_record_bytes: int = deployment_settings.DEFAULT_MAX_RECORD_BYTES
