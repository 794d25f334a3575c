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
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, clock.MonotonicClock())
    service_kernel.register(names.METRICS, metrics.Metrics())
    service_kernel.register(names.LOG_CLIENT, client)
    service_kernel.register(
        names.LOG_WRITER, writer.LogWriter.from_config(service_kernel, PLATFORM)
    )
    service_kernel.register(
        names.REPLICA, log_replica.LogReplica.from_config(service_kernel, PLATFORM)
    )
    return service_kernel


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
        service_kernel = build_replica(memory_log)
        service_kernel.start()
        started.append(service_kernel)
        return service_kernel

    yield start
    for service_kernel in started:
        service_kernel.stop()
