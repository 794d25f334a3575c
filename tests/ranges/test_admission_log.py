"""Tests of the log of admission shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.admission import range_admissions
from goldcresthall.core import key_ranges
from goldcresthall.ranges import admission_log

if TYPE_CHECKING:
    import pytest


def create_rows(*shares: float) -> tuple[range_admissions.RangeAdmission, ...]:
    """Return rows for the keys from 0 on."""
    return tuple(
        range_admissions.RangeAdmission("ledger", key_ranges.KeyRange(key, key), share)
        for key, share in enumerate(shares)
    )


def test_share_is_logged_when_it_appears_changes_much_or_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(logging, "info", lambda text, *values: lines.append(text % values))
    log = admission_log.AdmissionLog("ledger")
    counts = []
    for rows in (create_rows(0.5), create_rows(0.45), create_rows(0.39), create_rows(), ()):
        log.record(rows)
        counts.append(len(lines))
    assert counts == [1, 1, 2, 3, 3]
    assert lines[0] == "admitting 50 % of requests for range 0-0 of service ledger, before 100 %"


def test_number_of_lines_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(logging, "info", lambda text, *values: lines.append(text % values))
    admission_log.AdmissionLog("ledger").record(create_rows(*[0.5] * 20))
    assert len(lines) == admission_log.MAX_LINES + 1
    assert lines[-1] == "shares of 16 more ranges of service ledger changed"
