"""Measures the per-unit costs (slopes) from which the capacity page is computed."""

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

STABILIZATION_DELAY_S = 6.0
IDLE_WINDOW_S = 10.0
REPLAYED_RECORDS = 5_000
STATE_PARTITIONS = 20_000
COUNTED_REQUESTS = 200_000
CLOSED_LOOP_REQUESTS = 4_000
CLOSED_LOOP_CONNECTIONS = 8
BYTES_PER_KIB = 1_024
US_PER_S = 1_000_000
SLOPES_FILE = pathlib.Path(__file__).parent / "slopes.json"
DOMAINS = ("one", "two", "three")


@dataclasses.dataclass(frozen=True, slots=True)
class ImportedMemory:
    """Resident memory of a process that has only imported the product."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleFleet:
    """Idle resource usage of router instances with keyed servers."""

    instances: int
    servers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Processor time to replay a record, and the encoded size of a record."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateSize:
    """Memory, snapshot size and encoding cost of the replicated state."""


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedSizes:
    """Encoded sizes of a preset and of an entry in the instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCounting:
    """Cost of counting the key of a request in the sketch of hot keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class PathCost:
    """Cost per request of one router process under a closed loop of eight connections."""

    policy: policies.Policy


Measurement = (
    ImportedMemory | IdleFleet | Replay | StateSize | EncodedSizes | KeyCounting | PathCost
)

MEASUREMENTS: tuple[Measurement, ...] = (
    ImportedMemory(),
    Replay(),
    StateSize(),
    EncodedSizes(),
    KeyCounting(),
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
def measure(measurement: Measurement) -> tuple[slopes.Metric, ...]:
    """Run one measurement and return its values."""
    raise NotImplementedError(type(measurement).__name__)


@measure.register
def _(measurement: ImportedMemory) -> tuple[slopes.Metric, ...]:
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
    return (slopes.Metric("imported_resident", usage.resident_mib, "MiB"),)


@measure.register
def _(measurement: IdleFleet) -> tuple[slopes.Metric, ...]:
    policy = policies.Product()
    scaled = _create_keyed_preset(measurement.servers)
    with tempfile.TemporaryDirectory() as name:
        context = system.run_system(
            pathlib.Path(name), scaled, policy, router_count=measurement.instances, seed=1
        )
        with context as running:
            time.sleep(STABILIZATION_DELAY_S)
            process_ids = running.router_process_ids
            bytes_before = [processes.read_socket_bytes(process_id) for process_id in process_ids]
            before = [processes.read_usage(process_id) for process_id in process_ids]
            began_at_s = time.monotonic()
            time.sleep(IDLE_WINDOW_S)
            window_s = time.monotonic() - began_at_s
            after = [processes.read_usage(process_id) for process_id in process_ids]
            bytes_after = [processes.read_socket_bytes(process_id) for process_id in process_ids]
    sent = [end.sent - start.sent for start, end in zip(bytes_before, bytes_after, strict=True)]
    received = [
        end.received - start.received for start, end in zip(bytes_before, bytes_after, strict=True)
    ]
    cpu_s = [end.processor_s - start.processor_s for start, end in zip(before, after, strict=True)]
    label = f"{measurement.instances}x{measurement.servers}"
    return (
        slopes.Metric(f"idle_core_share_mean_{label}", sum(cpu_s) / len(cpu_s) / window_s, "cores"),
        slopes.Metric(f"idle_core_share_max_{label}", max(cpu_s) / window_s, "cores"),
        slopes.Metric(f"idle_resident_{label}", max(usage.resident_mib for usage in after), "MiB"),
        slopes.Metric(f"idle_sent_mean_{label}", sum(sent) / len(sent) / window_s, "bytes/s"),
        slopes.Metric(
            f"idle_received_mean_{label}", sum(received) / len(received) / window_s, "bytes/s"
        ),
        slopes.Metric(f"idle_threads_{label}", max(usage.threads for usage in after), "threads"),
    )


@measure.register
def _(measurement: Replay) -> tuple[slopes.Metric, ...]:
    del measurement
    entries = [log_entries.encode_record(record) for record in _create_moves(REPLAYED_RECORDS)]
    state = _create_state(REPLAYED_RECORDS)
    began_at_s = time.process_time()
    for entry in entries:
        state = replay.replay_entry(entry, state).state
    cpu_s = time.process_time() - began_at_s
    return (
        slopes.Metric("replay_per_record", cpu_s / len(entries) * US_PER_S, "us"),
        slopes.Metric("record_size", sum(map(len, entries)) / len(entries), "bytes"),
    )


@measure.register
def _(measurement: StateSize) -> tuple[slopes.Metric, ...]:
    del measurement
    gc.collect()
    tracemalloc.start()
    state = _create_state(STATE_PARTITIONS, owned=True)
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began_at_s = time.process_time()
    encoded = state_encoding.encode_state(state)
    cpu_s = time.process_time() - began_at_s
    snapshot_bytes = sum(len(piece) for piece in encoded.pieces)
    return (
        slopes.Metric("state_per_partition", state_bytes / STATE_PARTITIONS, "bytes"),
        slopes.Metric("snapshot_per_partition", snapshot_bytes / STATE_PARTITIONS, "bytes"),
        slopes.Metric("snapshot_cpu_per_partition", cpu_s / STATE_PARTITIONS * US_PER_S, "us"),
    )


@measure.register
def _(measurement: EncodedSizes) -> tuple[slopes.Metric, ...]:
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
    entry = identity.InstanceEntry("entry-1", "molde", address, identity.InstanceStatus.LIVE)
    return (
        slopes.Metric(
            "preset_per_server", len(log_entries.encode_record(published)) / server_count, "bytes"
        ),
        slopes.Metric("instance_entry", len(documents.encode_document(entry)), "bytes"),
    )


@measure.register
def _(measurement: KeyCounting) -> tuple[slopes.Metric, ...]:
    del measurement
    load = workload.Workload(kinds=(), phases=())
    sampler = workload.KeySampler(20_000, load.zipf_exponent)
    generator = random.Random(1)
    keys = [f"key-{sampler.draw(generator)}" for _ in range(COUNTED_REQUESTS)]
    key_sketch = sketch.SpaceSaving(128)
    began_at_s = time.process_time()
    for key in keys:
        key_sketch.count(key)
    cpu_s = time.process_time() - began_at_s
    return (slopes.Metric("sketch_per_request", cpu_s / COUNTED_REQUESTS * US_PER_S, "us"),)


@measure.register
def _(measurement: PathCost) -> tuple[slopes.Metric, ...]:
    scaled = _create_unkeyed_preset(4)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        context = system.run_system(folder, scaled, measurement.policy, router_count=1, seed=1)
        with context as running:
            before = processes.read_usage(running.router_process_ids[0])
            collected = _send_load(running, folder)
            after = processes.read_usage(running.router_process_ids[0])
    answered = [sample for sample in collected if sample.verdict is samples.Verdict.ANSWERED]
    duration_s = max(sample.latency_s for sample in collected)
    label = measurement.policy.name.replace(" ", "_")
    cpu_s = after.processor_s - before.processor_s
    return (
        slopes.Metric(f"path_cpu_per_request_{label}", cpu_s / len(collected) * US_PER_S, "us"),
        slopes.Metric(f"path_requests_per_s_{label}", len(answered) / duration_s, "1/s"),
        slopes.Metric(f"path_resident_{label}", after.resident_mib, "MiB"),
    )


def _send_load(running: system.RunningSystem, folder: pathlib.Path) -> tuple[samples.Sample, ...]:
    kind = workload.RequestKind("pool", "GET", "/pages/{key}", 1.0, 0.0, users.SHORT, 20_000)
    arrivals = tuple(
        workload.Arrival(number, 0.0, 0, number, 0.0) for number in range(CLOSED_LOOP_REQUESTS)
    )
    config = sender.SenderConfig(
        start_at_s=time.monotonic() + runner.START_DELAY_S,
        connections=CLOSED_LOOP_CONNECTIONS,
        targets=running.caller_urls,
        kinds=(kind,),
        arrivals=arrivals,
        run_id=folder.name,
    )
    return runner.collect_samples(*runner.start_worker(config, folder, 0))


def _create_keyed_preset(count: int) -> users.ScaledPreset:
    route = preset.Route(method="GET", path="/items/{key}", idempotent=True)
    return _create_scaled_preset("keyed", count, route, keyed=True)


def _create_unkeyed_preset(count: int) -> users.ScaledPreset:
    route = preset.Route(method="GET", path="/pages/{any}", idempotent=True)
    return _create_scaled_preset("pool", count, route, keyed=False)


def _create_scaled_preset(
    service: str, count: int, route: preset.Route, *, keyed: bool
) -> users.ScaledPreset:
    configs = fleets.create_backend_configs(service, count, keyed=keyed)
    policy = fleets.create_service_policy(configs, DOMAINS, (route,), partitions=256)
    return users.ScaledPreset(preset.Preset(name="slopes", services=(policy,)), configs)


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
    """Run all measurements and write the results as JSON."""
    figures: list[slopes.Metric] = []
    for measurement in MEASUREMENTS:
        click.echo(str(measurement))
        collected = measure(measurement)
        for measured in collected:
            click.echo(f"  {measured.name} {measured.value:.4g} {measured.unit}")
        figures.extend(collected)
    rounded = tuple(
        dataclasses.replace(measured, value=float(f"{measured.value:.4g}")) for measured in figures
    )
    document = slopes.SlopeFile("python -m bench.slope_trial", rounded)
    output.write_text(json.dumps(dataclasses.asdict(document), indent=1) + "\n")


if __name__ == "__main__":
    main()
