"""Tests of the store's client when the store comes back from a copy and gives offsets out again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
import pytest
from goldcresthall_stand_ins import restorable_store

from goldcresthall.core import identity
from goldcresthall.platform import store_client
from goldcresthall.store import client
from goldcresthall.store import positions
from goldcresthall.store import store_metrics
from tests.backend import raw_server
from tests.platform import test_store_client

if TYPE_CHECKING:
    from collections.abc import Iterator

TOPIC = "keyed.test"


@pytest.fixture
def store() -> Iterator[restorable_store.RestorableStore]:
    """Run a stand-in for the store with two records in its copy, and one after it."""
    started = restorable_store.RestorableStore()
    started.start()
    for value in (b"one", b"two"):
        started.put_raw(TOPIC, "key", value)
    started.take_copy()
    started.put_raw(TOPIC, "key", b"lost")
    yield started
    started.stop()


def create_client(port: int) -> store_client.HttpStoreClient:
    return store_client.HttpStoreClient(
        identity.Address("127.0.0.1", port),
        store_metrics.StoreMetrics(prometheus_client.CollectorRegistry()),
    )


def create_answer(status: bytes, body: bytes, *eras: bytes) -> raw_server.Script:
    fields = b"".join(b"Store-Era: " + era + b"\r\n" for era in eras)
    length = b"Content-Length: %d\r\n" % len(body)
    return raw_server.Script((b"HTTP/1.1 " + status + b"\r\n" + length + fields + b"\r\n" + body,))


def create_empty_read(log_end: int, era: bytes) -> raw_server.Script:
    return create_answer(b"200 OK", log_end.to_bytes(8, "big") + bytes(8), era)


# Guards against a fencing token that is given out twice (OWNER): tokens are positions.
def test_positions_of_a_later_era_are_above_all_earlier_ones(
    store: restorable_store.RestorableStore,
) -> None:
    created = create_client(store.port)
    before = created.write(TOPIC, "key", b"also lost", positions.create(1, 3))
    assert before == client.Written(positions.create(1, 3))
    store.restore_copy()
    outcome = created.read_newest(TOPIC)
    assert isinstance(outcome, client.Records)
    assert [record.value for record in outcome.records] == [b"two"]
    assert outcome.end_offset == positions.create(2, 2)
    assert outcome.end_offset > before.offset
    after = created.write(TOPIC, "key", b"new", outcome.end_offset)
    created.stop()
    assert after == client.Written(positions.create(2, 2))


@pytest.mark.parametrize("offset", [1, 2, 3])
def test_read_from_an_earlier_era_does_not_go_on(
    store: restorable_store.RestorableStore, offset: int
) -> None:
    """Offsets that were given out again look like the ones that are known."""
    created = create_client(store.port)
    store.restore_copy()
    for _ in range(2):
        assert created.read_changes(TOPIC, positions.create(1, offset), 0.0) == (
            client.RecordsExpired()
        )
    created.stop()


# Guards against a lessor that believes in a write on the ground of a table that was lost (OWNER).
def test_write_on_the_ground_of_an_earlier_era_is_not_confirmed(
    store: restorable_store.RestorableStore,
) -> None:
    created = create_client(store.port)
    created.read_newest(TOPIC)
    store.restore_copy()
    first = created.write(TOPIC, "key", b"value", positions.create(1, 2))
    assert isinstance(first, client.StoreFailed)
    second = created.write(TOPIC, "key", b"value", positions.create(1, 3))
    created.stop()
    assert isinstance(second, client.OffsetConflict)
    assert store.read(TOPIC, "key") == b"value"


def test_late_response_of_an_earlier_era_changes_nothing() -> None:
    """A kept connection may bring it after the store has come back (OWNER, DRAIN)."""
    answers = (create_empty_read(5, b"2"), create_empty_read(7, b"1"), create_empty_read(5, b"2"))
    with raw_server.run_server(*answers) as server:
        created = create_client(server.address.port)
        position = positions.create(2, 5)
        assert created.read_changes(TOPIC, position, 0.0) == client.Records((), position)
        assert isinstance(created.read_changes(TOPIC, position, 0.0), client.StoreFailed)
        assert created.read_changes(TOPIC, position, 0.0) == client.Records((), position)
        created.stop()
        assert server.connections == 2


def test_response_of_an_era_before_a_relayed_position_is_a_failed_read() -> None:
    """Another instance may have seen the store's return first."""
    with raw_server.run_server(create_empty_read(5, b"1")) as server:
        created = create_client(server.address.port)
        outcome = created.read_changes(TOPIC, positions.create(2, 5), 0.0)
        created.stop()
    assert isinstance(outcome, client.StoreFailed)


def test_pages_of_two_eras_are_no_list() -> None:
    item = b'{"key":"a","value":"YQ==","offset":0}'
    first = b'{"items":[%s],"has_more":true,"end_offset":2}' % item
    second = b'{"items":[],"has_more":false,"end_offset":2}'
    answers = (create_answer(b"200 OK", first, b"1"), create_answer(b"200 OK", second, b"2"))
    with raw_server.run_server(*answers) as server:
        created = create_client(server.address.port)
        assert isinstance(created.read_newest(TOPIC), client.StoreFailed)
        created.stop()


@pytest.mark.parametrize("eras", [(b"one",), (b"-1",), (b"1", b"2"), (b"9" * 30,), (b"",)])
def test_response_with_an_unreadable_era_is_a_failed_read(eras: tuple[bytes, ...]) -> None:
    body = (5).to_bytes(8, "big") + bytes(8)
    with raw_server.run_server(create_answer(b"200 OK", body, *eras)) as server:
        created = create_client(server.address.port)
        assert isinstance(created.read_changes(TOPIC, 5, 0.0), client.StoreFailed)
        created.stop()


def test_without_an_era_positions_equal_the_offsets() -> None:
    """Tokens of a store that names no era stay those of earlier releases."""
    with raw_server.run_server(test_store_client.WRITTEN) as server:
        created = create_client(server.address.port)
        assert created.write(TOPIC, "key", b"value", 4) == client.Written(4)
        created.stop()


def test_rises_of_the_era_are_counted(store: restorable_store.RestorableStore) -> None:
    registry = prometheus_client.CollectorRegistry()
    created = store_client.HttpStoreClient(
        identity.Address("127.0.0.1", store.port), store_metrics.StoreMetrics(registry)
    )
    created.read_newest(TOPIC)
    assert registry.get_sample_value("goldcresthall_store_restores_total") == 0
    store.restore_copy()
    created.read_newest(TOPIC)
    created.stop()
    assert registry.get_sample_value("goldcresthall_store_restores_total") == 1
    assert registry.get_sample_value("goldcresthall_store_era") == 2
