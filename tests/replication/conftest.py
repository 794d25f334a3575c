"""Fixtures for replication: replicas over one in-memory log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import settings
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.replication import log_replica
from goldcresthall.replication import writer
from tests.fakes import log

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from goldcresthall.log_service import log_client

ADDRESS = identity.Address("127.0.0.1", 1)
PLATFORM = settings.PlatformSettings(log=ADDRESS, instance_list=ADDRESS, long_poll_ms=50)


def build_replica(client: log_client.LogClient) -> kernel.Kernel:
    """Return a kernel, not yet started, with a replica and the services that it uses."""
    built = kernel.Kernel()
    built.register(names.CLOCK, clock.MonotonicClock())
    built.register(names.METRICS, metrics.Metrics())
    built.register(names.LOG_CLIENT, client)
    built.register(names.LOG_WRITER, writer.LogWriter.from_config(built, PLATFORM))
    built.register(names.REPLICA, log_replica.LogReplica.from_config(built, PLATFORM))
    return built


@pytest.fixture
def memory_log() -> log.InMemoryLog:
    """Return an empty log."""
    return log.InMemoryLog()


@pytest.fixture
def start_replica(
    memory_log: log.InMemoryLog,
) -> Iterator[Callable[[], kernel.Kernel]]:
    """Return a function that starts another replica over the same log."""
    started: list[kernel.Kernel] = []

    def start() -> kernel.Kernel:
        built = build_replica(memory_log)
        built.start()
        started.append(built)
        return built

    yield start
    for built in started:
        built.stop()
