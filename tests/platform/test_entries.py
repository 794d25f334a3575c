"""Tests of the decoding of the platform's entries; malformed input is a typed error."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from goldcresthall.platform import entries
from goldcresthall.platform import exceptions

SERVER: dict[str, Any] = {
    "service": "ledger",
    "address": "10.0.0.1:80",
    "zone": "near",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left_s": 2.5,
    "seq": 4,
    "born": 1_700_000_000_000,
}
CONFIGURATION: dict[str, Any] = {
    "version": "0000001a",
    "routes": [
        {
            "name": "r",
            "host": "A.Example",
            "path_prefix": "/a/",
            "type": "safe",
            "timeout_s": 1.2,
            "traffic_split": [
                {"service": "ledger", "weight": 90},
                {"service": "agenda", "weight": 10},
            ],
            "max_attempts": 2,
        }
    ],
    "services": [
        {"name": "ledger", "health_check": "/healthz", "max_conns": 130, "sharded": True},
        {"name": "agenda", "health_check": "/healthz", "max_conns": 130},
    ],
    "limits": {"idle_timeout_s": 15},
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=5,
)


def test_server_entry_is_decoded() -> None:
    server = entries.decode_server("i-1", json.dumps(SERVER).encode())
    assert (server.name, server.incarnation.started_ms) == ("i-1", 1_700_000_000_000)
    assert (str(server.address), server.slots, server.draining) == ("10.0.0.1:80", 4, False)


def test_configuration_is_decoded() -> None:
    configuration = entries.decode_configuration(json.dumps(CONFIGURATION).encode())
    assert configuration.version == 26
    assert configuration.keyed_services == ("ledger",)
    assert configuration.routes[0].host == "a.example"
    assert [part.weight for part in configuration.routes[0].weighted_services] == [90, 10]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "sleeping"),
        ("service", 7),
        ("address", "nowhere"),
        ("address", "10.0.0.1:99999"),
        ("slots", "4"),
        ("slots", True),
        ("warmup_left_s", -1),
        ("born", 1.5),
    ],
)
def test_malformed_field_of_a_server_is_an_error(field: str, value: object) -> None:
    with pytest.raises(exceptions.MalformedEntryError, match=field):
        entries.decode_server("i-1", json.dumps(SERVER | {field: value}).encode())


def test_route_to_an_unknown_service_is_an_error() -> None:
    document = CONFIGURATION | {"services": CONFIGURATION["services"][:1]}
    with pytest.raises(exceptions.MalformedEntryError, match="agenda"):
        entries.decode_configuration(json.dumps(document).encode())


@hypothesis.given(content=strategies.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_raise_a_typed_error(content: bytes) -> None:
    for decode in (
        entries.decode_configuration,
        lambda value: entries.decode_server("i-1", value),
    ):
        with contextlib.suppress(exceptions.MalformedEntryError):
            decode(content)


@hypothesis.given(
    field=strategies.sampled_from(sorted(SERVER)),
    other=strategies.sampled_from(sorted(CONFIGURATION)),
    value=JSON_VALUES,
)
def test_arbitrary_field_values_are_decoded_or_raise_a_typed_error(
    field: str, other: str, value: object
) -> None:
    with contextlib.suppress(exceptions.MalformedEntryError):
        entries.decode_server("i-1", json.dumps(SERVER | {field: value}).encode())
    with contextlib.suppress(exceptions.MalformedEntryError):
        entries.decode_configuration(json.dumps(CONFIGURATION | {other: value}).encode())
