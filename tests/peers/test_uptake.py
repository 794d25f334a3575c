"""Tests of the uptake table, of the uptake report and of the majority check."""

from __future__ import annotations

import itertools

from goldcresthall.core import identity
from goldcresthall.peers import divergence
from goldcresthall.peers import messages
from goldcresthall.peers import uptake_table
from goldcresthall.presets import uptake_collector as preset_uptake

NOW_S = 500.0


def create_row(name: str, offset: int, age_ms: int = 0) -> messages.UptakeRow:
    return messages.UptakeRow(name, "one", offset, age_ms)


def create_live(*names: str) -> tuple[identity.InstanceEntry, ...]:
    return tuple(
        identity.InstanceEntry(
            name, "domain-a", identity.Address("127.0.0.1", 1), identity.InstanceStatus.LIVE
        )
        for name in names
    )


def test_latest_report_wins_in_any_arrival_order() -> None:
    rows = [create_row("b", 3, 9_000), create_row("b", 5, 4_000), create_row("b", 7, 10)]
    for order in itertools.permutations(rows):
        table = uptake_table.UptakeTable("a")
        for row in order:
            table.merge(row, NOW_S)
        assert [row.preset_offset for row in table.rows] == [7]


def test_row_age_counts_from_the_request_and_grows_when_forwarded() -> None:
    table = uptake_table.UptakeTable("a")
    table.merge(create_row("b", 3, 1_500), requested_at_s=NOW_S - 10)
    (sent_row,) = uptake_table.UptakeCursor(table, 8).next_rows(NOW_S)
    assert sent_row.age_ms >= 11_500


def test_response_is_bounded_and_changed_rows_go_first() -> None:
    table = uptake_table.UptakeTable("a")
    cursor = uptake_table.UptakeCursor(table, 8)
    for number in range(100):
        table.merge(create_row(f"n{number:03}", 1), NOW_S)
    sent_names = [row.name for _ in range(13) for row in cursor.next_rows(NOW_S)]
    assert set(sent_names) == {f"n{number:03}" for number in range(100)}
    table.merge(create_row("n050", 2), NOW_S + 1)
    rows = cursor.next_rows(NOW_S + 1)
    assert len(rows) == 8
    assert (rows[0].name, rows[0].preset_offset) == ("n050", 2)


def test_table_is_bounded_and_drops_the_oldest_rows() -> None:
    table = uptake_table.UptakeTable("a")
    for number in range(uptake_table.MAX_ROWS + 50):
        table.merge(create_row(f"n{number}", 1), NOW_S + number / 100)
    assert len(table.rows) == uptake_table.MAX_ROWS
    table.merge(create_row("late", 1), NOW_S + 10 * uptake_table.ROW_EXPIRY_S)
    assert [row.name for row in table.rows] == ["late"]


def find_statuses(
    offset: int, rows: tuple[uptake_table.KnownUptake, ...], within_s: float
) -> dict[str, preset_uptake.UptakeStatus]:
    live = create_live("a", "b", "c")
    statuses = preset_uptake.find_uptake(offset, live, rows, NOW_S, within_s)
    return {entry.name: entry.status for entry in statuses}


def test_instance_without_report_since_the_watch_started_is_unheard() -> None:
    rows = (
        uptake_table.KnownUptake("a", "one", 7, NOW_S, 0),
        uptake_table.KnownUptake("b", "one", 7, NOW_S - 4.0, 1),
        uptake_table.KnownUptake("d", "one", 6, NOW_S - 1.0, 1),
    )
    status = preset_uptake.UptakeStatus
    assert find_statuses(7, rows, 3.0) == {
        "a": status.HAS,
        "b": status.UNHEARD,
        "c": status.UNHEARD,
        "d": status.BEHIND,
    }
    assert find_statuses(7, rows, 5.0)["b"] is status.HAS


def test_instance_lacks_majority_unless_it_agrees_with_most_peers() -> None:
    agreement = divergence.StateAgreement()
    agreement.record("b", agrees=True)
    agreement.record("c", agrees=False)
    assert not agreement.lacks_majority
    agreement.record("d", agrees=False)
    assert agreement.lacks_majority
    agreement.remove("d")
    assert not agreement.lacks_majority
    agreement.remove("b")
    assert agreement.lacks_majority
