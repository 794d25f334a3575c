"""Compares the cost of the request path with a plain pass-through proxy on the same libraries.

Both run as separate processes in front of the same backend servers and are measured
alternately under the same closed-loop load. Only ratios within one run are comparable.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import platform
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

import click
import urllib3
from cheroot import wsgi
from goldcresthall_stand_ins import fleet as fleets

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import preset

SERVICE = "program"
PATH = f"/{SERVICE}/pages/today"
SERVER_COUNT = 4
SLOTS_PER_SERVER = 16
LOAD_PROCESS_COUNT = 2
LISTEN_BACKLOG = 512
PASS_THROUGH_THREADS = 64
REQUEST_TIMEOUT_S = 10.0
POLL_S = 0.05
US_PER_S = 1_000_000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRound:
    """Results of one process in one round of load.

    Attributes
    ----------
    requests
        Number of requests with status 200, without failures.
    processor_us
        Processor time of the measured process per request, including failures, in
        microseconds.
    """

    subject: str
    requests: int
    failures: int
    requests_per_s: float
    processor_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredProcess:
    """A process under load and the URL at which it accepts callers."""

    name: str
    url: str
    pid: int


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """All rounds, and ratios of the medians; a higher ratio favors the router.

    Attributes
    ----------
    callers
        Number of callers of all load processes together.
    throughput_ratio
        Requests per second of the router divided by those of the pass-through proxy.
    processor_ratio
        Processor time per request of the pass-through proxy divided by that of the router.
    """

    command: str
    machine: str
    callers: int
    turns: tuple[LoadRound, ...]
    throughput_ratio: float
    processor_ratio: float


@click.group()
def main() -> None:
    """Measure the cost of the request path."""


@main.command("bare")
@click.argument("port", type=int)
@click.argument("target_ports", type=int, nargs=-1)
def run_pass_through(port: int, target_ports: tuple[int, ...]) -> None:
    """Forward requests to the servers in rotation, without any routing decision."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    pools = [
        urllib3.HTTPConnectionPool("127.0.0.1", target, maxsize=64, retries=False)
        for target in target_ports
    ]
    request_numbers = iter(range(sys.maxsize))

    def serve(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        pool = pools[next(request_numbers) % len(pools)]
        path = "/" + environ["PATH_INFO"].lstrip("/").partition("/")[2]
        response = pool.request(
            environ["REQUEST_METHOD"], path, timeout=REQUEST_TIMEOUT_S, redirect=False
        )
        body = response.data
        start_response(f"{response.status} OK", [("Content-Length", str(len(body)))])
        return [body]

    server = wsgi.Server(
        ("127.0.0.1", port),
        serve,
        numthreads=PASS_THROUGH_THREADS,
        request_queue_size=LISTEN_BACKLOG,
    )
    server.keep_alive_conn_limit = 5_000
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    signal.sigwait({signal.SIGTERM})
    server.stop()


@main.command("load")
@click.argument("url")
@click.argument("callers", type=int)
@click.argument("seconds", type=float)
def run_load_process(url: str, callers: int, seconds: float) -> None:
    """Send requests in a closed loop from each caller; print the success and failure counts."""
    ends_at_s = time.monotonic() + seconds
    host, _, port = url.removeprefix("http://").partition("/")[0].partition(":")

    def send_requests() -> tuple[int, int]:
        answered = failed = 0
        with urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False) as pool:
            while time.monotonic() < ends_at_s:
                try:
                    status = pool.request("GET", PATH, timeout=REQUEST_TIMEOUT_S).status
                except urllib3.exceptions.HTTPError:
                    status = 0
                answered += status == fleets.STATUS_OK
                failed += status != fleets.STATUS_OK
        return answered, failed

    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        futures = [executor.submit(send_requests) for _ in range(callers)]
        counts = [future.result() for future in futures]
    click.echo(json.dumps([sum(pair[0] for pair in counts), sum(pair[1] for pair in counts)]))


@main.command("compare")
@click.option("--callers", default=8, show_default=True, help="Callers per load process.")
@click.option("--seconds", default=4.0, show_default=True, help="Duration of each round.")
@click.option("--rounds", default=4, show_default=True, help="Rounds per measured process.")
@click.option("--output", type=click.Path(dir_okay=False, path_type=pathlib.Path))
def compare(callers: int, seconds: float, rounds: int, output: pathlib.Path | None) -> None:
    """Measure the router and the pass-through proxy alternately under the same load."""
    with tempfile.TemporaryDirectory() as folder, fleets.run_fleet(pathlib.Path(folder)) as fleet:
        router, ports = _start_router(fleet)
        pass_through, pass_through_process = _start_pass_through(fleet, ports)
        try:
            turns = tuple(
                _run_load_round(subject, callers, seconds)
                for _ in range(rounds)
                for subject in (pass_through, router)
            )
        finally:
            pass_through_process.terminate()
            pass_through_process.wait(REQUEST_TIMEOUT_S)
    comparison = _compare(turns, callers * LOAD_PROCESS_COUNT)
    text = json.dumps(dataclasses.asdict(comparison), indent=2)
    if output is not None:
        output.write_text(text + "\n")
    click.echo(text)


def _start_router(fleet: fleets.Fleet) -> tuple[MeasuredProcess, tuple[int, ...]]:
    fleet.start_platform()
    configs = tuple(
        dataclasses.replace(config, slots=SLOTS_PER_SERVER, work_ms=0.0)
        for config in fleets.create_backend_configs(SERVICE, SERVER_COUNT, keyed=False)
    )
    for config in configs:
        fleet.start_backends((config,))
    router = fleet.start_router(fleet.create_settings("router-1", "domain-a"))
    route = preset.Route(method="GET", path="/pages/*", idempotent=True)
    policy = dataclasses.replace(
        fleets.create_service_policy(configs, ("domain-a",), (route,)),
        slots_per_server=SLOTS_PER_SERVER,
    )
    published = preset.Preset(name="bench", services=(policy,))
    request = messages.PublishRequest("bench", "path cost", published)
    admin_client.AdminClient(str(router.settings.listen.admin)).publish(request)
    fleet.wait_until_ok(router.callers_url + PATH)
    subject = MeasuredProcess("router", router.callers_url, router.process.pid)
    return subject, tuple(config.port for config in configs)


def _start_pass_through(
    fleet: fleets.Fleet, ports: tuple[int, ...]
) -> tuple[MeasuredProcess, subprocess.Popen[bytes]]:
    port = fleets.reserve_port()
    process = subprocess.Popen(_create_command("bare", str(port), *map(str, ports)))
    url = f"http://127.0.0.1:{port}"
    fleet.wait_until_ok(url + PATH)
    return MeasuredProcess("bare", url, process.pid), process


def _create_command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "bench.path_cost", *arguments]


def _run_load_round(subject: MeasuredProcess, callers: int, seconds: float) -> LoadRound:
    before_s = _read_processor_s(subject.pid)
    began_at_s = time.monotonic()
    command = _create_command("load", subject.url, str(callers), str(seconds))
    load_processes = [
        subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(LOAD_PROCESS_COUNT)
    ]
    counts = [
        json.loads(load.communicate(timeout=seconds + 4 * REQUEST_TIMEOUT_S)[0])
        for load in load_processes
    ]
    duration_s = time.monotonic() - began_at_s
    processor_s = _read_processor_s(subject.pid) - before_s
    answered = sum(count[0] for count in counts)
    failed = sum(count[1] for count in counts)
    return LoadRound(
        subject.name,
        answered,
        failed,
        round(answered / duration_s, 1),
        round(processor_s / max(1, answered + failed) * US_PER_S, 1),
    )


def _read_processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _compare(turns: tuple[LoadRound, ...], callers: int) -> Comparison:
    def find_median(subject: str, field: str) -> float:
        return statistics.median(
            getattr(load_round, field) for load_round in turns if load_round.subject == subject
        )

    rate = find_median("router", "requests_per_s") / find_median("bare", "requests_per_s")
    processor = find_median("bare", "processor_us") / find_median("router", "processor_us")
    return Comparison(
        command=" ".join(("python -m bench.path_cost", *sys.argv[1:])),
        machine=f"{platform.machine()}, {os.cpu_count()} processors, load {os.getloadavg()[0]:.1f}",
        callers=callers,
        turns=turns,
        throughput_ratio=round(rate, 3),
        processor_ratio=round(processor, 3),
    )


if __name__ == "__main__":
    main()
