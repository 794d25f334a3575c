"""Stateful test of what servers say in their responses, beside lists, relays and restarts.

A server that says that it is draining gets no request of a pool from then on, and none for its keys
after the drain time. One that asks for a pause gets none until the pause ends.
"""

from __future__ import annotations

import math
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import targets
from goldcresthall.ranges import owners
from tests.gateway import conftest

NAMES = ("one", "two", "three")
POOL = targets.PoolTarget("ledger")
KEY = targets.KeyTarget("ledger", 7)
DRAIN_S = 2.0
INDEXES = strategies.integers(0, len(NAMES) - 1)


class SignalMachine(stateful.RuleBasedStateMachine):
    """Three servers of a service and one instance that sends requests to them."""

    def __init__(self) -> None:
        super().__init__()
        self.fixture = conftest.create_gateway_fixture()
        self.started_ms = dict.fromkeys(NAMES, 1)
        self.listed_draining: set[deployment.ServerIncarnation] = set()
        self.said_draining_at_s: dict[deployment.ServerIncarnation, float] = {}
        self.paused_until_s: dict[deployment.ServerIncarnation, float] = {}
        self.position = 0
        self.term = 0
        self.generator = random.Random(1)
        self.read(frozenset())

    @stateful.rule(missing=strategies.frozensets(INDEXES, max_size=2))
    def read(self, missing: frozenset[int]) -> None:
        self.fixture.directory.apply_full_list(self.list_servers(missing), self.advance_list(1))

    @stateful.rule(
        missing=strategies.frozensets(INDEXES, max_size=2), step=strategies.integers(-2, 2)
    )
    def relay(self, missing: frozenset[int], step: int) -> None:
        self.fixture.directory.apply_relayed(self.list_servers(missing), self.advance_list(step))

    @stateful.rule(index=INDEXES)
    def relay_earlier_incarnation(self, index: int) -> None:
        late = conftest.create_server(
            NAMES[index], "ledger", started_ms=max(0, self.started_ms[NAMES[index]] - 1)
        )
        self.fixture.directory.apply_changes((late,), frozenset(), self.advance_list(1))

    @stateful.rule(
        index=INDEXES,
        is_draining=strategies.booleans(),
        pause_s=strategies.sampled_from([0.0, 0.0, 0.7, 3.0]),
        status=strategies.sampled_from([200, 503]),
    )
    def respond(self, index: int, is_draining: bool, pause_s: float, status: int) -> None:
        server = self.create_server(index)
        signals = attempts.ServerSignals(is_draining, 0.0, pause_s if status != 200 else 0.0)
        self.fixture.estimates.start_attempt(server)
        attempt: attempts.Attempt = attempts.AttemptAnswered(
            outcomes.Answer(status, (), b""), signals
        )
        self.fixture.estimates.finish_attempt(server, attempt)
        now_s = self.fixture.clock.read_s()
        if signals.pause_s:
            until_s = max(self.paused_until_s.get(server.incarnation, 0.0), now_s + pause_s)
            self.paused_until_s[server.incarnation] = until_s
        if is_draining:
            self.fixture.directory.record_draining(server.incarnation)
            self.said_draining_at_s.setdefault(server.incarnation, now_s)

    @stateful.rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.started_ms[NAMES[index]] += 1

    @stateful.rule(index=INDEXES)
    def assign_keys(self, index: int) -> None:
        self.term += 1
        whole = key_ranges.KeyRange(key_ranges.FIRST_KEY, key_ranges.LAST_KEY)
        owned = key_ranges.RangeOwner("ledger", whole, self.create_server(index).incarnation, True)
        self.fixture.owners.apply(owners.OwnersView(self.term, 0, (owned,)))

    @stateful.rule(tenths=strategies.integers(1, 30))
    def advance(self, tenths: int) -> None:
        self.fixture.clock.advance(tenths / 10)
        self.fixture.estimates.retain(self.fixture.directory.servers.incarnations)

    @stateful.invariant()
    def check_pool(self) -> None:
        for _ in range(4):
            found = self.fixture.finder.find(POOL, frozenset(), self.generator)
            if isinstance(found, deployment.RegisteredServer):
                assert found.incarnation not in self.said_draining_at_s
                self.check_pause(found)

    @stateful.invariant()
    def check_key(self) -> None:
        found = self.fixture.finder.find(KEY, frozenset(), self.generator)
        if isinstance(found, deployment.RegisteredServer):
            said_at_s = self.said_draining_at_s.get(found.incarnation, math.inf)
            assert self.fixture.clock.read_s() <= said_at_s + DRAIN_S
            self.check_pause(found)

    def check_pause(self, found: deployment.RegisteredServer) -> None:
        until_s = self.paused_until_s.get(found.incarnation, 0.0)
        assert self.fixture.clock.read_s() >= until_s

    def create_server(self, index: int) -> deployment.RegisteredServer:
        return conftest.create_server(
            NAMES[index], "ledger", started_ms=self.started_ms[NAMES[index]]
        )

    def list_servers(self, missing: frozenset[int]) -> tuple[deployment.RegisteredServer, ...]:
        present = (index for index in range(len(NAMES)) if index not in missing)
        return tuple(self.create_server(index) for index in present)

    def advance_list(self, step: int) -> server_lists.ListVersion:
        self.position = max(0, self.position + step)
        return server_lists.ListVersion(self.position, self.fixture.clock.read_s())


TestSignalMachine = SignalMachine.TestCase
TestSignalMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
