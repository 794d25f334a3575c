"""Measures how long keys are unavailable after a failure, and the idle cost of leases.

Run as ``python -m bench.served_again --kind server --losses 30 --seed 1`` with ``src``,
``stand_ins/src`` and the root of the repository on the search path. It prints JSON with
percentiles in seconds over all failures; each failure counts with its worst sampled key.
The value of a key is the time until its first response after the failure of a server, and
the longest gap between its responses after the failure of a lessor.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import re
import sys
import tempfile
import threading
import time
from typing import Any

import click
import urllib3
from goldcresthall_stand_ins import fleet as fleets

from bench import byte_relay
from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import settings

DOMAINS = ("domain-a", "domain-b", "domain-c")
ROUTER_COUNT = 4
SERVER_COUNT = 6
KEY_COUNT = 400
RELAYED_SERVER = "archive-1"
MAX_SAMPLED_KEYS = 8
OBSERVATION_S = 2.5
REQUEST_DEADLINE_MS = 200
POLL_INTERVAL_S = 0.005
IDLE_WINDOW_S = 10.0
STABILIZATION_DELAY_S = 2.0
MAX_WAIT_S = 60.0
STATUS_OK = 200
ROUTE = preset.Route(method="GET", path="/items/{key}", idempotent=True, deadline_ms=5_000)
RENEWALS_PATTERN = re.compile(
    r'^goldcresthall_lease_renewals_total\{status="renewed"\} (\S+)', re.M
)


@dataclasses.dataclass(frozen=True, slots=True)
class TimedResponse:
    """Time of a response for a key, by the monotonic clock of this process."""

    key: str
    at_s: float


class Harness:
    """Runs a system and injects failures of servers and lessors."""

    def __init__(self, fleet: fleets.Fleet, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator
        self._pool = urllib3.PoolManager(num_pools=20, maxsize=64, retries=False)
        self._backends: dict[str, fleets.BackendProcess] = {}
        self._configs = fleets.create_backend_configs("archive", SERVER_COUNT, keyed=True)
        relayed_config = self._configs[0]
        self._relay = byte_relay.ByteRelay(
            identity.Address(relayed_config.host, relayed_config.port)
        )

    def start(self) -> None:
        """Start all processes, publish a preset and wait until the system is stable."""
        self._fleet.start_platform()
        for config in self._configs:
            self._backends[config.name] = self._fleet.start_backends((config,))
        for number in range(ROUTER_COUNT):
            domain = DOMAINS[number % len(DOMAINS)]
            self._fleet.start_router(self._fleet.create_settings(f"router-{number}", domain))
        policy = fleets.create_service_policy(self._configs, DOMAINS, (ROUTE,), partitions=64)
        first = dataclasses.replace(policy.servers[0], address=self._relay.address)
        policy = dataclasses.replace(policy, servers=(first, *policy.servers[1:]))
        published = preset.Preset(name="bench", services=(policy,))
        result = self._admin().publish(messages.PublishRequest("bench", "bench", published))
        if result.outcome != "accepted":
            raise SystemExit(f"preset was not accepted: {result}")
        self._wait_until_stable()

    def measure_idle(self) -> dict[str, float]:
        """Return lease renewals per server and the bytes of one server, per second without load."""
        renewals = self._count_renewals()
        bytes_before = self._relay.byte_count
        time.sleep(IDLE_WINDOW_S)
        return {
            "renewals_per_server_per_s": (self._count_renewals() - renewals)
            / IDLE_WINDOW_S
            / SERVER_COUNT,
            "lease_bytes_per_server_per_s": (self._relay.byte_count - bytes_before) / IDLE_WINDOW_S,
        }

    def measure_server_failure(self) -> float:
        """Kill a server; return the longest time until a sampled key is answered again."""
        owner_names = [item.name for item in self._read_status().servers if item.partitions]
        name = self._generator.choice([item for item in owner_names if item != RELAYED_SERVER])
        keys = self._find_keys({name})
        failed_at_s, responses = self._observe_failure(keys, lambda: self._kill_backend(name))
        config = self._backends[name].configs[0]
        self._backends[name] = self._fleet.start_backends((config,))
        self._wait_until_stable()
        return _find_longest_wait(keys, failed_at_s, responses)

    def measure_lessor_failure(self) -> float:
        """Kill the lessor of a server; return the longest gap between responses for one key."""
        servers = self._read_status().servers
        lessor = self._generator.choice([item for item in servers if item.partitions]).lessor
        keys = self._find_keys({item.name for item in servers if item.lessor == lessor})
        name = lessor.partition("/")[0]
        router = next(item for item in self._fleet.routers if item.settings.name == name)
        failed_at_s, responses = self._observe_failure(
            keys, lambda: self._fleet.kill(router.process), excluded_router=router
        )
        self._restart(router.settings)
        return _find_longest_gap(keys, failed_at_s, responses)

    def _admin(self) -> admin_client.AdminClient:
        return admin_client.AdminClient(str(self._fleet.routers[0].settings.listen.admin))

    def _read_status(self) -> messages.StatusView:
        return self._admin().fetch("/status", messages.StatusView)

    def _restart(self, router_settings: settings.Settings) -> None:
        self._fleet.start_router(router_settings)
        self._wait_until_stable()

    def _kill_backend(self, name: str) -> None:
        self._fleet.kill(self._backends[name].process)

    def _count_renewals(self) -> float:
        total = 0.0
        for router in self._fleet.routers:
            text = self._pool.request("GET", f"{router.admin_url}/metrics").data.decode()
            total += sum(float(value) for value in RENEWALS_PATTERN.findall(text))
        return total

    def _wait_until_stable(self) -> None:
        ends_at_s = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < ends_at_s:
            status = self._read_status()
            if len(status.servers) == SERVER_COUNT and not any(
                item.lost for item in status.servers
            ):
                time.sleep(STABILIZATION_DELAY_S)
                return
            time.sleep(POLL_INTERVAL_S)
        raise SystemExit("system did not become stable in time")

    def _find_keys(self, owners: set[str]) -> list[str]:
        keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self._generator.shuffle(keys)
        owned_keys = []
        for key in keys:
            path = f"/explain?service=archive&key={key}"
            if self._admin().fetch(path, messages.KeyView).owner in owners:
                owned_keys.append(key)
            if len(owned_keys) == MAX_SAMPLED_KEYS:
                break
        if not owned_keys:
            raise LookupError(f"none of the test keys is owned by {owners}")
        return owned_keys

    def _observe_failure(
        self,
        keys: list[str],
        inject_failure: Any,
        excluded_router: fleets.RouterProcess | None = None,
    ) -> tuple[float, list[TimedResponse]]:
        routers = [item for item in self._fleet.routers if item is not excluded_router]
        responses: list[TimedResponse] = []
        stopped = threading.Event()
        threads = [
            threading.Thread(target=self._poll_key, args=(key, routers, responses, stopped))
            for key in keys
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5 + self._generator.random() / 2)
        failed_at_s = time.monotonic()
        inject_failure()
        time.sleep(OBSERVATION_S)
        stopped.set()
        for thread in threads:
            thread.join()
        return failed_at_s, responses

    def _poll_key(
        self,
        key: str,
        routers: list[fleets.RouterProcess],
        responses: list[TimedResponse],
        stopped: threading.Event,
    ) -> None:
        url = f"{routers[hash(key) % len(routers)].callers_url}/archive/items/{key}"
        headers = {"Goldcresthall-Deadline-Ms": str(REQUEST_DEADLINE_MS)}
        while not stopped.wait(POLL_INTERVAL_S):
            response = self._pool.request("GET", url, headers=headers, timeout=MAX_WAIT_S)
            if response.status == STATUS_OK:
                responses.append(TimedResponse(key, time.monotonic()))


def _find_longest_wait(
    keys: list[str], failed_at_s: float, responses: list[TimedResponse]
) -> float:
    durations_s = []
    for key in keys:
        after = [
            item.at_s for item in responses if item.key == key and item.at_s > failed_at_s + 0.01
        ]
        durations_s.append(min(after) - failed_at_s if after else OBSERVATION_S)
    return max(durations_s)


def _find_longest_gap(keys: list[str], failed_at_s: float, responses: list[TimedResponse]) -> float:
    gaps = []
    for key in keys:
        times = sorted(item.at_s for item in responses if item.key == key)
        begins = [failed_at_s, *(at_s for at_s in times if at_s > failed_at_s)]
        ends = [*begins[1:], failed_at_s + OBSERVATION_S]
        gaps.append(max(end - begin for begin, end in zip(begins, ends, strict=True)))
    return max(gaps)


def summarize(values: list[float]) -> dict[str, float]:
    """Return percentiles of durations in seconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "count": len(ordered),
        "p50_s": round(ordered[last // 2], 3),
        "p99_s": round(ordered[round(last * 0.99)], 3),
        "max_s": round(ordered[-1], 3),
    }


@click.command()
@click.option("--losses", default=30, show_default=True, help="Number of failures.")
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option(
    "--kind",
    type=click.Choice(["server", "lessor"]),
    default="server",
    show_default=True,
    help="What fails.",
)
def main(losses: int, seed: int, kind: str) -> None:
    """Kill servers or lessors in sequence and print how long keys were unavailable."""
    generator = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder, fleets.run_fleet(pathlib.Path(folder)) as fleet:
        harness = Harness(fleet, generator)
        harness.start()
        idle_cost = harness.measure_idle()
        measure_failure = {
            "server": harness.measure_server_failure,
            "lessor": harness.measure_lessor_failure,
        }[kind]
        durations_s = [measure_failure() for _ in range(losses)]
    document = {
        "command": f"python -m bench.served_again --kind {kind} --losses {losses} --seed {seed}",
        "routers": ROUTER_COUNT,
        "servers": SERVER_COUNT,
        "at_rest": {name: round(value, 2) for name, value in idle_cost.items()},
        "lost": kind,
        "waited": summarize(durations_s),
    }
    json.dump(document, sys.stdout, indent=2)
    click.echo()


if __name__ == "__main__":
    main()
