"""Measures the control plane: processor time, bytes, appends, memory, uptake and snapshots.

Run as ``python -m bench.control_cost``; it prints JSON. All processes run on loopback and
are terminated at the end. Bytes between peers come from the counters of the instances;
bytes of the log are those of its entries, without HTTP headers.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time
import tracemalloc

import click
import urllib3
from goldcresthall_stand_ins import fleet as fleets
from prometheus_client import parser

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import documents
from goldcresthall.encoding import log_entries
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding

DOMAINS = ("domain-a", "domain-b", "domain-c")
STABILIZATION_DELAY_S = 4.0
STATUS_POLL_INTERVAL_S = 0.002
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SERVER_COUNT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCost:
    """Mean resource usage per instance of a system without requests.

    Attributes
    ----------
    appends_per_s_of_all
        Log appends per second of all instances together.
    """

    instances: int
    window_s: float
    core_share_per_instance: float
    resident_mb_per_instance: float
    peer_bytes_per_s_per_instance: float
    log_entry_bytes_per_s_per_instance: float
    log_reads_per_s_per_instance: float
    appends_per_s_of_all: float


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeDelay:
    """Delay from the acceptance of a preset until it is in force on every instance."""

    instances: int
    publishes: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StateCost:
    """Cost of the replicated state for a number of partitions, each moved once."""

    partitions: int
    replay_records_per_s: float
    memory_bytes_per_partition: float
    snapshot_document_bytes: int
    snapshot_piece_bytes: int
    encode_ms: float
    decode_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """All results of one run."""

    command: str
    seed: int
    rest: tuple[IdleCost, ...]
    uptake: tuple[UptakeDelay, ...]
    states: tuple[StateCost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReading:
    """Processor ticks, memory and counters of one instance at one time.

    Attributes
    ----------
    at_s
        Time of the reading, by the monotonic clock.
    counters
        Value of each metric sample by its name, summed over all labels.
    """

    at_s: float
    ticks: int
    resident_bytes: int
    counters: dict[str, float]


def read_instance(router: fleets.RouterProcess, pool: urllib3.PoolManager) -> InstanceReading:
    """Read the resource usage and the counters of a router process."""
    folder = pathlib.Path("/proc") / str(router.process.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    text = pool.request("GET", f"{router.admin_url}/metrics").data.decode()
    counters: dict[str, float] = {}
    for family in parser.text_string_to_metric_families(text):
        for item in family.samples:
            counters[item.name] = counters.get(item.name, 0.0) + item.value
    return InstanceReading(
        time.monotonic(), int(fields[11]) + int(fields[12]), pages * PAGE_BYTES, counters
    )


def measure_idle(fleet: fleets.Fleet, window_s: float) -> IdleCost:
    """Measure a system that receives no requests for `window_s` seconds."""
    pool = urllib3.PoolManager()
    before = [read_instance(router, pool) for router in fleet.routers]
    time.sleep(window_s)
    after = [read_instance(router, pool) for router in fleet.routers]

    def compute_mean_rate(*names: str) -> float:
        rates = [
            sum(new.counters.get(name, 0) - old.counters.get(name, 0) for name in names)
            / (new.at_s - old.at_s)
            for old, new in zip(before, after, strict=True)
        ]
        return statistics.mean(rates)

    core_shares = [
        (new.ticks - old.ticks) / CLOCK_TICKS_PER_S / (new.at_s - old.at_s)
        for old, new in zip(before, after, strict=True)
    ]
    count = len(before)
    return IdleCost(
        instances=count,
        window_s=window_s,
        core_share_per_instance=round(statistics.mean(core_shares), 4),
        resident_mb_per_instance=round(
            statistics.mean(item.resident_bytes for item in after) / 1e6, 1
        ),
        peer_bytes_per_s_per_instance=round(
            compute_mean_rate(
                "goldcresthall_peer_client_bytes_total", "goldcresthall_peer_server_bytes_total"
            ),
            1,
        ),
        log_entry_bytes_per_s_per_instance=round(
            compute_mean_rate(
                "goldcresthall_log_read_bytes_total", "goldcresthall_log_append_bytes_total"
            ),
            1,
        ),
        log_reads_per_s_per_instance=round(compute_mean_rate("goldcresthall_log_reads_total"), 2),
        appends_per_s_of_all=round(count * compute_mean_rate("goldcresthall_log_appends_total"), 3),
    )


def measure_uptake(
    fleet: fleets.Fleet, policy: preset.ServicePolicy, publishes: int
) -> UptakeDelay:
    """Publish presets in sequence and measure each one's delay until all instances have it."""
    clients = [
        admin_client.AdminClient(str(router.settings.listen.admin)) for router in fleet.routers
    ]
    delays_ms = []
    with concurrent.futures.ThreadPoolExecutor(len(clients)) as executor:
        for number in range(publishes):
            published = preset.Preset(name=f"preset-{number}", services=(policy,))
            request = messages.PublishRequest("bench", "measured", published)
            result = clients[number % len(clients)].publish(request)
            accepted_at_s = time.monotonic()
            offsets = [result.offset] * len(clients)
            in_force_times_s = executor.map(wait_in_force, clients, offsets)
            delays_ms.append((max(in_force_times_s) - accepted_at_s) * 1_000)
    ordered = sorted(delays_ms)
    return UptakeDelay(
        instances=len(clients),
        publishes=publishes,
        p50_ms=round(statistics.median(ordered), 1),
        p99_ms=round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 1),
        max_ms=round(ordered[-1], 1),
    )


def wait_in_force(client: admin_client.AdminClient, offset: int) -> float:
    """Wait until an instance has a preset in force; return the monotonic time in seconds."""
    while client.fetch("/status", messages.StatusView).instance.preset_offset < offset:
        time.sleep(STATUS_POLL_INTERVAL_S)
    return time.monotonic()


def measure_system(
    count: int, window_s: float, publishes: int, folder: pathlib.Path
) -> tuple[IdleCost, UptakeDelay]:
    """Run a system of `count` instances; measure it without requests, then the uptake."""
    with fleets.run_fleet(folder) as fleet:
        fleet.start_platform()
        configs = fleets.create_backend_configs("archive", SERVER_COUNT, keyed=True)
        fleet.start_backends(configs)
        for number in range(1, count + 1):
            domain = DOMAINS[number % len(DOMAINS)]
            fleet.start_router(fleet.create_settings(f"router-{number}", domain))
        policy = fleets.create_service_policy(configs, DOMAINS)
        client = admin_client.AdminClient(str(fleet.routers[0].settings.listen.admin))
        first = preset.Preset(name="first", services=(policy,))
        client.publish(messages.PublishRequest("bench", "first", first))
        time.sleep(STABILIZATION_DELAY_S)
        idle_cost = measure_idle(fleet, window_s)
        return idle_cost, measure_uptake(fleet, policy, publishes)


def measure_state(partitions: int, generator: random.Random) -> StateCost:
    """Replay a preset and one move per partition, then encode and decode the state."""
    entries = create_entries(partitions, generator)
    tracemalloc.start()
    state = replay_all(entries)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began_s = time.perf_counter()
    replay_all(entries)
    replayed_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    encoded = state_encoding.encode_state(state)
    encoded_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    state_encoding.decode_state(encoded.pieces, encoded.state_digest)
    decoded_s = time.perf_counter() - began_s
    return StateCost(
        partitions=partitions,
        replay_records_per_s=round(len(entries) / replayed_s),
        memory_bytes_per_partition=round(state_bytes / partitions, 1),
        snapshot_document_bytes=encoded.document_bytes,
        snapshot_piece_bytes=sum(len(piece) for piece in encoded.pieces),
        encode_ms=round(encoded_s * 1_000, 1),
        decode_ms=round(decoded_s * 1_000, 1),
    )


def create_entries(partitions: int, generator: random.Random) -> list[bytes]:
    """Return the log entries of a preset and of one move per partition."""
    servers = tuple(
        preset.BackendServer(
            name=f"archive-{number}",
            address=identity.Address("127.0.0.1", 9_000 + number),
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(SERVER_COUNT)
    )
    policy = preset.ServicePolicy(
        name="archive", keyed=True, servers=servers, partitions=partitions
    )
    lessor = identity.Incarnation("router-1", "one")
    history: list[records.Record] = [
        records.PresetPublished(
            record_id=identity.create_record_id(),
            base=0,
            author="bench",
            reason="measured",
            preset=preset.Preset(name="day", services=(policy,)),
        )
    ]
    history.extend(
        records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=number + 1,
            author=str(lessor),
            reason="partition had no owner",
            moves=(records.PartitionMove("archive", number, "", generator.choice(servers).name),),
            lessor=lessor,
            lessor_epoch=0,
        )
        for number in range(partitions)
    )
    return [log_entries.encode_record(record) for record in history]


def replay_all(entries: list[bytes]) -> replicated.State:
    """Return the replicated state after all entries."""
    state = replicated.State.create_empty()
    for entry in entries:
        state = replay.replay_entry(entry, state).state
    return state


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--instances", default="3,6,9,12", show_default=True)
@click.option("--partitions", default="256,1024,4096", show_default=True)
@click.option("--window", default=15.0, show_default=True, help="Seconds without requests.")
@click.option("--publishes", default=30, show_default=True)
def main(seed: int, instances: str, partitions: str, window: float, publishes: int) -> None:
    """Measure the cost of the control plane and print it as JSON."""
    generator = random.Random(seed)
    states = tuple(measure_state(int(count), generator) for count in partitions.split(","))
    measured = []
    for count in instances.split(","):
        with tempfile.TemporaryDirectory() as folder:
            measured.append(measure_system(int(count), window, publishes, pathlib.Path(folder)))
        click.echo(str(measured[-1]), err=True)
    cost = ControlCost(
        command=" ".join(("python -m bench.control_cost", *sys.argv[1:])),
        seed=seed,
        rest=tuple(idle_cost for idle_cost, _ in measured),
        uptake=tuple(uptake for _, uptake in measured),
        states=states,
    )
    click.echo(documents.encode_document(cost))


if __name__ == "__main__":
    main()
