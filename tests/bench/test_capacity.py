"""The capacity page and the script that computes its tables agree."""

from __future__ import annotations

from bench import capacity


def test_the_page_shows_what_the_script_computes() -> None:
    page = capacity.PAGE_FILE.read_text()
    assert capacity.replace_computed(page, capacity.render(capacity.read_slopes())) == page


def test_what_is_not_carried_is_named_in_the_text() -> None:
    written = capacity.PAGE_FILE.read_text().partition(capacity.END_MARK)[2]
    text = " ".join(written.split())
    rows = capacity.compute_rows(capacity.Target(), capacity.read_slopes())
    missing = [row for row in rows if not row.is_carried and f"{row.role}: {row.what}" not in text]
    assert missing == []
