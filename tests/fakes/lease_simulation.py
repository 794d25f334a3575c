"""Simulation of lease managers, lease holders and a log with drifting clocks."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import lease_holder

from goldcresthall.backend import client
from goldcresthall.core import attempts
from goldcresthall.core import identity
from goldcresthall.core import leases
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.core import settings
from goldcresthall.encoding import log_entries
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics
from goldcresthall.ownership import counters
from goldcresthall.ownership import lease_context
from goldcresthall.ownership import lease_manager
from goldcresthall.ownership import lease_view
from goldcresthall.ownership import lessor_probe
from goldcresthall.ownership import placement
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import wakeup
from goldcresthall.peers import messages
from goldcresthall.replication import commits
from goldcresthall.replication import replay
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated
from tests.fakes import actors

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_S = 0.02
UNUSED_ADDRESS = identity.Address("127.0.0.1", 1)
LEASES = settings.LeaseSettings(authority_s=3)
SERVICE = "archive"


class DriftingClock(clock.Clock):
    """A clock with its own rate and offset relative to the simulated time."""

    def __init__(self, simulation: LeaseSimulation, rate: float, offset_s: float) -> None:
        self._simulation = simulation
        self._rate = rate
        self._offset_s = offset_s

    def read_s(self) -> float:
        """Return the clock reading in seconds."""
        return self._offset_s + self._simulation.now_s * self._rate


@dataclasses.dataclass(slots=True)
class LeaseCall:
    """A lease call in flight, with the server's report once there is one."""

    instance: str
    server: str
    renewal: leases.Renewal | None
    report: leases.LeaseReport | None = None
    is_answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A log read whose response has not been processed yet."""

    began_at_s: float
    end_offset: int


class SimulatedInstance:
    """A router instance over fake services, with one lease manager per server."""

    def __init__(
        self,
        simulation: LeaseSimulation,
        name: str,
        failure_domain: str,
        rate: float,
        offset_s: float,
    ) -> None:
        self.simulation = simulation
        self.incarnation = identity.Incarnation(name, f"token-of-{name}")
        self.clock = DriftingClock(simulation, rate, offset_s)
        self.replica = SimulatedReplica(self)
        self.planned = planned_moves.PlannedMoves(self.create_kernel(), self.incarnation)
        self.wakeups: list[SimulatedWakeup] = []
        self.actors: dict[str, actors.Actor] = {}
        self.lease_managers: dict[str, lease_manager.LeaseManager] = {}
        self.stop_signals: dict[str, tasks.StopSignal] = {}
        self.settings = settings.Settings(
            name=name,
            failure_domain=failure_domain,
            listen=settings.ListenSettings(
                callers=UNUSED_ADDRESS, peers=UNUSED_ADDRESS, admin=UNUSED_ADDRESS
            ),
            platform=settings.PlatformSettings(log=UNUSED_ADDRESS, instance_list=UNUSED_ADDRESS),
            leases=LEASES,
        )

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.incarnation.name

    def create_kernel(self) -> kernel.Kernel:
        """Return a kernel with the instance's services except the planned moves."""
        service_kernel = kernel.Kernel()
        service_kernel.register(names.CLOCK, self.clock)
        service_kernel.register(names.METRICS, metrics.Metrics())
        service_kernel.register(names.REPLICA, self.replica)
        service_kernel.register(names.BACKENDS, SimulatedBackendClient(self))
        service_kernel.register(names.INSTANCE_LIST, SimulatedInstanceList(self.simulation))
        service_kernel.register(names.LESSOR_PROBE, SimulatedLessorProbe(self))
        service_kernel.register(
            names.LEASE_COUNTERS, counters.LeaseCounters.from_config(service_kernel)
        )
        self.kernel = service_kernel
        return service_kernel

    def read_counter(self, name: str, **labels: str) -> float:
        """Return the value of a counter, or zero if it was never incremented."""
        registry = self.kernel.find(names.METRICS, metrics.Metrics).registry
        return registry.get_sample_value(f"goldcresthall_{name}_total", labels) or 0.0

    def start(self, server_names: tuple[str, ...]) -> None:
        """Start a lease manager for each server."""
        self.kernel.register(names.PLANNED_MOVES, self.planned)
        self.planned.start()
        for server in server_names:
            simulated_wakeup = SimulatedWakeup(self.simulation)
            self.wakeups.append(simulated_wakeup)
            context = lease_context.LeaseContext.from_config(
                self.kernel, self.incarnation, self.settings, server, simulated_wakeup
            )
            self.stop_signals[server] = tasks.StopSignal()
            self._start_lease_manager(server, lease_manager.LeaseManager(self.kernel, context))

    def _start_lease_manager(self, server: str, manager: lease_manager.LeaseManager) -> None:
        actor = actors.Actor(f"{self.name}/{server}", self.clock.read_s)
        self.actors[server] = actor
        self.lease_managers[server] = manager
        self.simulation.running = actor
        actor.start(lambda: manager.run(self.stop_signals[server]))


class SimulatedWakeup(wakeup.Wakeup):
    """Pauses the actor that waits."""

    def __init__(self, simulation: LeaseSimulation) -> None:
        super().__init__()
        self._simulation = simulation
        self._is_woken = False

    def wake(self) -> None:
        """End the current wait, or else the next one."""
        self._is_woken = True

    def wait(self, timeout_s: float) -> None:
        """Wait for `wake`, or at most `timeout_s` seconds."""
        self._simulation.pause(timeout_s, lambda: self._is_woken)
        self._is_woken = False


class SimulatedBackendClient(client.BackendClient):
    """Sends lease calls over the simulated network."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Raise an error; only lease calls are simulated."""
        raise NotImplementedError

    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Send a renewal and wait for the response."""
        return self._exchange(server.name, renewal, timeout_s)

    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Query the lease and wait for the response."""
        return self._exchange(server.name, None, timeout_s)

    def _exchange(
        self, server: str, renewal: leases.Renewal | None, timeout_s: float
    ) -> leases.LeaseOutcome:
        call = LeaseCall(self._instance.name, server, renewal)
        simulation = self._instance.simulation
        simulation.calls.append(call)
        simulation.pause(timeout_s, lambda: call.is_answered)
        if call.is_answered and call.report is not None:
            return call.report
        return leases.LeaseUnanswered(server, "no response within the timeout")


class SimulatedReplica(replica.Replica):
    """Replays the simulated log up to the last finished read."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance
        self._state = replicated.State.create_empty()
        self._freshness = commits.Freshness(float("-inf"))
        self._outcomes: dict[str, commits.CommitOutcome] = {}
        self._pending_read: PendingRead | None = None

    @property
    def state(self) -> replicated.State:
        """The state replayed so far."""
        return self._state

    @property
    def freshness(self) -> commits.Freshness:
        """The freshness of the state."""
        return self._freshness

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait for a record beyond an offset."""
        self._instance.simulation.pause(timeout_s, lambda: self._state.next_offset > offset)
        return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a read that began after a clock reading."""
        self._instance.simulation.pause(
            timeout_s, lambda: self._freshness.read_began_at_s > began_after_s
        )
        return self._freshness.read_began_at_s > began_after_s

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Submit a record to the simulated log and wait until it is read back."""
        self._instance.simulation.outbox.append((self._instance.name, record))
        self._instance.simulation.pause(timeout_s, lambda: record.record_id in self._outcomes)
        unknown = commits.CommitUnknown("not read back within the timeout")
        return self._outcomes.get(record.record_id, unknown)

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return the outcome of a record, or `None` if it is unknown."""
        return self._outcomes.get(record_id)

    def begin_read(self) -> None:
        """Begin a log read, which returns the entries that the log has now."""
        self._pending_read = PendingRead(
            self._instance.clock.read_s(), len(self._instance.simulation.log)
        )

    def finish_read(self) -> None:
        """Replay the entries of the read that began last."""
        if self._pending_read is None:
            return
        before = self._state
        for entry in self._instance.simulation.log[
            self._state.next_offset : self._pending_read.end_offset
        ]:
            self._replay(entry)
        self._freshness = commits.Freshness(self._pending_read.began_at_s)
        self._pending_read = None
        if self._state.servers is not before.servers:
            for simulated_wakeup in self._instance.wakeups:
                simulated_wakeup.wake()

    def _replay(self, entry: bytes) -> None:
        offset = self._state.next_offset
        replayed = replay.replay_entry(entry, self._state)
        self._state = replayed.state
        if replayed.record is None:
            return
        outcome: commits.CommitOutcome = commits.CommitAccepted(offset)
        if isinstance(replayed.decision, replay.Rejected):
            outcome = commits.CommitRejected(replayed.decision.reason, replayed.decision.detail)
        self._outcomes.setdefault(replayed.record.record_id, outcome)


class SimulatedInstanceList(instance_list.InstanceList):
    """Lists all instances as live."""

    def __init__(self, simulation: LeaseSimulation) -> None:
        self._simulation = simulation

    @property
    def listing(self) -> instance_list.InstanceListing:
        """The list."""
        entries = tuple(
            identity.InstanceEntry(
                instance.name,
                instance.settings.failure_domain,
                UNUSED_ADDRESS,
                identity.InstanceStatus.LIVE,
            )
            for instance in self._simulation.instances.values()
        )
        return instance_list.InstanceListing(1, entries)

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


class SimulatedLessorProbe(lessor_probe.LessorProbe):
    """Gets a status from every instance that is not frozen."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def query_status(self, name: str) -> messages.PeerStatus | None:
        """Return the status of an instance, or `None` if it is frozen or unknown."""
        queried = self._instance.simulation.instances.get(name)
        if queried is None or name in self._instance.simulation.frozen:
            return None
        offset = queried.replica.state.next_offset
        return messages.PeerStatus(
            name=name,
            incarnation=queried.incarnation.token,
            next_offset=offset,
            preset_offset=-1,
            chain="",
            usable=True,
            uptake=(),
        )


class LeaseSimulation:
    """All processes of a run, with scheduling and failures controlled by the test.

    Attributes
    ----------
    now_s
        Simulated time in seconds.
    state
        State after replay of the whole log.
    frozen
        Instances and servers that are paused.
    broken_links
        Pairs of instance and server, or instance and ``log``, that cannot communicate.
    """

    def __init__(self, instance_rates: tuple[float, ...], server_rates: tuple[float, ...]) -> None:
        self.now_s = 1_000.0
        self.log: list[bytes] = []
        self.state = replicated.State.create_empty()
        self.appended_at_s: list[float] = []
        self.calls: list[LeaseCall] = []
        self.outbox: list[tuple[str, records.Record]] = []
        self.frozen: set[str] = set()
        self.broken_links: set[tuple[str, str]] = set()
        self.running: actors.Actor | None = None
        self.lease_holders: dict[str, lease_holder.LeaseHolder] = {}
        self.server_clocks: dict[str, DriftingClock] = {}
        self.unauthorized_renewals: list[str] = []
        self.instances = {
            f"router-{number}": SimulatedInstance(
                self, f"router-{number}", f"domain-r{number}", rate, 50.0 * number
            )
            for number, rate in enumerate(instance_rates, start=1)
        }
        for number, rate in enumerate(server_rates, start=1):
            self.server_clocks[f"{SERVICE}-{number}"] = DriftingClock(self, rate, -7.0 * number)
            self.restart_server(f"{SERVICE}-{number}")
        self._prepare_log()
        for instance in self.instances.values():
            instance.replica.begin_read()
            instance.replica.finish_read()
            instance.start(tuple(self.lease_holders))

    def pause(self, timeout_s: float, is_over: Callable[[], bool]) -> None:
        """Pause the running actor."""
        assert self.running is not None
        self.running.pause(timeout_s, is_over)

    def end(self) -> None:
        """End all actors."""
        for instance in self.instances.values():
            for actor in instance.actors.values():
                actor.end()

    def restart_server(self, server: str) -> None:
        """Restart a server's process, which loses all its state."""
        self.lease_holders[server] = lease_holder.LeaseHolder(self.server_clocks[server].read_s)

    def publish(
        self, servers: tuple[preset.BackendServer, ...], *, checks_grants: bool = True
    ) -> None:
        """Append a preset with these servers to the log."""
        policy = preset.ServicePolicy(
            name=SERVICE, keyed=True, checks_grants=checks_grants, servers=servers, partitions=4
        )
        self.append(
            records.PresetPublished(
                record_id=identity.create_record_id(),
                base=len(self.log),
                author="operator",
                reason="test",
                preset=preset.Preset(name="day", services=(policy,)),
            )
        )

    def append(self, record: records.Record) -> None:
        """Append a record to the log."""
        entry = log_entries.encode_record(record)
        self.log.append(entry)
        self.appended_at_s.append(self.now_s)
        self.state = replay.replay_entry(entry, self.state).state

    def list_servers(self, draining: str = "") -> tuple[preset.BackendServer, ...]:
        """Return all servers in the form of preset entries."""
        return tuple(
            preset.BackendServer(
                name=name,
                address=UNUSED_ADDRESS,
                failure_domain=f"domain-{name}",
                draining=name == draining,
            )
            for name in self.lease_holders
        )

    def deliver_request(self, call: LeaseCall) -> None:
        """Deliver a call to its server, with any delay."""
        holder = self.lease_holders[call.server]
        if call.renewal is None:
            call.report = holder.report()
        else:
            call.report = holder.renew(call.renewal)
            self._check_authority(call.renewal, call.report, call.server)

    def deliver_response(self, call: LeaseCall) -> None:
        """Deliver a server's response to the instance."""
        if call.report is not None:
            call.is_answered = True
            self.calls.remove(call)

    def run_for(self, seconds: float) -> None:
        """Run everything that is neither frozen nor disconnected for a duration."""
        for _ in range(round(seconds / STEP_S)):
            self.deliver_messages()
            self.run_actors()
            self.check()
            self.now_s += STEP_S

    def deliver_messages(self) -> None:
        """Deliver calls, responses, records and log reads over all working links."""
        for call in tuple(self.calls):
            if self._is_link_up(call.instance, call.server):
                if call.report is None:
                    self.deliver_request(call)
                self.deliver_response(call)
        for name, record in tuple(self.outbox):
            if self._is_link_up(name, "log"):
                self.outbox.remove((name, record))
                self.append(record)
        for instance in self.instances.values():
            if self._is_link_up(instance.name, "log"):
                instance.replica.begin_read()
                instance.replica.finish_read()

    def run_actors(self) -> None:
        """Run each runnable actor of the instances that are not frozen once."""
        for instance in self.instances.values():
            if instance.name not in self.frozen:
                for actor in instance.actors.values():
                    self.run_actor(actor)

    def run_actor(self, actor: actors.Actor) -> None:
        """Run an actor up to its next wait if it is runnable."""
        if actor.is_runnable:
            self.running = actor
            actor.resume()

    def list_holding_servers(self) -> dict[int, list[str]]:
        """Return the servers that hold each partition now."""
        holders_by_partition: dict[int, list[str]] = {}
        for name, holder in self.lease_holders.items():
            for partition in {grant.partition for grant in self._list_held(holder)}:
                holders_by_partition.setdefault(partition, []).append(name)
        return holders_by_partition

    def find_lessor(self, server: str) -> str:
        """Return the name of a server's lessor according to the log."""
        return self.state.servers[server].lessor.name

    def appoint(self, server: str, name: str) -> None:
        """Append an appointment of an instance as lessor; any instance may do so at any time."""
        server_incarnation = self.lease_holders[server].report().stamp.incarnation
        choice = records.LessorChoice(server, self.instances[name].incarnation, server_incarnation)
        self.append(
            records.LessorsAppointed(
                record_id=identity.create_record_id(),
                base=len(self.log),
                author="test",
                reason="test",
                choices=(choice,),
            )
        )

    def check(self) -> None:
        """Check the invariants: exclusive ownership, and no renewal beyond a lessor's authority."""
        assert self.unauthorized_renewals == []
        for partition, held_by in self.list_holding_servers().items():
            assert len(held_by) <= 1, f"partition {partition} is held by several servers: {held_by}"

    def _list_held(self, holder: lease_holder.LeaseHolder) -> list[leases.Grant]:
        grants = holder._granted | holder._finishing
        return [grant for grant in grants if holder.holds(grant)]

    def _is_link_up(self, instance: str, other: str) -> bool:
        paused = self.frozen & {instance, other}
        return not paused and (instance, other) not in self.broken_links

    def _check_authority(
        self, renewal: leases.Renewal, report: leases.LeaseReport, server: str
    ) -> None:
        newest = self.state.servers[server].epoch
        renewed = report.status is leases.RenewalStatus.RENEWED and report.remaining_ms > 0
        if renewal.lessor_epoch == newest or not renewed:
            return
        limit_s = lease_view.LeaseTiming.from_config(LEASES).predecessor_limit_s
        ends_at_s = self.now_s + report.remaining_ms / 1_000 * 1.05
        if ends_at_s > self.appended_at_s[newest] + limit_s:
            self.unauthorized_renewals.append(
                f"{server}: epoch {renewal.lessor_epoch} after {newest}"
            )

    def _prepare_log(self) -> None:
        self.publish(self.list_servers())
        state = self.state
        assert state.preset_in_force is not None
        policy = state.preset_in_force.preset.services[0]
        self.append(
            records.PartitionsMoved(
                record_id=identity.create_record_id(),
                base=state.next_offset,
                author="test",
                reason="test",
                moves=placement.plan_initial(policy, state),
                lessor=identity.Incarnation("test", "test"),
                lessor_epoch=0,
            )
        )


def create_simulation(seed: int, instances: int = 3, servers: int = 2) -> LeaseSimulation:
    """Return a simulation whose clocks drift independently, within the configured margin."""
    generator = random.Random(seed)
    rates = [generator.choice((0.98, 1.0, 1.02)) for _ in range(instances + servers)]
    return LeaseSimulation(tuple(rates[:instances]), tuple(rates[instances:]))
