"""Servers that hold key ranges, instances that grant them, and what can go wrong between."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import directory
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.ranges import duties
from goldcresthall.ranges import grants
from goldcresthall.ranges import lessor
from goldcresthall.ranges import owners
from goldcresthall.ranges import tables
from goldcresthall.store import client
from tests.fakes import clock
from tests.fakes import store

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "ledger"
SAMPLE_STEP = 2_048
SAMPLED_KEYS = tuple(range(0, key_ranges.KEY_COUNT, SAMPLE_STEP))
SLOW_CLOCK = 1.02
LONGEST_HOLD_S = 10.0
CONFIGURATION = deployment.Configuration(
    version=1,
    routes=(),
    services=(
        deployment.ServiceSpec(
            name=SERVICE, health_path="/health", connection_limit=10, keyed=True
        ),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A grant as a server holds it."""

    fence: int
    until_s: float


class RangeServer:
    """A server that holds sampled keys, with a clock that runs slow."""

    def __init__(self, life: deployment.ServerLife) -> None:
        self.life = life
        self.is_up = True
        self.holds: dict[int, Hold] = {}
        self.highest: dict[int, int] = {}

    def grant(self, order: grants.GrantOrder, arrived_at_s: float) -> grants.OrderOutcome:
        """Carry out a grant whose time runs from its arrival."""
        keys = [key for key in SAMPLED_KEYS if order.keys.contains(key)]
        if any(self.highest.get(key, -1) > order.fence for key in keys):
            return grants.FenceTooLow()
        for key in keys:
            self.highest[key] = order.fence
            self.holds[key] = Hold(order.fence, arrived_at_s + order.hold_s * SLOW_CLOCK)
        return grants.Granted()

    def release(self, order: grants.ReleaseOrder) -> grants.OrderOutcome:
        """Carry out a release."""
        for key in SAMPLED_KEYS:
            if order.keys.contains(key):
                self.holds.pop(key, None)
        return grants.Released(f"handover-{order.fence}")

    def has(self, key: int, now_s: float) -> bool:
        """Return whether it holds a key."""
        hold = self.holds.get(key)
        return self.is_up and hold is not None and hold.until_s > now_s


@dataclasses.dataclass(frozen=True, slots=True)
class LateGrant:
    """A grant that had no answer and is yet to be carried out."""

    server: RangeServer
    order: grants.GrantOrder
    arrived_at_s: float


class Channel(grants.GrantChannel):
    """One instance's way to the servers."""

    def __init__(self, world: RangeWorld) -> None:
        self._world = world
        self.unreachable: set[str] = set()
        self.delays_grants = False
        self.refuses_releases = False

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def grant(
        self, server: deployment.RegisteredServer, order: grants.GrantOrder
    ) -> grants.OrderOutcome:
        """Grant, or leave the grant to be carried out later."""
        found = self._find(server)
        if found is None:
            return grants.OrderNotSent("refused")
        now_s = self._world.clock.read_s()
        if self.delays_grants:
            self._world.late.append(LateGrant(found, order, now_s))
            return grants.OrderUnanswered("receive: timed out")
        return found.grant(order, now_s)

    def release(
        self, server: deployment.RegisteredServer, order: grants.ReleaseOrder
    ) -> grants.OrderOutcome:
        """Release."""
        found = None if self.refuses_releases else self._find(server)
        return grants.OrderNotSent("refused") if found is None else found.release(order)

    def _find(self, server: deployment.RegisteredServer) -> RangeServer | None:
        found = self._world.servers.get(server.life)
        if found is None or not found.is_up or server.name in self.unreachable:
            return None
        return found


class Instance:
    """One instance: its lessor, if it is one, and its ways to the store and the servers."""

    def __init__(self, world: RangeWorld, number: int) -> None:
        self._world = world
        self.own = key_ranges.Lessor(
            identity.Incarnation(f"instance-{number}", "life"),
            identity.Address("127.0.0.1", 7000 + number),
        )
        self.store = store.FakeStore(world.store)
        self.channel = Channel(world)
        self.current: lessor.Lessor | None = None
        self.aside: list[Callable[[], None]] = []
        self.is_frozen = False

    def take_over(self) -> None:
        """Become the lessor if the store allows it."""
        read = self.store.read_newest(tables.TOPIC)
        if isinstance(read, client.StoreFailed):
            return
        record = tables.find_latest(read.records)
        latest = tables.decode(record).table if record else key_ranges.OwnershipTable()
        table = tables.take_over(latest, self.own, read.end_offset)
        written = self.store.write(tables.TOPIC, tables.KEY, tables.encode(table), read.end_offset)
        if not isinstance(written, client.Written):
            return
        owned = duties.Duties(
            self.store, self.channel, self._world.directory, self._world.clock, self._start_task
        )
        stored = key_ranges.StoredTable(written.offset, table)
        self.current = lessor.Lessor(owned, self.own, stored, LONGEST_HOLD_S)

    def step(self) -> None:
        """Do what the lessor's task and its keepers would do now."""
        if self.current is None or self.current.is_over or self.is_frozen:
            return
        self.current.step()
        aside, self.aside = self.aside, []
        for run in aside:
            run()
        self.current.step()
        for life in list(self._world.servers):
            self.grant_due(life)

    def grant_due(self, life: deployment.ServerLife) -> None:
        """Send all grants that are due at a server."""
        current = self.current
        listed = self._world.last_listed.get(life)
        while current is not None and listed is not None:
            order = current.book.take_grant(life, self._world.clock.read_s(), 0.0)
            if order is None:
                return
            outcome = self.channel.grant(listed, order)
            current.book.conclude_grant(order, outcome, self._world.clock.read_s())

    def _start_task(self, name: str, run: Callable[[tasks.StopSignal], None]) -> tasks.Task:
        task = tasks.Task(name, run)
        if name == "release":
            ended = tasks.StopSignal()
            ended.set()
            self.aside.append(lambda: run(ended))
        return task


class RangeWorld:
    """Servers, instances, the store and the clock."""

    def __init__(self, server_count: int = 4, instance_count: int = 2) -> None:
        self.clock = clock.ManualClock()
        self.store = store.MemoryStore()
        self.late: list[LateGrant] = []
        self.servers: dict[deployment.ServerLife, RangeServer] = {}
        self.last_listed: dict[deployment.ServerLife, deployment.RegisteredServer] = {}
        built = kernel.Kernel()
        built.register(names.CLOCK, self.clock)
        self.directory = directory.Directory(built)
        self.directory.start()
        self.directory.adopt_configuration(CONFIGURATION)
        for number in range(server_count):
            self.start_server(f"server-{number}")
        self.instances = [Instance(self, number) for number in range(instance_count)]
        self.fences: dict[int, int] = {}

    def start_server(self, name: str) -> RangeServer:
        """Start a server, or a new life of it, and list it."""
        life = deployment.ServerLife(name, int(self.clock.read_s() * 1_000))
        for other in self.servers.values():
            if other.life.name == name:
                other.is_up = False
        self.servers[life] = RangeServer(life)
        self.list_server(life)
        return self.servers[life]

    def list_server(self, life: deployment.ServerLife, *, draining: bool = False) -> None:
        """Put a server into the directory."""
        listed = deployment.RegisteredServer(
            life=life,
            service=SERVICE,
            address=identity.Address("127.0.0.1", 9000),
            failure_domain="domain",
            slots=4,
            draining=draining,
            slow_for_s=0.0,
        )
        self.last_listed[life] = listed
        self.directory.adopt_changes((listed,), frozenset())

    def unlist_server(self, life: deployment.ServerLife) -> None:
        """Take a server out of the directory."""
        self.directory.adopt_changes((), frozenset({life.name}))

    def advance(self, seconds: float) -> None:
        """Let time pass, in small steps of all instances."""
        remaining_s = seconds
        while remaining_s > 0:
            step_s = min(0.1, remaining_s)
            self.clock.advance(step_s)
            remaining_s -= step_s
            for instance in self.instances:
                instance.step()
                self.check()

    def carry_out_late(self) -> None:
        """Carry out the grants that had no answer."""
        late, self.late = self.late, []
        for item in late:
            if item.server.is_up:
                item.server.grant(item.order, item.arrived_at_s)
        self.check()

    def check(self) -> None:
        """Check that no key has two holders and that fences rise from holder to holder."""
        now_s = self.clock.read_s()
        for key in SAMPLED_KEYS:
            holders = [server for server in self.servers.values() if server.has(key, now_s)]
            assert len(holders) <= 1, f"key {key} is held by {[item.life for item in holders]}"

    def count_held(self) -> int:
        """Return how many sampled keys have a holder."""
        now_s = self.clock.read_s()
        return sum(
            any(server.has(key, now_s) for server in self.servers.values()) for key in SAMPLED_KEYS
        )

    def count_requests(self, instance: Instance, keys: tuple[int, ...]) -> None:
        """Report requests for keys to a lessor."""
        if instance.current is not None:
            counted = owners.CountedKeys(SERVICE, keys)
            instance.current.heat.add((counted,), self.clock.read_s())
