"""Tests of the decoding of the platform's entries; malformed input is a typed error."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from goldcresthall.core import row_changes
from goldcresthall.generated.lessor import ttypes
from goldcresthall.platform import entries
from goldcresthall.platform import exceptions
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    from goldcresthall.core import deployment

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
    | strategies.integers(0, 400).map(lambda exponent: 10**exponent)
    | strategies.text()
    | strategies.characters(categories=["Cs"]),
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
    ("kind", "idempotent"),
    [
        ("safe", True),
        ("download", True),
        ("unsafe", False),
        ("upload", False),
        ("streaming", False),
        (["safe"], False),
        (None, False),
    ],
)
def test_only_known_idempotent_types_may_be_executed_twice(
    kind: object, *, idempotent: bool
) -> None:
    configuration = entries.decode_configuration(encode_route(type=kind))
    assert configuration.routes[0].idempotent is idempotent


def encode_route(**fields: object) -> bytes:
    """Return a configuration whose route has the given fields besides the usual ones."""
    return json.dumps(CONFIGURATION | {"routes": [CONFIGURATION["routes"][0] | fields]}).encode()


def test_limits_of_cold_servers_are_decoded() -> None:
    limited = CONFIGURATION["services"][0] | {"slow_start_s": 12.5, "warmup_per_s": 7.2}
    document = CONFIGURATION | {"services": [limited, CONFIGURATION["services"][1]]}
    first, second = entries.decode_configuration(json.dumps(document).encode()).services
    assert (first.slow_start_s, first.cold_requests_per_s) == (12.5, 7.2)
    assert (second.slow_start_s, second.cold_requests_per_s) == (0.0, 0.0)


@pytest.mark.parametrize("field", ["slow_start_s", "warmup_per_s"])
@pytest.mark.parametrize("value", ["7", None, -1, True, 10**309])
def test_malformed_limit_of_cold_servers_is_an_error(field: str, value: object) -> None:
    services = [CONFIGURATION["services"][0] | {field: value}, CONFIGURATION["services"][1]]
    with pytest.raises(exceptions.MalformedEntryError, match=field):
        entries.decode_configuration(json.dumps(CONFIGURATION | {"services": services}).encode())


def test_key_of_an_evacuation_names_its_failure_domain() -> None:
    assert entries.find_evacuated_domain("evacuate/near") == "near"
    assert entries.find_evacuated_domain("config") is None
    for malformed in ("evacuate/", "evacuate/\ud800", "evacuate/" + "z" * 2_000):
        with pytest.raises(exceptions.MalformedEntryError):
            entries.find_evacuated_domain(malformed)


def test_key_that_cannot_be_relayed_is_an_error() -> None:
    with pytest.raises(exceptions.MalformedEntryError):
        entries.decode_server("\ud800", json.dumps(SERVER).encode())


def test_deeply_nested_entry_is_an_error() -> None:
    nested = b'{"slots":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(exceptions.MalformedEntryError):
        entries.decode_server("i-1", nested)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "sleeping"),
        ("service", 7),
        ("address", "nowhere"),
        ("address", "10.0.0.1:99999"),
        ("slots", "4"),
        ("slots", True),
        ("slots", 2**31),
        ("warmup_left_s", -1),
        ("warmup_left_s", 10**309),
        ("warmup_left_s", 2_200_000),
        ("born", 1.5),
        ("born", 2**63),
        ("address", "10.0.0.1:" + "9" * 5_000),
        ("address", "host:80"),
        ("service", "\ud800"),
        ("zone", "z" * 2_000),
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
        server = entries.decode_server("i-1", json.dumps(SERVER | {field: value}).encode())
        relay(server)
    with contextlib.suppress(exceptions.MalformedEntryError):
        entries.decode_configuration(json.dumps(CONFIGURATION | {other: value}).encode())


def relay(server: deployment.RegisteredServer) -> None:
    """Write a list with a server as the lessor sends it to the other instances."""
    changes = row_changes.RowChanges(1, row_changes.NO_REVISION, (), (server,))
    reply = reports.Reply(is_lessor=True, has_store=True, configuration=1, servers=changes)
    buffer = TTransport.TMemoryBuffer()
    report_encoding.encode_reply(reply).write(TCompactProtocol.TCompactProtocol(buffer))
    decoded = ttypes.ReportReply()
    decoded.read(TCompactProtocol.TCompactProtocol(TTransport.TMemoryBuffer(buffer.getvalue())))
    assert report_encoding.decode_reply(decoded).servers is not None
