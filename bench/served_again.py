"""Measures the time until keys are served again, and what leases cost at rest.

Run it as ``python -m bench.served_again --kind server --losses 30 --seed 1`` with
``src``, ``stand_ins/src`` and the repository's root on the search path. It prints
JSON: seconds over all losses, each the longest over the keys that were sampled. For a
server that is the time until an answer, for a lessor the longest gap between answers.
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
ROUTERS = 4
SERVERS = 6
KEYS = 400
RELAYED = "archive-1"
SAMPLED_KEYS = 8
WATCH_S = 2.5
REQUEST_DEADLINE_MS = 200
PAUSE_S = 0.005
REST_S = 10.0
SETTLE_S = 2.0
GIVE_UP_S = 60.0
STATUS_OK = 200
ROUTE = preset.Route(method="GET", path="/items/{key}", idempotent=True, deadline_ms=5_000)
RENEWALS = re.compile(r'^goldcresthall_lease_renewals_total\{status="renewed"\} (\S+)', re.M)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """When a key was answered, by this process's monotonic clock."""

    key: str
    at_s: float


class Bench:
    """One running system, and losses in it."""

    def __init__(self, fleet: fleets.Fleet, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator
        self._pool = urllib3.PoolManager(num_pools=20, maxsize=64, retries=False)
        self._backends: dict[str, fleets.BackendProcess] = {}
        self._configs = fleets.create_backend_configs("archive", SERVERS, keyed=True)
        relayed = self._configs[0]
        self._relay = byte_relay.ByteRelay(identity.Address(relayed.host, relayed.port))

    def start(self) -> None:
        """Start all processes and put a preset in force."""
        self._fleet.start_platform()
        for config in self._configs:
            self._backends[config.name] = self._fleet.start_backends((config,))
        for number in range(ROUTERS):
            domain = DOMAINS[number % len(DOMAINS)]
            self._fleet.start_router(self._fleet.create_settings(f"router-{number}", domain))
        policy = fleets.create_service_policy(self._configs, DOMAINS, (ROUTE,), partitions=64)
        first = dataclasses.replace(policy.servers[0], address=self._relay.address)
        policy = dataclasses.replace(policy, servers=(first, *policy.servers[1:]))
        published = preset.Preset(name="bench", services=(policy,))
        result = self._admin().publish(messages.PublishRequest("bench", "bench", published))
        if result.outcome != "accepted":
            raise SystemExit(f"publish: {result}")
        self._wait_until_settled()

    def measure_rest(self) -> dict[str, float]:
        """Return renewals and bytes for each server and second with no requests."""
        renewals = self._count_renewals()
        counted = self._relay.byte_count
        time.sleep(REST_S)
        return {
            "renewals_per_server_per_s": (self._count_renewals() - renewals) / REST_S / SERVERS,
            "lease_bytes_per_server_per_s": (self._relay.byte_count - counted) / REST_S,
        }

    def lose_server(self) -> float:
        """Kill a server; return the longest time until one of its keys is answered."""
        owning = [item.name for item in self._read_status().servers if item.partitions]
        name = self._generator.choice([item for item in owning if item != RELAYED])
        keys = self._find_keys({name})
        lost_at_s, answers = self._watch(keys, lambda: self._kill_backend(name))
        config = self._backends[name].configs[0]
        self._backends[name] = self._fleet.start_backends((config,))
        self._wait_until_settled()
        return _find_longest_wait(keys, lost_at_s, answers)

    def lose_lessor(self) -> float:
        """Kill a server's lessor; return the longest gap between answers of its keys."""
        servers = self._read_status().servers
        chosen = self._generator.choice([item for item in servers if item.partitions]).lessor
        keys = self._find_keys({item.name for item in servers if item.lessor == chosen})
        name = chosen.partition("/")[0]
        router = next(item for item in self._fleet.routers if item.settings.name == name)
        lost_at_s, answers = self._watch(
            keys, lambda: self._fleet.kill(router.process), without=router
        )
        self._restart(router.settings)
        return _find_longest_gap(keys, lost_at_s, answers)

    def _admin(self) -> admin_client.AdminClient:
        return admin_client.AdminClient(str(self._fleet.routers[0].settings.listen.admin))

    def _read_status(self) -> messages.StatusView:
        return self._admin().fetch("/status", messages.StatusView)

    def _restart(self, router_settings: settings.Settings) -> None:
        self._fleet.start_router(router_settings)
        self._wait_until_settled()

    def _kill_backend(self, name: str) -> None:
        self._fleet.kill(self._backends[name].process)

    def _count_renewals(self) -> float:
        total = 0.0
        for router in self._fleet.routers:
            text = self._pool.request("GET", f"{router.admin_url}/metrics").data.decode()
            total += sum(float(value) for value in RENEWALS.findall(text))
        return total

    def _wait_until_settled(self) -> None:
        ends_at_s = time.monotonic() + GIVE_UP_S
        while time.monotonic() < ends_at_s:
            status = self._read_status()
            if len(status.servers) == SERVERS and not any(item.lost for item in status.servers):
                time.sleep(SETTLE_S)
                return
            time.sleep(PAUSE_S)
        raise SystemExit("the system did not settle")

    def _find_keys(self, owners: set[str]) -> list[str]:
        keys = [f"key-{number}" for number in range(KEYS)]
        self._generator.shuffle(keys)
        found = []
        for key in keys:
            path = f"/explain?service=archive&key={key}"
            if self._admin().fetch(path, messages.KeyView).owner in owners:
                found.append(key)
            if len(found) == SAMPLED_KEYS:
                break
        if not found:
            raise LookupError(f"no key is owned by {owners}")
        return found

    def _watch(
        self, keys: list[str], lose: Any, without: fleets.RouterProcess | None = None
    ) -> tuple[float, list[Answer]]:
        routers = [item for item in self._fleet.routers if item is not without]
        answers: list[Answer] = []
        ending = threading.Event()
        threads = [
            threading.Thread(target=self._ask, args=(key, routers, answers, ending)) for key in keys
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5 + self._generator.random() / 2)
        lost_at_s = time.monotonic()
        lose()
        time.sleep(WATCH_S)
        ending.set()
        for thread in threads:
            thread.join()
        return lost_at_s, answers

    def _ask(
        self,
        key: str,
        routers: list[fleets.RouterProcess],
        answers: list[Answer],
        ending: threading.Event,
    ) -> None:
        url = f"{routers[hash(key) % len(routers)].callers_url}/archive/items/{key}"
        headers = {"Goldcresthall-Deadline-Ms": str(REQUEST_DEADLINE_MS)}
        while not ending.wait(PAUSE_S):
            response = self._pool.request("GET", url, headers=headers, timeout=GIVE_UP_S)
            if response.status == STATUS_OK:
                answers.append(Answer(key, time.monotonic()))


def _find_longest_wait(keys: list[str], lost_at_s: float, answers: list[Answer]) -> float:
    waits = []
    for key in keys:
        after = [item.at_s for item in answers if item.key == key and item.at_s > lost_at_s + 0.01]
        waits.append(min(after) - lost_at_s if after else WATCH_S)
    return max(waits)


def _find_longest_gap(keys: list[str], lost_at_s: float, answers: list[Answer]) -> float:
    gaps = []
    for key in keys:
        times = sorted(item.at_s for item in answers if item.key == key)
        around = [lost_at_s, *(at_s for at_s in times if at_s > lost_at_s)]
        ends = [*around[1:], lost_at_s + WATCH_S]
        gaps.append(max(end - begin for begin, end in zip(around, ends, strict=True)))
    return max(gaps)


def summarize(values: list[float]) -> dict[str, float]:
    """Return percentiles of a list of seconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        "count": len(ordered),
        "p50_s": round(ordered[last // 2], 3),
        "p99_s": round(ordered[round(last * 0.99)], 3),
        "max_s": round(ordered[-1], 3),
    }


@click.command()
@click.option("--losses", default=30, show_default=True, help="Losses of each kind.")
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
@click.option(
    "--kind",
    type=click.Choice(["server", "lessor"]),
    default="server",
    show_default=True,
    help="What is lost.",
)
def main(losses: int, seed: int, kind: str) -> None:
    """Lose servers or lessors one after another and print how long keys waited."""
    generator = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder, fleets.run_fleet(pathlib.Path(folder)) as fleet:
        bench = Bench(fleet, generator)
        bench.start()
        rest = bench.measure_rest()
        lose = {"server": bench.lose_server, "lessor": bench.lose_lessor}[kind]
        waits = [lose() for _ in range(losses)]
    document = {
        "command": f"python -m bench.served_again --kind {kind} --losses {losses} --seed {seed}",
        "routers": ROUTERS,
        "servers": SERVERS,
        "at_rest": {name: round(value, 2) for name, value in rest.items()},
        "lost": kind,
        "waited": summarize(waits),
    }
    json.dump(document, sys.stdout, indent=2)
    click.echo()


if __name__ == "__main__":
    main()
