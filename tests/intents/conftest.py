"""Instances of the intents service over one log, without processes or tasks of a replica."""

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
    """One instance's intents service with its own lagging replica."""

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
        """End the service's tasks."""
        self._kernel.stop()

    def create_key(self) -> str:
        """Return a fresh key, as a caller makes it from an answer of this instance."""
        return f"{self.replica.state.next_offset}.{identity.create_record_id()}"

    def run(
        self, key: str, attempt: Callable[[], outcomes.Outcome], body: bytes = b"order"
    ) -> outcomes.Outcome:
        """Run a piece of work under a key."""
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
    """Yield two instances that follow one log."""
    clock = clocks.ManualClock()
    first, second = FakeInstance("router-1", log, clock), FakeInstance("router-2", log, clock)
    yield first, second
    first.stop()
    second.stop()


def answer(body: bytes = b"done") -> outcomes.Answered:
    """Return an answer of a backend server."""
    return outcomes.Answered(outcomes.Answer(201, (), body), "ordering-1")


def refuse() -> outcomes.Refused:
    """Return a refusal by a backend server."""
    return outcomes.Refused(
        outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "ordering-1", tries=1
    )


def lose() -> outcomes.OutcomeUnknown:
    """Return the loss of an answer."""
    return outcomes.OutcomeUnknown(
        outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "ordering-1"
    )
