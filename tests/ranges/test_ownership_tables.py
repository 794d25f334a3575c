"""Tests of the stored ownership table."""

from __future__ import annotations

from goldcresthall.ranges import ownership_tables
from tests.fakes import store


def test_log_that_was_never_written_holds_an_empty_table() -> None:
    stored = ownership_tables.read(store.FakeStore(store.SharedRecords()))
    assert stored is not None
    assert stored.offset == -1
    assert not stored.table.assignments


def test_log_without_its_table_cannot_be_read() -> None:
    """It passed for an empty table, so that a takeover freed keys that servers held (OWNER)."""
    shared = store.SharedRecords()
    fake = store.FakeStore(shared)
    fake.write(ownership_tables.TOPIC, "another-key", b"{}", 0)
    assert ownership_tables.read(fake) is None
