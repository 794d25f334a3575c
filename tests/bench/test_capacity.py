"""Tests that the capacity page matches the script that computes its tables."""

from __future__ import annotations

from bench import capacity


def test_capacity_page_matches_computed_tables() -> None:
    page = capacity.PAGE_FILE.read_text()
    assert capacity.replace_computed(page, capacity.render(capacity.read_slopes())) == page


def test_capacity_page_discusses_every_exceeded_bound() -> None:
    commentary = capacity.PAGE_FILE.read_text().partition(capacity.END_MARK)[2]
    text = " ".join(commentary.split())
    rows = capacity.compute_rows(capacity.Target(), capacity.read_slopes())
    undocumented = [
        row for row in rows if not row.is_within_bound and f"{row.role}: {row.resource}" not in text
    ]
    assert undocumented == []
