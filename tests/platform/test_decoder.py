"""Tests of the decoder: malformed entries are left out alone, counted and logged once."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING
from typing import Any

import hypothesis
import prometheus_client
from hypothesis import strategies

from goldcresthall.platform import decoder
from goldcresthall.store import client
from tests.platform import test_entries

if TYPE_CHECKING:
    import pytest


def create_record(key: str, document: dict[str, Any]) -> client.KeyedRecord:
    return client.KeyedRecord(key, json.dumps(document).encode(), 0)


@hypothesis.given(
    field=strategies.sampled_from(sorted(test_entries.SERVER)), value=test_entries.JSON_VALUES
)
def test_sound_entry_beside_any_other_is_taken(field: str, value: object) -> None:
    """One entry of another writer once ended the reading of the list on every instance (DRAIN)."""
    created = decoder.PlatformDecoder(prometheus_client.CollectorRegistry())
    created.decode_server(create_record("odd", test_entries.SERVER | {field: value}))
    taken = created.decode_server(create_record("sound", test_entries.SERVER))
    assert taken is not None
    assert taken.name == "sound"


def test_unknown_types_of_routes_are_logged_once_for_each_version(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A type that a later release adds must be noticed, but not each time it is read."""
    created = decoder.PlatformDecoder(prometheus_client.CollectorRegistry())
    with caplog.at_level(logging.WARNING):
        assert created.decode_configuration(test_entries.encode_route(type="safe")) is not None
        assert not caplog.records
    streaming = json.loads(test_entries.encode_route(type="streaming"))
    with caplog.at_level(logging.WARNING):
        for version in ("2", "2", "3", "3"):
            stored = json.dumps(streaming | {"version": version}).encode()
            assert created.decode_configuration(stored) is not None
    assert [record.getMessage().count("'streaming'") for record in caplog.records] == [1, 1]


def test_malformed_evacuation_is_left_out(caplog: pytest.LogCaptureFixture) -> None:
    created = decoder.PlatformDecoder(prometheus_client.CollectorRegistry())
    assert created.find_evacuated_domain("evacuate/near") == "near"
    with caplog.at_level(logging.WARNING):
        assert created.find_evacuated_domain("evacuate/") is None
    assert len(caplog.records) == 1


def test_malformed_entry_is_counted_each_time_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    registry = prometheus_client.CollectorRegistry()
    created = decoder.PlatformDecoder(registry)
    malformed = create_record("odd", test_entries.SERVER | {"slots": "many"})
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert created.decode_server(malformed) is None
    labels = {"kind": "server"}
    assert registry.get_sample_value("goldcresthall_malformed_entries_total", labels) == 3
    assert len(caplog.records) == 1
