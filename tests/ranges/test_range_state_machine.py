"""Stateful test of range leases: delayed and lost commands, restarts and lessor takeovers.

The store comes back from a copy at any moment, also one from before the first takeover.

After each step, no key may be held by two servers.
"""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.gateway import evacuations
from goldcresthall.ranges import grants
from goldcresthall.ranges import membership
from goldcresthall.ranges import range_leases
from tests.fakes import range_simulation

INDEXES = strategies.integers(0, 3)
COPIES = strategies.sampled_from(
    (
        None,
        grants.CommandRejected("status 503"),
        grants.CommandMisdirected("status 421"),
        grants.StaleFence("status 409"),
    )
)


class RangeMachine(stateful.RuleBasedStateMachine):
    """Two instances and four servers under store, network and process failures."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = range_simulation.RangeSimulation()
        self.position = 0
        limited = range_simulation.limit_cold_servers(5.0)
        for instance in self.simulation.instances:
            instance.directory.configurations.apply(limited)
        self.simulation.instances[0].take_over()
        self.simulation.advance(membership.STABILIZATION_WINDOW_S + 0.5)

    @stateful.rule(tenths=strategies.integers(1, 40))
    def advance(self, tenths: int) -> None:
        self.simulation.advance(tenths / 10)

    @stateful.rule(number=strategies.integers(0, 1))
    def take_over(self, number: int) -> None:
        self.simulation.instances[number].take_over()

    @stateful.rule(number=strategies.integers(0, 1), is_down=strategies.booleans())
    def change_store(self, number: int, is_down: bool) -> None:
        self.simulation.instances[number].store.is_down = is_down

    @stateful.rule(number=strategies.integers(0, 1), drops=strategies.booleans())
    def drop_responses(self, number: int, drops: bool) -> None:
        self.simulation.instances[number].store.drops_responses = drops

    @stateful.rule()
    def copy_store(self) -> None:
        self.simulation.store.copy()

    @stateful.rule()
    def restore_store(self) -> None:
        self.simulation.store.restore()

    @stateful.rule(number=strategies.integers(0, 1), delays=strategies.booleans())
    def delay_writes(self, number: int, delays: bool) -> None:
        self.simulation.instances[number].store.delays_writes = delays

    @stateful.rule(number=strategies.integers(0, 1))
    def deliver_writes(self, number: int) -> None:
        self.simulation.instances[number].store.deliver_writes()

    @stateful.rule(number=strategies.integers(0, 1))
    def query_predecessors(self, number: int) -> None:
        self.simulation.instances[number].query_predecessors()

    @stateful.rule(number=strategies.integers(0, 1), delays=strategies.booleans())
    def delay_grants(self, number: int, delays: bool) -> None:
        self.simulation.instances[number].channel.delays_grants = delays

    @stateful.rule()
    def deliver_delayed_grants(self) -> None:
        self.simulation.deliver_delayed_grants()

    @stateful.rule(
        number=strategies.integers(0, 1), index=INDEXES, is_partitioned=strategies.booleans()
    )
    def partition(self, number: int, index: int, is_partitioned: bool) -> None:
        unreachable = self.simulation.instances[number].channel.unreachable
        name = f"server-{index}"
        unreachable.add(name) if is_partitioned else unreachable.discard(name)

    @stateful.rule(number=strategies.integers(0, 1), index=INDEXES, copied=COPIES)
    def copy_responses(self, number: int, index: int, copied: grants.CommandOutcome | None) -> None:
        channel = self.simulation.instances[number].channel
        if copied is None:
            channel.copied.pop(f"server-{index}", None)
        else:
            channel.copied[f"server-{index}"] = copied

    @stateful.rule(
        number=strategies.integers(0, 1), index=INDEXES, acknowledges_early=strategies.booleans()
    )
    def acknowledge_early(self, number: int, index: int, acknowledges_early: bool) -> None:
        early = self.simulation.instances[number].channel.acknowledges_early
        name = f"server-{index}"
        early.add(name) if acknowledges_early else early.discard(name)

    @stateful.rule(
        number=strategies.integers(0, 1), index=INDEXES, is_rejecting=strategies.booleans()
    )
    def reject_connections(self, number: int, index: int, is_rejecting: bool) -> None:
        rejecting = self.simulation.instances[number].channel.rejects_connections
        name = f"server-{index}"
        rejecting.add(name) if is_rejecting else rejecting.discard(name)

    @stateful.rule(number=strategies.integers(0, 1), sees_changes=strategies.booleans())
    def hide_servers(self, number: int, sees_changes: bool) -> None:
        self.simulation.instances[number].sees_changes = sees_changes
        self.simulation.update_directories()

    @stateful.rule(number=strategies.integers(0, 1), is_frozen=strategies.booleans())
    def freeze(self, number: int, is_frozen: bool) -> None:
        self.simulation.instances[number].is_frozen = is_frozen

    @stateful.rule(index=INDEXES, registers=strategies.booleans())
    def restart_server(self, index: int, registers: bool) -> None:
        self.simulation.start_server(f"server-{index}", registers=registers)

    @stateful.rule(index=INDEXES, draining=strategies.booleans())
    def drain(self, index: int, draining: bool) -> None:
        for incarnation, server in list(self.simulation.servers.items()):
            if incarnation.name == f"server-{index}" and server.is_up:
                self.simulation.register_server(incarnation, draining=draining)

    @stateful.rule(index=INDEXES, warm_up_s=strategies.sampled_from((0.0, 3.0, 12.0)))
    def turn_cold(self, index: int, warm_up_s: float) -> None:
        for incarnation, server in list(self.simulation.servers.items()):
            if incarnation.name == f"server-{index}" and server.is_up:
                self.simulation.register_server(incarnation, warm_up_s=warm_up_s)

    @stateful.rule(
        number=strategies.integers(0, 1),
        failure_domains=strategies.frozensets(strategies.sampled_from(("odd", "even"))),
    )
    def evacuate(self, number: int, failure_domains: frozenset[str]) -> None:
        self.position += 1
        self.simulation.instances[number].directory.apply_evacuations(
            evacuations.EvacuatedDomains(self.position, failure_domains)
        )

    @stateful.rule(index=INDEXES)
    def deregister(self, index: int) -> None:
        for incarnation, server in list(self.simulation.servers.items()):
            if incarnation.name == f"server-{index}" and server.is_up:
                self.simulation.deregister_server(incarnation)

    @stateful.rule(
        number=strategies.integers(0, 1),
        first=strategies.integers(0, 65_000),
        count=strategies.integers(1, 200),
    )
    def count_requests(self, number: int, first: int, count: int) -> None:
        keys = tuple(min(65_535, first + index) for index in range(count))
        self.simulation.count_requests(self.simulation.instances[number], keys)

    @stateful.invariant()
    def check_single_holder(self) -> None:
        self.simulation.check_single_holder()


TestRangeMachine = RangeMachine.TestCase
TestRangeMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)


def find_violation() -> None:
    stateful.run_state_machine_as_test(  # type: ignore[no-untyped-call]
        RangeMachine,
        settings=hypothesis.settings(
            max_examples=400,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            # Skips shrinking: any violation is sufficient here.
            phases=(hypothesis.Phase.generate,),
        ),
    )


def test_two_servers_hold_a_key_without_the_wait_for_lease_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def expire_at_once(self: Any, lease_s: float, predecessors_end_s: float) -> float:
        return float("-inf")

    monkeypatch.setattr(range_leases.RangeLease, "find_expiry_s", expire_at_once)
    with pytest.raises(AssertionError, match="is held by"):
        find_violation()
