"""What a lessor needs to do its work."""

from __future__ import annotations

import dataclasses

from goldcresthall.gateway import directory
from goldcresthall.kernel import clock
from goldcresthall.kernel import tasks
from goldcresthall.ranges import grants
from goldcresthall.store import client


@dataclasses.dataclass(frozen=True, slots=True)
class LessorContext:
    """The store, the servers, the directory and the clock of one instance."""

    store: client.StoreClient
    channel: grants.GrantChannel
    directory: directory.Directory
    clock: clock.Clock
    start_task: tasks.TaskStarter = tasks.start
