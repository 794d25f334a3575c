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
from tests.backend import raw_server

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


def create_client(port: int) -> store_client.HttpStoreClient:
    registry = prometheus_client.CollectorRegistry()
    address = identity.Address("127.0.0.1", port)
    return store_client.HttpStoreClient(address, store_metrics.StoreMetrics(registry))


def create_script(status: bytes, body: bytes) -> raw_server.Script:
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    return raw_server.Script((head + body,))


def create_read(log_end: int, *values: bytes) -> raw_server.Script:
    content = b"".join((4 + len(value)).to_bytes(4, "big") + b"\x03key" + value for value in values)
    return create_script(b"200 OK", log_end.to_bytes(8, "big") + bytes(8) + content)


WRITTEN = create_script(b"200 OK", b'{"offset":4,"end_offset":5}')


@pytest.mark.parametrize(
    "copy", [WRITTEN, create_script(b"412 Precondition Failed", b'{"end_offset":5}')]
)
def test_response_to_another_write_leaves_the_outcome_unknown(copy: raw_server.Script) -> None:
    """An instance must not become the lessor in a term that it did not write (OWNER)."""
    with raw_server.run_server(WRITTEN, copy, WRITTEN) as server:
        created = create_client(server.address.port)
        assert created.write(TOPIC, "key", b"value", 4) == client.Written(4)
        assert isinstance(created.write(TOPIC, "key", b"value", 5), client.StoreFailed)
        assert created.write(TOPIC, "key", b"value", 4) == client.Written(4)
        created.stop()
        assert server.connections == 2


@pytest.mark.parametrize("copy", [create_read(4), create_read(5, b"a"), create_read(6, b"a", b"b")])
def test_response_to_an_earlier_read_is_a_failed_read(copy: raw_server.Script) -> None:
    """A lessor confirms its term by an empty read; a copied one proves nothing (OWNER, CONFIG)."""
    with raw_server.run_server(create_read(5), copy, create_read(5)) as server:
        created = create_client(server.address.port)
        assert created.read_changes(TOPIC, 5, 0.0) == client.Records((), 5)
        assert isinstance(created.read_changes(TOPIC, 5, 0.0), client.StoreFailed)
        assert created.read_changes(TOPIC, 5, 0.0) == client.Records((), 5)
        created.stop()
        assert server.connections == 2


def test_missing_topic_that_had_records_is_a_failed_read() -> None:
    """404 from another server at the store's address once confirmed a lessor's term (OWNER)."""
    missing = create_script(b"404 Not Found", b"")
    with raw_server.run_server(missing, missing) as server:
        created = create_client(server.address.port)
        assert created.read_changes(TOPIC, 0, 0.0) == client.Records((), 0)
        assert isinstance(created.read_changes(TOPIC, 5, 0.0), client.StoreFailed)
        created.stop()
