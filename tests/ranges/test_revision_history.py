"""Tests of lists that are replicated as changes since an earlier revision."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import row_changes
from goldcresthall.ranges import revision_history

ROWS = strategies.lists(strategies.integers(0, 30), unique=True).map(tuple)


def find_key(row: int) -> int:
    return row


@given(strategies.lists(ROWS, min_size=1, max_size=80), strategies.data())
def test_changes_turn_any_earlier_revision_into_the_latest_one(
    states: list[tuple[int, ...]], data: strategies.DataObject
) -> None:
    history = revision_history.RevisionHistory(find_key)
    for revision, rows in enumerate(states):
        history.find_changes(revision, rows, row_changes.NO_REVISION)
    base = data.draw(strategies.integers(-1, len(states) - 1))
    changes = history.find_changes(len(states) - 1, states[-1], base)
    base_rows = states[base] if base >= 0 else ()
    assert set(row_changes.apply_changes(base_rows, changes, find_key)) == set(states[-1])


def test_base_that_is_no_longer_retained_yields_the_full_list() -> None:
    history = revision_history.RevisionHistory(find_key)
    for revision in range(revision_history.MAX_REVISIONS + 2):
        history.find_changes(revision, (revision,), row_changes.NO_REVISION)
    assert history.find_changes(revision, (revision,), 0).is_full
    assert not history.find_changes(revision, (revision,), revision - 1).is_full


def test_changed_row_replaces_the_row_with_the_same_key() -> None:
    def create(last: int) -> key_ranges.RangeOwner:
        incarnation = deployment.ServerIncarnation("one", 1)
        return key_ranges.RangeOwner(
            "ledger", key_ranges.KeyRange(0, last), incarnation, ready=True
        )

    def find_start(range_owner: key_ranges.RangeOwner) -> key_ranges.RangeStart:
        return range_owner.start

    history = revision_history.RevisionHistory(find_start)
    history.find_changes(0, (create(9),), row_changes.NO_REVISION)
    changes = history.find_changes(1, (create(4),), 0)
    assert row_changes.apply_changes((create(9),), changes, find_start) == (create(4),)
