"""Tests of the choice of bodies whose memory is reclaimed."""

from __future__ import annotations

from goldcresthall.memory import shedding


def choose(shortage: shedding.Shortage, *candidates: shedding.Candidate) -> list[int]:
    return [chosen.number for chosen in shedding.choose(candidates, shortage)]


def test_largest_silent_body_goes_first() -> None:
    """Bodies that stop short of their end once kept the memory from those that arrive."""
    silent = shedding.Candidate(1, 100, 5.0)
    larger = shedding.Candidate(2, 200, 5.0)
    active = shedding.Candidate(3, 900, 0.1)
    assert choose(shedding.Shortage(50, 10), silent, active, larger) == [2]
    assert choose(shedding.Shortage(250, 10), silent, active, larger) == [2, 1]
    assert choose(shedding.Shortage(350, 10), silent, active, larger) == [2, 1, 3]


def test_active_body_makes_room_only_for_a_smaller_one() -> None:
    """Two large uploads must not end each other in turn."""
    active = shedding.Candidate(1, 500, 0.1)
    assert choose(shedding.Shortage(100, 500), active) == []
    assert choose(shedding.Shortage(100, 499), active) == [1]


def test_nothing_is_reclaimed_in_vain() -> None:
    assert choose(shedding.Shortage(101, 0), shedding.Candidate(1, 100, 9.0)) == []
    assert choose(shedding.Shortage(0, 0), shedding.Candidate(1, 100, 9.0)) == []
