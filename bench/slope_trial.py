"""Measures the slopes that the capacity page is worked out from."""

from __future__ import annotations

import dataclasses
import functools
import gc
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc

import click
from goldcresthall_stand_ins import fleet as fleets

from bench import policies
from bench import processes
from bench import runner
from bench import samples
from bench import sender
from bench import slopes
from bench import system
from bench import users
from bench import workload
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import documents
from goldcresthall.encoding import log_entries
from goldcresthall.ownership import sketch
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding

SETTLE_S = 6.0
WATCH_S = 10.0
REPLAYED_RECORDS = 5_000
STATE_PARTITIONS = 20_000
SKETCH_COUNTS = 200_000
PATH_REQUESTS = 4_000
PATH_CONNECTIONS = 8
BYTES_PER_KIB = 1_024
US_PER_S = 1_000_000
SLOPES_FILE = pathlib.Path(__file__).parent / "slopes.json"
DOMAINS = ("one", "two", "three")


@dataclasses.dataclass(frozen=True, slots=True)
class ImportedMemory:
    """Resident memory of a process that has only imported the product."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleFleet:
    """Instances and keyed servers without any request."""

    instances: int
    servers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Replay of records in one process."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateSize:
    """Memory and encoded size of the replicated state."""


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedSizes:
    """Sizes of what instances read from the platform and from each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sketching:
    """Cost of counting one request's key."""


@dataclasses.dataclass(frozen=True, slots=True)
class PathCost:
    """Requests through one process, by policy, as fast as eight connections ask."""

    policy: policies.Policy


Measurement = ImportedMemory | IdleFleet | Replay | StateSize | EncodedSizes | Sketching | PathCost

MEASUREMENTS: tuple[Measurement, ...] = (
    ImportedMemory(),
    Replay(),
    StateSize(),
    EncodedSizes(),
    Sketching(),
    PathCost(policies.POLICIES[1]),
    PathCost(policies.POLICIES[0]),
    IdleFleet(3, 12),
    IdleFleet(6, 12),
    IdleFleet(9, 12),
    IdleFleet(12, 12),
    IdleFleet(6, 6),
    IdleFleet(6, 24),
)


@functools.singledispatch
def take(measurement: Measurement) -> tuple[slopes.Figure, ...]:
    """Take one measurement, by its kind."""
    raise NotImplementedError(type(measurement).__name__)


@take.register
def _(measurement: ImportedMemory) -> tuple[slopes.Figure, ...]:
    del measurement
    program = (
        "import goldcresthall.console.application, goldcresthall.application.runner,"
        " goldcresthall.application.factory, sys; print(flush=True); sys.stdin.read()"
    )
    process = subprocess.Popen(
        (sys.executable, "-c", program), stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        process.stdout.readline()  # type: ignore[union-attr]
        usage = processes.read_usage(process.pid)
    finally:
        process.communicate()
    return (slopes.Figure("imported_resident", usage.resident_mib, "MiB"),)


@take.register
def _(measurement: IdleFleet) -> tuple[slopes.Figure, ...]:
    policy = policies.Product()
    scaled = _create_keyed(measurement.servers)
    with tempfile.TemporaryDirectory() as name:
        started = system.run_system(
            pathlib.Path(name), scaled, policy, router_count=measurement.instances, seed=1
        )
        with started as running:
            time.sleep(SETTLE_S)
            numbers = running.router_process_ids
            bytes_before = [processes.read_socket_bytes(number) for number in numbers]
            before = [processes.read_usage(number) for number in numbers]
            began_at_s = time.monotonic()
            time.sleep(WATCH_S)
            watched_s = time.monotonic() - began_at_s
            after = [processes.read_usage(number) for number in numbers]
            bytes_after = [processes.read_socket_bytes(number) for number in numbers]
    sent = [end.sent - start.sent for start, end in zip(bytes_before, bytes_after, strict=True)]
    received = [
        end.received - start.received for start, end in zip(bytes_before, bytes_after, strict=True)
    ]
    used_s = [end.processor_s - start.processor_s for start, end in zip(before, after, strict=True)]
    label = f"{measurement.instances}x{measurement.servers}"
    return (
        slopes.Figure(
            f"idle_core_share_mean_{label}", sum(used_s) / len(used_s) / watched_s, "cores"
        ),
        slopes.Figure(f"idle_core_share_max_{label}", max(used_s) / watched_s, "cores"),
        slopes.Figure(f"idle_resident_{label}", max(usage.resident_mib for usage in after), "MiB"),
        slopes.Figure(f"idle_sent_mean_{label}", sum(sent) / len(sent) / watched_s, "bytes/s"),
        slopes.Figure(
            f"idle_received_mean_{label}", sum(received) / len(received) / watched_s, "bytes/s"
        ),
        slopes.Figure(f"idle_threads_{label}", max(usage.threads for usage in after), "threads"),
    )


@take.register
def _(measurement: Replay) -> tuple[slopes.Figure, ...]:
    del measurement
    entries = [log_entries.encode_record(record) for record in _create_moves(REPLAYED_RECORDS)]
    state = _create_state(REPLAYED_RECORDS)
    began_at_s = time.process_time()
    for entry in entries:
        state = replay.replay_entry(entry, state).state
    used_s = time.process_time() - began_at_s
    return (
        slopes.Figure("replay_per_record", used_s / len(entries) * US_PER_S, "us"),
        slopes.Figure("record_size", sum(map(len, entries)) / len(entries), "bytes"),
    )


@take.register
def _(measurement: StateSize) -> tuple[slopes.Figure, ...]:
    del measurement
    gc.collect()
    tracemalloc.start()
    state = _create_state(STATE_PARTITIONS, owned=True)
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began_at_s = time.process_time()
    encoded = state_encoding.encode_state(state)
    used_s = time.process_time() - began_at_s
    snapshot_bytes = sum(len(piece) for piece in encoded.pieces)
    return (
        slopes.Figure("state_per_partition", held_bytes / STATE_PARTITIONS, "bytes"),
        slopes.Figure("snapshot_per_partition", snapshot_bytes / STATE_PARTITIONS, "bytes"),
        slopes.Figure("snapshot_cpu_per_partition", used_s / STATE_PARTITIONS * US_PER_S, "us"),
    )


@take.register
def _(measurement: EncodedSizes) -> tuple[slopes.Figure, ...]:
    del measurement
    example = users.scale_preset("minnelys", "ordinary-day", 1).preset
    server_count = sum(len(policy.servers) for policy in example.services)
    published = records.PresetPublished(
        record_id=identity.create_record_id(),
        base=0,
        author="operator",
        reason="slopes",
        preset=example,
    )
    address = identity.Address("10.41.9.11", 9_090)
    listed = identity.InstanceEntry("entry-1", "molde", address, identity.InstanceStatus.LIVE)
    return (
        slopes.Figure(
            "preset_per_server", len(log_entries.encode_record(published)) / server_count, "bytes"
        ),
        slopes.Figure("instance_entry", len(documents.encode_document(listed)), "bytes"),
    )


@take.register
def _(measurement: Sketching) -> tuple[slopes.Figure, ...]:
    del measurement
    load = workload.Workload(kinds=(), phases=())
    sampler = workload.KeySampler(20_000, load.zipf_exponent)
    generator = random.Random(1)
    keys = [f"key-{sampler.draw(generator)}" for _ in range(SKETCH_COUNTS)]
    counted = sketch.SpaceSaving(128)
    began_at_s = time.process_time()
    for key in keys:
        counted.count(key)
    used_s = time.process_time() - began_at_s
    return (slopes.Figure("sketch_per_request", used_s / SKETCH_COUNTS * US_PER_S, "us"),)


@take.register
def _(measurement: PathCost) -> tuple[slopes.Figure, ...]:
    scaled = _create_unkeyed(4)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        started = system.run_system(folder, scaled, measurement.policy, router_count=1, seed=1)
        with started as running:
            before = processes.read_usage(running.router_process_ids[0])
            taken = _send_closed(running, folder)
            after = processes.read_usage(running.router_process_ids[0])
    answered = [sample for sample in taken if sample.verdict is samples.Verdict.ANSWERED]
    took_s = max(sample.latency_s for sample in taken)
    label = measurement.policy.name.replace(" ", "_")
    used_s = after.processor_s - before.processor_s
    return (
        slopes.Figure(f"path_cpu_per_request_{label}", used_s / len(taken) * US_PER_S, "us"),
        slopes.Figure(f"path_requests_per_s_{label}", len(answered) / took_s, "1/s"),
        slopes.Figure(f"path_resident_{label}", after.resident_mib, "MiB"),
    )


def _send_closed(running: system.RunningSystem, folder: pathlib.Path) -> tuple[samples.Sample, ...]:
    kind = workload.RequestKind("pool", "GET", "/pages/{key}", 1.0, 0.0, users.SHORT, 20_000)
    arrivals = tuple(
        workload.Arrival(number, 0.0, 0, number, 0.0) for number in range(PATH_REQUESTS)
    )
    config = sender.SenderConfig(
        start_at_s=time.monotonic() + runner.START_DELAY_S,
        connections=PATH_CONNECTIONS,
        targets=running.caller_urls,
        kinds=(kind,),
        arrivals=arrivals,
        run_id=folder.name,
    )
    return runner.collect(*runner.start_worker(config, folder, 0))


def _create_keyed(count: int) -> users.Scaled:
    route = preset.Route(method="GET", path="/items/{key}", idempotent=True)
    return _create_scaled("keyed", count, route, keyed=True)


def _create_unkeyed(count: int) -> users.Scaled:
    route = preset.Route(method="GET", path="/pages/{any}", idempotent=True)
    return _create_scaled("pool", count, route, keyed=False)


def _create_scaled(service: str, count: int, route: preset.Route, *, keyed: bool) -> users.Scaled:
    configs = fleets.create_backend_configs(service, count, keyed=keyed)
    policy = fleets.create_service_policy(configs, DOMAINS, (route,), partitions=256)
    return users.Scaled(preset.Preset(name="slopes", services=(policy,)), configs)


def _create_state(partitions: int, *, owned: bool = False) -> replicated.State:
    address = identity.Address("127.0.0.1", 1)
    servers = tuple(
        preset.BackendServer(name=f"keyed-{number}", address=address, failure_domain="one")
        for number in range(2)
    )
    policy = preset.ServicePolicy(
        name="keyed", keyed=True, checks_grants=True, servers=servers, partitions=partitions
    )
    published = records.PresetPublished(
        record_id=identity.create_record_id(),
        base=0,
        author="operator",
        reason="slopes",
        preset=preset.Preset(name="slopes", services=(policy,)),
    )
    state = replicated.State.create_empty()
    entries: tuple[records.Record, ...] = (published,)
    if owned:
        moves = tuple(
            records.PartitionMove("keyed", number, "", "keyed-0") for number in range(partitions)
        )
        entries = (published, _create_move(moves))
    for record in entries:
        state = replay.replay_entry(log_entries.encode_record(record), state).state
    return state


def _create_moves(count: int) -> list[records.Record]:
    return [
        _create_move((records.PartitionMove("keyed", number, "", "keyed-0"),))
        for number in range(count)
    ]


def _create_move(moves: tuple[records.PartitionMove, ...]) -> records.Record:
    return records.PartitionsMoved(
        record_id=identity.create_record_id(),
        base=1,
        author="entry-1/0123456789abcdef",
        reason="partitions had no owner",
        moves=moves,
        lessor=identity.Incarnation("entry-1", "0123456789abcdef"),
        lessor_epoch=0,
    )


@click.command()
@click.option("--output", type=click.Path(path_type=pathlib.Path), default=SLOPES_FILE)
def main(output: pathlib.Path) -> None:
    """Take all measurements and write them as JSON."""
    figures: list[slopes.Figure] = []
    for measurement in MEASUREMENTS:
        click.echo(str(measurement))
        taken = take(measurement)
        for figure in taken:
            click.echo(f"  {figure.name} {figure.value:.4g} {figure.unit}")
        figures.extend(taken)
    rounded = tuple(
        dataclasses.replace(figure, value=float(f"{figure.value:.4g}")) for figure in figures
    )
    document = slopes.SlopeFile("python -m bench.slope_trial", rounded)
    output.write_text(json.dumps(dataclasses.asdict(document), indent=1) + "\n")


if __name__ == "__main__":
    main()
