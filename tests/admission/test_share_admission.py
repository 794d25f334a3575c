"""Tests of the admission of a share of the requests for an overloaded range."""

from __future__ import annotations

import random

import pytest

from goldcresthall.admission import share_admission

MIX = {0: 1.0, 1: 2.0, 2: 7.0}


def count_admitted(mix: dict[int, float], share: float, requests: int = 12_000) -> dict[int, float]:
    """Return the admitted fraction of each priority after requests in a mix of counts."""
    generator = random.Random(1)
    admission = share_admission.ShareAdmission(random.Random(2))
    offered = dict.fromkeys(mix, 0)
    admitted = dict.fromkeys(mix, 0)
    drawn = generator.choices(list(mix), list(mix.values()), k=requests)
    for number, priority in enumerate(drawn):
        offered[priority] += 1
        admitted[priority] += admission.admits("ledger", priority, 0.1, share, number / 200)
    return {priority: admitted[priority] / offered[priority] for priority in mix}


def test_urgent_requests_are_all_admitted_while_the_share_covers_them() -> None:
    """Orders were once refused as often as reads while an owner was overloaded."""
    fractions = count_admitted(MIX, 0.6)
    assert fractions[0] == pytest.approx(1.0, abs=0.01)
    assert fractions[1] == pytest.approx(1.0, abs=0.02)
    assert fractions[2] == pytest.approx(3 / 7, abs=0.03)


@pytest.mark.parametrize("share", [0.05, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("mix", [MIX, {0: 9.0, 2: 1.0}, {1: 1.0}])
def test_admitted_work_is_the_share_and_no_priority_starves(
    mix: dict[int, float], share: float
) -> None:
    total = sum(mix.values())
    fractions = {
        priority: share_admission.find_admission_probability(mix, priority, share)
        for priority in mix
    }
    admitted = sum(fractions[priority] * work / total for priority, work in mix.items())
    assert admitted == pytest.approx(share)
    assert min(fractions.values()) >= share_admission.STARVATION_FLOOR_FRACTION * share - 1e-9
    in_order = [fractions[priority] for priority in sorted(mix)]
    assert in_order == sorted(in_order, reverse=True)


def test_old_requests_no_longer_count_in_the_mix() -> None:
    mix = share_admission.PriorityMix()
    mix.add(0, 10.0, 0.0)
    mix.add(2, 1.0, 60.0)
    assert mix.work_s[0] < 0.01 * mix.work_s[2]


def test_all_requests_are_admitted_without_a_limit_and_none_at_a_share_of_zero() -> None:
    admission = share_admission.ShareAdmission(random.Random(1))
    assert all(admission.admits("ledger", 2, 0.1, 1.0, 0.0) for _ in range(50))
    assert not any(admission.admits("ledger", 0, 0.1, 0.0, 0.0) for _ in range(50))


def test_begin_and_end_of_a_limit_are_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        share_admission.logging, "info", lambda text, *values: lines.append(text % values)
    )
    admission = share_admission.ShareAdmission(random.Random(1))
    for tenths in range(20):
        admission.admits("ledger", 1, 0.1, 0.5 if tenths % 2 else 1.0, tenths / 10)
    admission.admits("ledger", 1, 0.1, 1.0, 10.0)
    assert [" no longer " in line for line in lines] == [False, True]
