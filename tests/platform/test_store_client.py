"""Tests of the client of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
import pytest
from goldcresthall_stand_ins import deployment_store

from goldcresthall.core import identity
from goldcresthall.platform import store_client
from goldcresthall.store import client
from goldcresthall.store import store_metrics

if TYPE_CHECKING:
    from collections.abc import Iterator

TOPIC = "keyed.test"


@pytest.fixture
def store() -> Iterator[deployment_store.StoreStandIn]:
    """Run a stand-in for the store."""
    started = deployment_store.StoreStandIn()
    started.start()
    yield started
    started.stop()


def read_calls(
    registry: prometheus_client.CollectorRegistry, operation: str, result: str
) -> float | None:
    labels = {"topic": TOPIC, "operation": operation, "result": result}
    return registry.get_sample_value("goldcresthall_store_calls_total", labels)


def test_each_call_is_counted_by_topic_operation_and_result(
    store: deployment_store.StoreStandIn,
) -> None:
    registry = prometheus_client.CollectorRegistry()
    created = store_client.HttpStoreClient(
        identity.Address("127.0.0.1", store.port), store_metrics.StoreMetrics(registry)
    )
    assert isinstance(created.write(TOPIC, "key", b"value", 0), client.Written)
    created.read_newest(TOPIC)
    created.read_changes(TOPIC, 0, 0.0)
    created.read_changes(TOPIC, 1, 0.0)
    assert read_calls(registry, "write", "responded") == 1
    assert read_calls(registry, "read_newest", "responded") == 1
    assert read_calls(registry, "read_changes", "responded") == 2
    created.stop()


def test_call_without_a_response_is_counted_as_failed() -> None:
    registry = prometheus_client.CollectorRegistry()
    created = store_client.HttpStoreClient(
        identity.Address("127.0.0.1", 1), store_metrics.StoreMetrics(registry)
    )
    assert isinstance(created.read_newest(TOPIC), client.StoreFailed)
    assert read_calls(registry, "read_newest", "failed") == 1
