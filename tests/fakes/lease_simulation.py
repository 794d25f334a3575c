"""Keepers of several instances, real lease holders and a log, under one true time."""

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
    """Runs at a rate of its own against the world's true time."""

    def __init__(self, simulation: LeaseSimulation, rate: float, offset_s: float) -> None:
        self._simulation = simulation
        self._rate = rate
        self._offset_s = offset_s

    def read_s(self) -> float:
        """Return the reading in seconds."""
        return self._offset_s + self._simulation.now_s * self._rate


@dataclasses.dataclass(slots=True)
class LeaseCall:
    """A lease message on its way, and its answer once the server gave one."""

    instance: str
    server: str
    renewal: leases.Renewal | None
    report: leases.LeaseReport | None = None
    is_answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read of the log that began and whose answer is not yet taken up."""

    began_at_s: float
    end_offset: int


class SimulatedInstance:
    """One router instance: its fakes, and a keeper for each server."""

    def __init__(
        self, simulation: LeaseSimulation, name: str, domain: str, rate: float, offset_s: float
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
            failure_domain=domain,
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
        """Return a kernel that holds the instance's services."""
        built = kernel.Kernel()
        built.register(names.CLOCK, self.clock)
        built.register(names.METRICS, metrics.Metrics())
        built.register(names.REPLICA, self.replica)
        built.register(names.BACKENDS, SimulatedBackendClient(self))
        built.register(names.INSTANCE_LIST, SimulatedInstanceList(self.simulation))
        built.register(names.LESSOR_PROBE, SimulatedLessorProbe(self))
        built.register(names.LEASE_COUNTERS, counters.LeaseCounters.from_config(built))
        self.kernel = built
        return built

    def read_counter(self, name: str, **labels: str) -> float:
        """Return a counter's value; zero if it never counted."""
        registry = self.kernel.find(names.METRICS, metrics.Metrics).registry
        return registry.get_sample_value(f"goldcresthall_{name}_total", labels) or 0.0

    def start(self, server_names: tuple[str, ...]) -> None:
        """Start a keeper for each server."""
        self.kernel.register(names.PLANNED_MOVES, self.planned)
        self.planned.start()
        for server in server_names:
            woken = SimulatedWakeup(self.simulation)
            self.wakeups.append(woken)
            shared = lease_context.LeaseContext.from_config(
                self.kernel, self.incarnation, self.settings, server, woken
            )
            self.stop_signals[server] = tasks.StopSignal()
            self._start_keeper(server, lease_manager.LeaseManager(self.kernel, shared))

    def _start_keeper(self, server: str, started: lease_manager.LeaseManager) -> None:
        actor = actors.Actor(f"{self.name}/{server}", self.clock.read_s)
        self.actors[server] = actor
        self.lease_managers[server] = started
        self.simulation.running = actor
        actor.start(lambda: started.run(self.stop_signals[server]))


class SimulatedWakeup(wakeup.Wakeup):
    """Waits as an actor."""

    def __init__(self, simulation: LeaseSimulation) -> None:
        super().__init__()
        self._simulation = simulation
        self._is_woken = False

    def wake(self) -> None:
        """End the present wait, or the next."""
        self._is_woken = True

    def wait(self, timeout_s: float) -> None:
        """Wait until woken, or for `timeout_s` seconds."""
        self._simulation.pause(timeout_s, lambda: self._is_woken)
        self._is_woken = False


class SimulatedBackendClient(client.BackendClient):
    """Sends lease messages into the world's network."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Send no work; only leases are simulated."""
        raise NotImplementedError

    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Send a renewal and wait for its answer."""
        return self._exchange(server.name, renewal, timeout_s)

    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Ask for the lease and wait for the answer."""
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
        return leases.LeaseUnanswered(server, "no answer in time")


class SimulatedReplica(replica.Replica):
    """Replays the world's log as far as the test let it read."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance
        self._state = replicated.State.create_empty()
        self._freshness = commits.Freshness(float("-inf"))
        self._outcomes: dict[str, commits.CommitOutcome] = {}
        self._open: PendingRead | None = None

    @property
    def state(self) -> replicated.State:
        """The state replayed so far."""
        return self._state

    @property
    def freshness(self) -> commits.Freshness:
        """How recent the state is."""
        return self._freshness

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait for a record."""
        self._instance.simulation.pause(timeout_s, lambda: self._state.next_offset > offset)
        return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a read."""
        self._instance.simulation.pause(
            timeout_s, lambda: self._freshness.read_began_at_s > began_after_s
        )
        return self._freshness.read_began_at_s > began_after_s

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Hand a record to the world's log and wait until it is read back."""
        self._instance.simulation.outbox.append((self._instance.name, record))
        self._instance.simulation.pause(timeout_s, lambda: record.record_id in self._outcomes)
        unknown = commits.CommitUnknown("not read back in time")
        return self._outcomes.get(record.record_id, unknown)

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return what replay decided on a record."""
        return self._outcomes.get(record_id)

    def begin_read(self) -> None:
        """Ask the log; the answer holds what it has now."""
        self._open = PendingRead(self._instance.clock.read_s(), len(self._instance.simulation.log))

    def finish_read(self) -> None:
        """Take up the answer of the read that began last."""
        if self._open is None:
            return
        before = self._state
        for entry in self._instance.simulation.log[self._state.next_offset : self._open.end_offset]:
            self._replay(entry)
        self._freshness = commits.Freshness(self._open.began_at_s)
        self._open = None
        if self._state.servers is not before.servers:
            for woken in self._instance.wakeups:
                woken.wake()

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
    """Lists all instances as live, for ever."""

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
    """Hears every instance that is not frozen."""

    def __init__(self, instance: SimulatedInstance) -> None:
        self._instance = instance

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def query_status(self, name: str) -> messages.PeerStatus | None:
        """Return what an instance has taken up."""
        asked = self._instance.simulation.instances.get(name)
        if asked is None or name in self._instance.simulation.frozen:
            return None
        offset = asked.replica.state.next_offset
        return messages.PeerStatus(
            name=name,
            incarnation=asked.incarnation.token,
            next_offset=offset,
            preset_offset=-1,
            chain="",
            usable=True,
            uptake=(),
        )


class LeaseSimulation:
    """All processes of a run; a test decides what goes on and when.

    Attributes
    ----------
    now_s
        True time in seconds.
    state
        What the whole log gives.
    frozen
        Instances and servers that stand still.
    cut
        Pairs of instance and server, or instance and ``log``, that do not hear each
        other.
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
        """Wait as the actor that runs now."""
        assert self.running is not None
        self.running.pause(timeout_s, is_over)

    def end(self) -> None:
        """End all actors."""
        for instance in self.instances.values():
            for actor in instance.actors.values():
                actor.end()

    def restart_server(self, server: str) -> None:
        """Start a server's process anew, with nothing remembered."""
        self.lease_holders[server] = lease_holder.LeaseHolder(self.server_clocks[server].read_s)

    def publish(
        self, servers: tuple[preset.BackendServer, ...], *, checks_grants: bool = True
    ) -> None:
        """Put a preset with these servers in force."""
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
        """Let a record stand in the log."""
        entry = log_entries.encode_record(record)
        self.log.append(entry)
        self.appended_at_s.append(self.now_s)
        self.state = replay.replay_entry(entry, self.state).state

    def list_servers(self, draining: str = "") -> tuple[preset.BackendServer, ...]:
        """Return all servers as a preset names them."""
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
        """Let a message reach its server, however late."""
        holder = self.lease_holders[call.server]
        if call.renewal is None:
            call.report = holder.report()
        else:
            call.report = holder.renew(call.renewal)
            self._check_authority(call.renewal, call.report, call.server)

    def deliver_response(self, call: LeaseCall) -> None:
        """Let a server's answer reach the instance."""
        if call.report is not None:
            call.is_answered = True
            self.calls.remove(call)

    def run_for(self, seconds: float) -> None:
        """Let everything that is neither frozen nor cut go on for a while."""
        for _ in range(round(seconds / STEP_S)):
            self.deliver_messages()
            self.run_actors()
            self.check()
            self.now_s += STEP_S

    def deliver_messages(self) -> None:
        """Move messages, records and reads along, where nothing hinders them."""
        for call in tuple(self.calls):
            if self._is_open(call.instance, call.server):
                if call.report is None:
                    self.deliver_request(call)
                self.deliver_response(call)
        for name, record in tuple(self.outbox):
            if self._is_open(name, "log"):
                self.outbox.remove((name, record))
                self.append(record)
        for instance in self.instances.values():
            if self._is_open(instance.name, "log"):
                instance.replica.begin_read()
                instance.replica.finish_read()

    def run_actors(self) -> None:
        """Run each actor that can go on, once."""
        for instance in self.instances.values():
            if instance.name not in self.frozen:
                for actor in instance.actors.values():
                    self.run_actor(actor)

    def run_actor(self, actor: actors.Actor) -> None:
        """Run an actor up to its next wait, if it can go on."""
        if actor.is_runnable:
            self.running = actor
            actor.resume()

    def list_holding_servers(self) -> dict[int, list[str]]:
        """Return which servers hold each partition now."""
        held: dict[int, list[str]] = {}
        for name, holder in self.lease_holders.items():
            for partition in {grant.partition for grant in self._list_held(holder)}:
                held.setdefault(partition, []).append(name)
        return held

    def find_lessor(self, server: str) -> str:
        """Return the name of a server's lessor as the log has it."""
        return self.state.servers[server].lessor.name

    def appoint(self, server: str, name: str) -> None:
        """Appoint an instance as lessor, as any instance may at any time."""
        met = self.lease_holders[server].report().stamp.incarnation
        choice = records.LessorChoice(server, self.instances[name].incarnation, met)
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
        """Check what must hold at every moment."""
        assert self.unauthorized_renewals == []
        for partition, held_by in self.list_holding_servers().items():
            assert len(held_by) <= 1, f"partition {partition} is held by {held_by}"

    def _list_held(self, holder: lease_holder.LeaseHolder) -> list[leases.Grant]:
        grants = holder._granted | holder._finishing
        return [grant for grant in grants if holder.holds(grant)]

    def _is_open(self, instance: str, other: str) -> bool:
        closed = self.frozen & {instance, other}
        return not closed and (instance, other) not in self.broken_links

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
    """Return a world whose clocks drift within the stated margin, apart from each other."""
    generator = random.Random(seed)
    rates = [generator.choice((0.98, 1.0, 1.02)) for _ in range(instances + servers)]
    return LeaseSimulation(tuple(rates[:instances]), tuple(rates[instances:]))
