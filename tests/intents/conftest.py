"""Intents services of several instances over one in-memory log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.core import requests
from goldcresthall.core import settings
from goldcresthall.intents import service
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from tests.fakes import clock as clocks
from tests.fakes import instances
from tests.fakes import log as logs
from tests.fakes import stepped_replica as replicas

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

DEADLINE_S = 2.0


class FakeInstance:
    """The intents service of one instance, with a replica that the test advances."""

    def __init__(
        self,
        name: str,
        log: logs.InMemoryLog,
        clock: clocks.ManualClock,
        remembered_limit: int = 1_000_000,
    ) -> None:
        self.clock = clock
        self.replica = replicas.SteppedReplica(log, clock)
        self.writer = replicas.SteppedWriter(log)
        self._kernel = kernel.Kernel()
        self._kernel.register(names.CLOCK, clock)
        self._kernel.register(names.REPLICA, self.replica)
        self._kernel.register(names.LOG_WRITER, self.writer)
        self._kernel.register(names.INSTANCE_LIST, instances.SettableInstanceList())
        incarnation = identity.Incarnation.create(name)
        self.service = service.Intents(
            self._kernel, incarnation, settings.IntentSettings(remembered_limit=remembered_limit)
        )
        self._kernel.register(names.INTENTS, self.service)
        self._kernel.start()

    def stop(self) -> None:
        """Stop the tasks of the service."""
        self._kernel.stop()

    def create_key(self) -> str:
        """Return a new key, issued at this instance's replay offset as by a caller."""
        return f"{self.replica.state.next_offset}.{identity.create_record_id()}"

    def run(
        self, key: str, attempt: Callable[[], outcomes.Outcome], body: bytes = b"order"
    ) -> outcomes.Outcome:
        """Run a request with an idempotency key."""
        now_s = self.clock.read_s()
        request = requests.Request(
            request_id=identity.create_record_id(),
            service="ordering",
            method="POST",
            path="/orders",
            idempotency_key=key,
            body=body,
            received_at_s=now_s,
        )
        return self.service.run_once(request, now_s + DEADLINE_S, attempt)


@pytest.fixture
def log() -> logs.InMemoryLog:
    """Return an empty log."""
    return logs.InMemoryLog()


@pytest.fixture
def pair(log: logs.InMemoryLog) -> Iterator[tuple[FakeInstance, FakeInstance]]:
    """Yield two instances that follow the same log."""
    clock = clocks.ManualClock()
    first, second = FakeInstance("router-1", log, clock), FakeInstance("router-2", log, clock)
    yield first, second
    first.stop()
    second.stop()


def answer(body: bytes = b"done") -> outcomes.Answered:
    """Return a response of a backend server."""
    return outcomes.Answered(outcomes.Answer(201, (), body), "ordering-1")


def refuse() -> outcomes.Refused:
    """Return a refusal of a backend server."""
    return outcomes.Refused(
        outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "ordering-1", tries=1
    )


def lose_response() -> outcomes.OutcomeUnknown:
    """Return the outcome of a lost response."""
    return outcomes.OutcomeUnknown(
        outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "ordering-1"
    )
