"""Computes the tables of docs/CAPACITY.md from measured per-unit costs (slopes)."""

from __future__ import annotations

import dataclasses
import pathlib

import click

from bench import slopes
from goldcresthall.encoding import documents

BENCH_FOLDER = pathlib.Path(__file__).parent
SLOPES_FILE = BENCH_FOLDER / "slopes.json"
PAGE_FILE = BENCH_FOLDER.parent / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- computed by python -m bench.capacity: begin -->"
END_MARK = "<!-- computed by python -m bench.capacity: end -->"

US_PER_S = 1_000_000
BYTES_PER_KIB = 1_024
BYTES_PER_MIB = 1_048_576
SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Projected size of the system in two years, and assumptions where none was given.

    Attributes
    ----------
    servers, keyed_servers
        Not given; assumes today's ratio of servers to instances.
    partitions
        Not given; assumes 16 for each keyed server, so that each move shifts little load.
    non_idempotent_share
        Not given; assumes the share of orders in the benchmark's profile of Minnelys.
    """

    nodes: int = 920
    keys: int = 690_000_000
    requests_per_s: int = 5_700_000
    core_share: float = 0.016
    memory_mib: float = 32.0
    control_bytes_per_s: int = 4_096
    presets_per_day: int = 550
    nodes_replaced_per_day: int = 303
    servers: int = 3_956
    keyed_servers: int = 1_288
    partitions: int = 20_608
    non_idempotent_share: float = 0.05
    append_batch: int = 200
    appends_per_s: int = 300
    candidates: int = 3
    connections_per_server: int = 130

    @property
    def requests_per_node(self) -> float:
        """Requests per second that one node handles."""
        return self.requests_per_s / self.nodes

    @property
    def servers_per_lessor(self) -> float:
        """Number of keyed servers whose leases one node renews."""
        return self.keyed_servers / self.nodes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One table row: the required amount of a resource at the projected size and its bound."""

    role: str
    resource: str
    required: float
    unit: str
    bound: float
    bound_name: str

    @property
    def is_within_bound(self) -> bool:
        """Whether today's design provides the required amount."""
        return self.required <= self.bound


def compute_rows(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    """Return all rows, grouped by role."""
    return (
        *_compute_request_path(target, measured),
        *_compute_leases(target, measured),
        *_compute_peer(target, measured),
        *_compute_log(target, measured),
        *_compute_list(target, measured),
        *_compute_server(target),
    )


def _compute_request_path(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    product_us = measured.find("path_cpu_per_request_product")
    baseline_us = measured.find("path_cpu_per_request_round_robin")
    sketch_us = measured.find("sketch_per_request")
    cores = target.requests_per_node * product_us / US_PER_S
    baseline_cores = target.requests_per_node * baseline_us / US_PER_S
    sketch_cores = target.requests_per_node * sketch_us / US_PER_S
    return (
        Row("entry", "processor for requests", cores, "cores", 1.0, "one interpreter"),
        Row(
            "entry",
            "processor for requests, pass-through baseline",
            baseline_cores,
            "cores",
            1.0,
            "one interpreter",
        ),
        Row(
            "entry",
            "processor for counting hot keys",
            sketch_cores,
            "cores",
            target.core_share,
            "control share",
        ),
        Row(
            "entry",
            "memory after imports",
            measured.find("imported_resident"),
            "MiB",
            target.memory_mib,
            "control memory",
        ),
        Row(
            "entry",
            "idle memory, 12 instances and 12 servers",
            measured.find("idle_resident_12x12"),
            "MiB",
            target.memory_mib,
            "control memory",
        ),
    )


def _compute_leases(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    idle_cores = measured.find("idle_core_share_mean_6x6")
    cores_24_servers = measured.find("idle_core_share_mean_6x24")
    cores_per_lease = (cores_24_servers - idle_cores) / ((24 - 6) / 6)
    threads_6_servers = measured.find("idle_threads_6x6")
    threads_per_server = (measured.find("idle_threads_6x24") - threads_6_servers) / (24 - 6)
    cores = cores_per_lease * target.servers_per_lessor
    threads = threads_6_servers + threads_per_server * target.keyed_servers
    state_mib = target.partitions * measured.find("state_per_partition") / BYTES_PER_MIB
    return (
        Row(
            "any role",
            "idle processor, one lease",
            idle_cores,
            "cores",
            target.core_share,
            "control share",
        ),
        Row(
            "lessor", "processor for its leases", cores, "cores", target.core_share, "control share"
        ),
        Row("candidate", "threads of lease managers", threads, "threads", 200.0, "threads today"),
        Row("any role", "replicated state", state_mib, "MiB", target.memory_mib, "control memory"),
    )


def _compute_peer(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    # Fleets are named INSTANCESxSERVERS: the first two have one lease per instance, the last
    # has four.
    traffic_6 = _sum_directions(measured, "6x6")
    traffic_12 = _sum_directions(measured, "12x12")
    traffic_24 = _sum_directions(measured, "6x24")
    per_instance = (traffic_12 - traffic_6) / (12 - 6)
    per_lease = (traffic_24 - traffic_6) / (4 - 1)
    projected_traffic = (
        traffic_6 + per_instance * (target.nodes - 6) + per_lease * (target.servers_per_lessor - 1)
    )
    bound = target.control_bytes_per_s
    return (
        Row("peer", "control traffic, 12 instances", traffic_12, "B/s", bound, "control traffic"),
        Row("lessor", "control traffic per lease", per_lease, "B/s", bound, "control traffic"),
        Row(
            "peer",
            "control traffic, extrapolated",
            projected_traffic,
            "B/s",
            bound,
            "control traffic",
        ),
    )


def _sum_directions(measured: slopes.SlopeFile, size: str) -> float:
    sent = measured.find(f"idle_sent_mean_{size}")
    return sent + measured.find(f"idle_received_mean_{size}")


def _compute_log(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    intents = target.requests_per_s * target.non_idempotent_share
    intent_bytes = intents * measured.find("record_size")
    intent_cores = intents * measured.find("replay_per_record") / US_PER_S
    preset_bytes = target.servers * measured.find("preset_per_server")
    preset_rate = preset_bytes * target.presets_per_day / SECONDS_PER_DAY
    appointments = target.nodes_replaced_per_day * target.servers_per_lessor
    ownership_rate = appointments / SECONDS_PER_DAY
    snapshot = target.partitions * measured.find("snapshot_per_partition") / BYTES_PER_KIB
    appends = intents / target.append_batch
    return (
        Row(
            "log",
            "appends for intents in full batches",
            appends,
            "1/s",
            target.appends_per_s,
            "append rate",
        ),
        Row(
            "log",
            "intents read by each node",
            intent_bytes,
            "B/s",
            target.control_bytes_per_s,
            "control traffic",
        ),
        Row(
            "replica",
            "replay of all intents",
            intent_cores,
            "cores",
            target.core_share,
            "control share",
        ),
        Row(
            "log",
            "presets read by each node",
            preset_rate,
            "B/s",
            target.control_bytes_per_s,
            "control traffic",
        ),
        Row(
            "proposer",
            "lessor appointments for replaced nodes",
            ownership_rate,
            "1/s",
            target.appends_per_s,
            "append rate",
        ),
        Row("log", "one snapshot", snapshot, "KiB", 1_024.0, "limit of one read"),
    )


def _compute_list(target: Target, measured: slopes.SlopeFile) -> tuple[Row, ...]:
    bytes_per_s = target.nodes * measured.find("instance_entry")
    return (
        Row(
            "instance list",
            "read by each node every second",
            bytes_per_s,
            "B/s",
            target.control_bytes_per_s,
            "control traffic",
        ),
    )


def _compute_server(target: Target) -> tuple[Row, ...]:
    return (
        Row(
            "backend server",
            "connections, one from each node",
            target.nodes,
            "connections",
            target.connections_per_server,
            "connection limit",
        ),
        Row(
            "backend server",
            "lease probes by candidates",
            target.candidates / 0.15,
            "1/s",
            50.0,
            "one slot",
        ),
    )


def render_table(rows: tuple[Row, ...]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| role | resource | required | bound | within bound |", "|---|---|---:|---:|---|"]
    for row in rows:
        within_bound = "yes" if row.is_within_bound else "**no**"
        required = f"{_format_value(row.required)} {row.unit}"
        bound = f"{_format_value(row.bound)} ({row.bound_name})"
        lines.append(f"| {row.role} | {row.resource} | {required} | {bound} | {within_bound} |")
    return "\n".join(lines)


def render_slopes(measured: slopes.SlopeFile) -> str:
    """Return the measured values as a Markdown table."""
    lines = ["| figure | value | unit |", "|---|---:|---|"]
    lines.extend(
        f"| `{item.name}` | {_format_value(item.value)} | {item.unit} |"
        for item in measured.figures
    )
    return "\n".join(lines)


def render(measured: slopes.SlopeFile) -> str:
    """Return the computed section of the page."""
    table = render_table(compute_rows(Target(), measured))
    return f"{table}\n\n### Measured slopes\n\n{render_slopes(measured)}"


def replace_computed(page: str, computed: str) -> str:
    """Return the page with its computed section replaced.

    Raises
    ------
    ValueError
        If the page lacks the begin or the end mark.
    """
    begin = page.index(BEGIN_MARK) + len(BEGIN_MARK)
    end = page.index(END_MARK)
    return f"{page[:begin]}\n{computed}\n{page[end:]}"


def read_slopes() -> slopes.SlopeFile:
    """Return the committed slopes."""
    return documents.decode_document(SLOPES_FILE.read_bytes(), slopes.SlopeFile)


def _format_value(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"  # noqa: PLR2004


@click.command()
def main() -> None:
    """Rewrite the computed section of docs/CAPACITY.md."""
    page = PAGE_FILE.read_text()
    PAGE_FILE.write_text(replace_computed(page, render(read_slopes())))


if __name__ == "__main__":
    main()
