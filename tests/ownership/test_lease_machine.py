"""Stateful test: random schedules of pauses, broken links, delays, restarts and moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.ownership import planned_moves
from tests.fakes import lease_simulation

if TYPE_CHECKING:
    from goldcresthall.core import leases

EXAMPLE_COUNT = 60
STEP_COUNT = 16
RESUME_ROUNDS = 3
DURATIONS_S = strategies.sampled_from((0.1, 0.4, 1.2, 4.0))
INSTANCES = ("router-1", "router-2", "router-3")
SERVERS = ("archive-1", "archive-2")
INDEXES = strategies.integers(0, 7)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Checks that no two servers hold a partition and no old lessor exceeds its authority."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation: lease_simulation.LeaseSimulation | None = None
        self.work: list[tuple[str, leases.Grant]] = []

    @stateful.initialize(seed=strategies.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.simulation = lease_simulation.create_simulation(seed, len(INSTANCES), len(SERVERS))
        self.simulation.run_for(1.5)

    def teardown(self) -> None:
        if self.simulation is not None:
            self.simulation.end()

    @stateful.invariant()
    def check(self) -> None:
        if self.simulation is not None:
            self.simulation.check()

    def reset_failures(self) -> None:
        self.simulation.broken_links.clear()
        self.simulation.frozen.clear()
        self.simulation.run_for(0.8)

    @stateful.rule(seconds=DURATIONS_S)
    def run_for(self, seconds: float) -> None:
        self.simulation.run_for(seconds)

    @stateful.rule(name=strategies.sampled_from(INSTANCES + SERVERS), seconds=DURATIONS_S)
    def freeze(self, name: str, seconds: float) -> None:
        self.simulation.frozen.add(name)
        self.simulation.run_for(seconds)

    @stateful.rule(
        server=strategies.sampled_from(SERVERS),
        with_lessor=strategies.booleans(),
        seconds=DURATIONS_S,
    )
    def freeze_server(self, server: str, with_lessor: bool, seconds: float) -> None:
        self.simulation.frozen.add(server)
        if with_lessor and server in self.simulation.state.servers:
            self.simulation.frozen.add(self.simulation.find_lessor(server))
        self.simulation.run_for(seconds)

    @stateful.rule(name=strategies.sampled_from(SERVERS))
    def resume_server(self, name: str) -> None:
        for call in [call for call in self.simulation.calls if call.server == name]:
            if call.report is None:
                self.simulation.deliver_request(call)
                self.simulation.check()
        self.simulation.frozen.discard(name)

    @stateful.rule(name=strategies.sampled_from(INSTANCES), reads_first=strategies.booleans())
    def resume_instance(self, name: str, reads_first: bool) -> None:
        if reads_first:
            self.simulation.instances[name].replica.begin_read()
            self.simulation.instances[name].replica.finish_read()
        for _ in range(RESUME_ROUNDS):
            for call in [call for call in self.simulation.calls if call.instance == name]:
                if call.report is None:
                    self.simulation.deliver_request(call)
                self.simulation.deliver_response(call)
            for actor in self.simulation.instances[name].actors.values():
                self.simulation.run_actor(actor)
            self.simulation.check()
        self.simulation.frozen.discard(name)

    @stateful.rule(
        instance=strategies.sampled_from(INSTANCES),
        other=strategies.sampled_from((*SERVERS, "log")),
        seconds=DURATIONS_S,
    )
    def break_link(self, instance: str, other: str, seconds: float) -> None:
        self.simulation.broken_links.add((instance, other))
        self.simulation.run_for(seconds)

    @stateful.rule()
    def restore_links(self) -> None:
        self.simulation.broken_links.clear()

    @stateful.rule(
        server=strategies.sampled_from(SERVERS), instance=strategies.sampled_from(INSTANCES)
    )
    def appoint(self, server: str, instance: str) -> None:
        self.simulation.appoint(server, instance)

    @stateful.rule(
        server=strategies.sampled_from(SERVERS),
        instance=strategies.sampled_from(INSTANCES),
        reports_first=strategies.booleans(),
        restarts=strategies.booleans(),
    )
    def appoint_with_old_lessor_disconnected(
        self, server: str, instance: str, reports_first: bool, restarts: bool
    ) -> None:
        self.reset_failures()
        lessor = self.simulation.find_lessor(server)
        self.simulation.broken_links.add((lessor, "log"))
        self.simulation.appoint(server, instance)
        if reports_first:
            self.simulation.run_for(0.3)
        self.simulation.broken_links |= {(name, server) for name in INSTANCES if name != lessor}
        if restarts:
            self.restart_server(server)
        self.simulation.run_for(2.2)

    @stateful.rule(server=strategies.sampled_from(SERVERS), seconds=DURATIONS_S)
    def lose_server_during_log_outage(self, server: str, seconds: float) -> None:
        self.reset_failures()
        self.simulation.frozen.add(server)
        self.simulation.run_for(0.2)
        self.simulation.broken_links |= {(name, "log") for name in INSTANCES}
        self.simulation.run_for(0.8)
        self.simulation.frozen.discard(server)
        self.simulation.run_for(seconds)
        self.simulation.broken_links.clear()
        self.simulation.run_for(0.2)

    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def drain_with_running_work(self, server: str) -> None:
        for grant in sorted(
            self.simulation.lease_holders[server]._granted, key=lambda item: item.partition
        ):
            if self.simulation.lease_holders[server].begin(grant):
                self.work.append((server, grant))
        self.simulation.publish(self.simulation.list_servers(server))
        self.simulation.run_for(0.4)

    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def restart_server(self, server: str) -> None:
        self.simulation.frozen.discard(server)
        self.work = [item for item in self.work if item[0] != server]
        self.simulation.restart_server(server)

    @stateful.rule(index=INDEXES)
    def deliver_request_late(self, index: int) -> None:
        waiting = [call for call in self.simulation.calls if call.report is None]
        if waiting:
            self.simulation.deliver_request(waiting[index % len(waiting)])

    @stateful.rule(index=INDEXES)
    def deliver_response_late(self, index: int) -> None:
        waiting = [call for call in self.simulation.calls if call.report is not None]
        if waiting:
            self.simulation.deliver_response(waiting[index % len(waiting)])

    @stateful.rule(index=INDEXES)
    def run_one_actor(self, index: int) -> None:
        runnable = [
            actor
            for instance in self.simulation.instances.values()
            for actor in instance.actors.values()
            if actor.is_runnable
        ]
        if runnable:
            self.simulation.run_actor(runnable[index % len(runnable)])

    @stateful.rule(name=strategies.sampled_from(INSTANCES))
    def begin_read(self, name: str) -> None:
        self.simulation.instances[name].replica.begin_read()

    @stateful.rule(name=strategies.sampled_from(INSTANCES))
    def finish_read(self, name: str) -> None:
        self.simulation.instances[name].replica.finish_read()

    @stateful.rule(index=INDEXES, is_lost=strategies.booleans())
    def append_late(self, index: int, is_lost: bool) -> None:
        if self.simulation.outbox:
            _, record = self.simulation.outbox.pop(index % len(self.simulation.outbox))
            if not is_lost:
                self.simulation.append(record)

    @stateful.rule(server=strategies.sampled_from(SERVERS), index=INDEXES)
    def begin_work(self, server: str, index: int) -> None:
        granted = sorted(
            self.simulation.lease_holders[server]._granted, key=lambda grant: grant.partition
        )
        if granted:
            grant = granted[index % len(granted)]
            if self.simulation.lease_holders[server].begin(grant):
                self.work.append((server, grant))

    @stateful.rule()
    def end_work(self) -> None:
        if self.work:
            server, grant = self.work.pop(0)
            self.simulation.lease_holders[server].end(grant)

    @stateful.rule()
    def end_draining(self) -> None:
        self.simulation.publish(self.simulation.list_servers())

    @stateful.rule(index=INDEXES, server=strategies.sampled_from(SERVERS))
    def request_move(self, index: int, server: str) -> None:
        partitions = sorted(self.simulation.state.partitions, key=lambda item: item.number)
        request = planned_moves.MoveRequest(partitions[index % len(partitions)], server, "test")
        for instance in self.simulation.instances.values():
            instance.planned.submit(request)


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLE_COUNT, stateful_step_count=STEP_COUNT
)
TestLeases = LeaseMachine.TestCase
