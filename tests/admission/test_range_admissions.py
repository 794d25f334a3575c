"""Tests of an instance's copy of the admission shares."""

from __future__ import annotations

from goldcresthall.admission import range_admissions
from goldcresthall.core import key_ranges


def create_admissions() -> range_admissions.RangeAdmissions:
    """Return shares for two ranges, known at 10 s."""
    created = range_admissions.RangeAdmissions()
    rows = (
        range_admissions.RangeAdmission("ledger", key_ranges.KeyRange(50, 59), 0.5),
        range_admissions.RangeAdmission("ledger", key_ranges.KeyRange(7, 7), 0.1),
    )
    created.replace(rows, 10.0)
    return created


def test_share_is_found_by_service_and_key() -> None:
    admissions = create_admissions()
    shares = [admissions.find_share("ledger", key, 10.5) for key in (6, 7, 8, 49, 50, 59, 60)]
    assert shares == [1.0, 0.1, 1.0, 1.0, 0.5, 0.5, 1.0]
    assert admissions.find_share("agenda", 7, 10.5) == 1.0


def test_shares_without_news_for_two_seconds_have_no_effect() -> None:
    """Without a lessor nobody lifts them."""
    admissions = create_admissions()
    assert admissions.find_share("ledger", 7, 11.9) == 0.1
    assert admissions.find_share("ledger", 7, 12.1) == 1.0
    assert (admissions.count_limited(11.9), admissions.count_limited(12.1)) == (2, 0)


def test_newer_shares_replace_all_earlier_ones() -> None:
    admissions = create_admissions()
    admissions.replace((), 11.0)
    assert admissions.find_share("ledger", 7, 11.0) == 1.0
