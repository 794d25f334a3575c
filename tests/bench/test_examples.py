"""Tests that the example presets and settings are valid and have the expected sizes."""

from __future__ import annotations

import pathlib

import pytest

from goldcresthall.core import preset
from goldcresthall.core import settings
from goldcresthall.encoding import documents
from goldcresthall.presets import validation

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KINDS = ("ordinary-day", "peak", "maintenance")
SERVER_COUNTS = {
    "minnelys": {"archive": 14, "ordering": 9, "condolence": 12, "program": 8},
    "calorvale": {"histories": 8, "scheduling": 6, "parts": 10, "queue": 6},
}
SLOTS_PER_SERVER = {"minnelys": 4, "calorvale": 3}
CONNECTIONS_PER_SERVER = {"minnelys": 130, "calorvale": 50}
DOMAIN_COUNTS = {"minnelys": 4, "calorvale": 3}


def load_preset(user: str, kind: str) -> preset.Preset:
    text = (EXAMPLES / user / f"{kind}.json").read_bytes()
    return documents.decode_document(text, preset.Preset)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("user", SERVER_COUNTS)
def test_example_preset_is_valid_and_matches_user_size(user: str, kind: str) -> None:
    loaded = load_preset(user, kind)
    assert validation.validate_preset(loaded) == ()
    assert {item.name: len(item.servers) for item in loaded.services} == SERVER_COUNTS[user]
    assert {item.slots_per_server for item in loaded.services} == {SLOTS_PER_SERVER[user]}
    assert {item.connections_per_server for item in loaded.services} == {
        CONNECTIONS_PER_SERVER[user]
    }
    domains = {server.failure_domain for item in loaded.services for server in item.servers}
    assert len(domains) == DOMAIN_COUNTS[user]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("user", SERVER_COUNTS)
def test_only_post_routes_are_not_idempotent(user: str, kind: str) -> None:
    for policy in load_preset(user, kind).services:
        for route in policy.routes:
            assert route.idempotent is (route.method != "POST")


@pytest.mark.parametrize("user", SERVER_COUNTS)
def test_maintenance_preset_drains_exactly_one_failure_domain(user: str) -> None:
    servers = [
        server for policy in load_preset(user, "maintenance").services for server in policy.servers
    ]
    drained = {server.failure_domain for server in servers if server.draining}
    assert len(drained) == 1
    assert all(server.draining for server in servers if server.failure_domain in drained)


@pytest.mark.parametrize("number", [1, 2, 3])
@pytest.mark.parametrize("user", SERVER_COUNTS)
def test_example_settings_are_valid(user: str, number: int) -> None:
    text = (EXAMPLES / user / f"settings-entry-{number}.json").read_bytes()
    loaded = documents.decode_document(text, settings.Settings)
    domains = {
        server.failure_domain
        for policy in load_preset(user, "ordinary-day").services
        for server in policy.servers
    }
    assert loaded.failure_domain in domains
