"""Cost of at-most-once execution: latency, appends and bytes of non-idempotent requests."""

from __future__ import annotations

import base64
import concurrent.futures
import dataclasses
import gc
import json
import pathlib
import random
import re
import statistics
import sys
import tempfile
import time
import tracemalloc

import click
import urllib3
from goldcresthall_stand_ins import fleet as fleets
from goldcresthall_stand_ins import platform

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.encoding import documents
from goldcresthall.encoding import log_entries
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated

RESULTS_FOLDER = pathlib.Path(__file__).parent / "results"
DOMAINS = ("domain-a", "domain-b", "domain-c")
CALLER_COUNTS = (1, 8, 32)
ROUND_DURATION_S = 4.0
WARM_UP_REQUESTS = 50
INTENT_COUNT = 5_000
MS_PER_S = 1_000
STATUS_OK = 200
APPENDS_PATTERN = re.compile(r"^goldcresthall_log_appends_total\S* (\S+)$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRound:
    """Results of one kind of request from a number of callers, over `ROUND_DURATION_S`.

    Attributes
    ----------
    log_delay_ms
        Injected delay of the platform, in milliseconds.
    requests_per_s
        Requests with status 200 per second; the percentiles cover only these.
    refused
        Number of requests with any other status.
    """

    kind: str
    callers: int
    log_delay_ms: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float
    refused: int
    appends_per_s: float
    requests_per_append: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class IntentSize:
    """Size of one answered intent in the log and in the memory of an instance."""

    log_bytes: float
    memory_bytes: float
    answer_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class TrialResult:
    """All results of one run."""

    command: str
    seed: int
    rounds: tuple[LoadRound, ...]
    intents: tuple[IntentSize, ...]


class Harness:
    """Runs a system and sends it one kind of request at a time."""

    def __init__(self, fleet: fleets.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._pool = urllib3.PoolManager(num_pools=10, maxsize=64, retries=False)

    def start(self) -> None:
        """Start three instances and a service with four servers."""
        self._fleet.start_platform()
        configs = fleets.create_backend_configs("ordering", 4, keyed=False)
        self._fleet.start_backends(configs)
        for number, domain in enumerate(DOMAINS, start=1):
            self._fleet.start_router(self._fleet.create_settings(f"router-{number}", domain))
        policy = fleets.create_service_policy(configs, DOMAINS)
        published = preset.Preset(name="cost", services=(policy,))
        address = str(self._fleet.routers[0].settings.listen.admin)
        request = messages.PublishRequest("bench", "cost of at most once", published)
        admin_client.AdminClient(address).publish(request)
        for index in range(len(DOMAINS)):
            while self._send("GET", index)[1] != STATUS_OK:
                time.sleep(0.05)

    def run_round(self, kind: str, callers: int, log_delay_ms: int) -> LoadRound:
        """Send one kind of request from a number of callers in a closed loop."""
        self._fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=log_delay_ms))
        method = "POST" if kind == "non_idempotent" else "GET"
        for index in range(WARM_UP_REQUESTS):
            self._send(method, index % len(DOMAINS))
        appends_before = self._count_appends()
        began_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(callers) as executor:
            futures = [executor.submit(self._run_caller, method, index) for index in range(callers)]
            samples = [sample for future in futures for sample in future.result()]
        elapsed_s = time.monotonic() - began_s
        appends = self._count_appends() - appends_before
        latencies = sorted(latency for latency, status in samples if status == STATUS_OK)
        return LoadRound(
            kind=kind,
            callers=callers,
            log_delay_ms=log_delay_ms,
            requests_per_s=round(len(latencies) / elapsed_s, 1),
            p50_ms=round(statistics.median(latencies), 2),
            p99_ms=round(latencies[int(len(latencies) * 0.99)], 2),
            refused=len(samples) - len(latencies),
            appends_per_s=round(appends / elapsed_s, 1),
            requests_per_append=round(len(latencies) / appends, 2) if appends else None,
        )

    def _run_caller(self, method: str, index: int) -> list[tuple[float, int]]:
        samples = []
        ends_at_s = time.monotonic() + ROUND_DURATION_S
        while time.monotonic() < ends_at_s:
            samples.append(self._send(method, index % len(DOMAINS)))
        return samples

    def _send(self, method: str, index: int) -> tuple[float, int]:
        router = self._fleet.routers[index]
        headers = {"Idempotency-Key": f"0.{self._generator.getrandbits(128):x}"}
        began_s = time.monotonic()
        response = self._pool.request(
            method, f"{router.callers_url}/ordering/orders", headers=headers, timeout=10.0
        )
        return (time.monotonic() - began_s) * MS_PER_S, response.status

    def _count_appends(self) -> float:
        total = 0.0
        for router in self._fleet.routers:
            text = self._pool.request("GET", f"{router.admin_url}/metrics").data.decode()
            total += sum(float(value) for value in APPENDS_PATTERN.findall(text))
        return total


def measure_intents(body_bytes: int, generator: random.Random) -> IntentSize:
    """Replay `INTENT_COUNT` answered intents and return the mean size of one.

    Raises
    ------
    ValueError
        If the replay rejected an intent.
    """
    entries = [
        entry
        for _ in range(INTENT_COUNT)
        for entry in _create_entries(generator.randbytes(body_bytes), generator)
    ]
    gc.collect()
    tracemalloc.start()
    state = replicated.State.create_empty()
    for entry in entries:
        state = replay.replay_entry(entry, state).state
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if len(state.intents) != INTENT_COUNT:
        raise ValueError("replay rejected at least one intent")
    log_bytes = sum(len(entry) for entry in entries) / INTENT_COUNT
    return IntentSize(round(log_bytes), round(memory_bytes / INTENT_COUNT), body_bytes)


def _create_entries(body: bytes, generator: random.Random) -> tuple[bytes, bytes]:
    author = str(identity.Incarnation.create("router-1"))
    key = intents.IdempotencyKey(0, f"{generator.getrandbits(128):x}")
    recorded = intents.IntentRecorded(
        record_id=identity.create_record_id(),
        base=0,
        author=author,
        reason="about to dispatch",
        service="ordering",
        key=key,
        digest=f"{generator.getrandbits(128):x}",
        attempt=1,
    )
    headers = (outcomes.Header("Content-Type", "application/json"),)
    answer = intents.RecordedAnswer(200, headers, base64.b64encode(body).decode())
    concluded = intents.IntentConcluded(
        record_id=identity.create_record_id(),
        base=0,
        author=author,
        reason="attempt ended",
        service="ordering",
        key=key,
        digest=recorded.digest,
        attempt=1,
        intent_id=recorded.record_id,
        conclusion=intents.Conclusion.ANSWERED,
        server="ordering-1",
        status=200,
        answer_digest=f"{generator.getrandbits(128):x}",
        answer=answer if body else None,
    )
    return log_entries.encode_record(recorded), log_entries.encode_record(concluded)


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
def main(seed: int) -> None:
    """Compare idempotent with non-idempotent requests and write the result as JSON."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleets.run_fleet(pathlib.Path(folder)) as fleet,
    ):
        harness = Harness(fleet, seed)
        harness.start()
        rounds = tuple(
            harness.run_round(kind, callers, delay_ms)
            for delay_ms in (0, 5)
            for callers in CALLER_COUNTS
            for kind in ("idempotent", "non_idempotent")
        )
    generator = random.Random(seed)
    measured = tuple(measure_intents(size, generator) for size in (0, 120, 1_000))
    result = TrialResult(f"python -m bench.once_cost --seed {seed}", seed, rounds, measured)
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    path = RESULTS_FOLDER / f"once-cost-{seed}.json"
    path.write_text(json.dumps(documents.to_json_value(result), indent=1) + "\n")
    click.echo(path.read_text())


if __name__ == "__main__":
    sys.exit(main())
