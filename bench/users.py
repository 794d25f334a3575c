"""Workload profiles of both users and their example presets, scaled down to one machine."""

from __future__ import annotations

import dataclasses
import pathlib

from goldcresthall_stand_ins import backend
from goldcresthall_stand_ins import fleet as fleets

from bench import workload
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.encoding import documents

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[1] / "examples"
SHORT = preset.RequestClass.SHORT
LONG = preset.RequestClass.LONG
SHORT_WORK_MS = 120.0
LONG_WORK_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Workload profile of one user.

    Attributes
    ----------
    ordinary_rate_per_s
        Request arrival rate of an ordinary day at the scale of the benchmark, per second.
    """

    name: str
    ordinary_rate_per_s: float
    kinds: tuple[workload.RequestKind, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScaledPreset:
    """A user's preset whose backend servers are replaced with stand-ins."""

    preset: preset.Preset
    backends: tuple[backend.BackendConfig, ...]

    def list_domains(self) -> tuple[str, ...]:
        """Return the distinct failure domains of all servers."""
        domains = (
            server.failure_domain for policy in self.preset.services for server in policy.servers
        )
        return tuple(dict.fromkeys(domains))

    def list_backends_in(self, domain: str) -> tuple[backend.BackendConfig, ...]:
        """Return the backend servers in one failure domain."""
        server_names = {
            server.name
            for policy in self.preset.services
            for server in policy.servers
            if server.failure_domain == domain
        }
        return tuple(config for config in self.backends if config.name in server_names)

    def find_backend(self, name: str) -> backend.BackendConfig:
        """Return the backend server with a name."""
        return next(config for config in self.backends if config.name == name)


def _create_get_kind(
    service: str, path: str, weight: float, deadline_ms: int = 1_500
) -> workload.RequestKind:
    return workload.RequestKind(service, "GET", path, weight, SHORT_WORK_MS, SHORT, deadline_ms)


def _create_post_kind(service: str, path: str, weight: float) -> workload.RequestKind:
    return workload.RequestKind(service, "POST", path, weight, SHORT_WORK_MS, SHORT, 4_000)


def _create_long_get_kind(service: str, path: str, deadline_ms: int) -> workload.RequestKind:
    return workload.RequestKind(service, "GET", path, 1.0, LONG_WORK_MS, LONG, deadline_ms)


USERS = {
    "minnelys": User(
        name="minnelys",
        ordinary_rate_per_s=40.0,
        kinds=(
            _create_get_kind("archive", "/memorials/{key}/page", 50),
            _create_get_kind("condolence", "/books/{key}", 30),
            _create_get_kind("program", "/ceremonies/{key}/program", 15, 1_000),
            _create_post_kind("ordering", "/orders", 5),
            _create_long_get_kind("condolence", "/books/{key}/print", 12_000),
        ),
    ),
    "calorvale": User(
        name="calorvale",
        ordinary_rate_per_s=20.0,
        kinds=(
            _create_get_kind("histories", "/units/{key}/history", 35),
            _create_get_kind("parts", "/parts/{key}/stock", 30),
            _create_get_kind("queue", "/calls", 25, 1_000),
            _create_post_kind("scheduling", "/bookings", 10),
            _create_long_get_kind("histories", "/units/{key}/export", 15_000),
        ),
    ),
}


def scale_preset(user: str, kind: str, divisor: int, *, checks_grants: bool = True) -> ScaledPreset:
    """Return a user's preset with each server count divided by `divisor` and rounded up."""
    text = (EXAMPLES_FOLDER / user / f"{kind}.json").read_bytes()
    full = documents.decode_document(text, preset.Preset)
    policies = []
    configs: list[backend.BackendConfig] = []
    for policy in full.services:
        selected = policy.servers[: -(-len(policy.servers) // divisor)]
        stand_ins = tuple(_create_backend(policy, item, checks_grants) for item in selected)
        configs.extend(stand_ins)
        policies.append(_replace_addresses(policy, selected, stand_ins))
    return ScaledPreset(preset.Preset(name=full.name, services=tuple(policies)), tuple(configs))


def _create_backend(
    policy: preset.ServicePolicy, server: preset.BackendServer, checks_grants: bool
) -> backend.BackendConfig:
    return backend.BackendConfig(
        name=server.name,
        service=policy.name,
        host=fleets.HOST,
        port=fleets.reserve_port(),
        keyed=policy.keyed,
        checks_grants=checks_grants,
        slots=policy.slots_per_server,
    )


def _replace_addresses(
    policy: preset.ServicePolicy,
    selected: tuple[preset.BackendServer, ...],
    stand_ins: tuple[backend.BackendConfig, ...],
) -> preset.ServicePolicy:
    servers = tuple(
        dataclasses.replace(server, address=identity.Address(config.host, config.port))
        for server, config in zip(selected, stand_ins, strict=True)
    )
    return dataclasses.replace(policy, servers=servers)
