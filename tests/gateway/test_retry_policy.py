"""Tests of how long requests wait for an owner."""

from __future__ import annotations

import pytest

from goldcresthall.gateway import restrictions
from goldcresthall.gateway import retry_policy


def test_request_for_a_cold_owner_waits_longer_than_for_a_usual_move() -> None:
    """The limit for cold owners never took effect, since the one for moves was shorter."""
    budget = retry_policy.WaitBudget(3.0, 0.709)
    assert budget.find_left_s() < retry_policy.MOVE_WAIT_S
    assert budget.find_left_s(restrictions.MAX_COLD_WAIT_S) == restrictions.MAX_COLD_WAIT_S
    budget.spend(1.0)
    assert budget.find_left_s() == 0.0
    assert budget.find_left_s(restrictions.MAX_COLD_WAIT_S) == pytest.approx(0.5)
    short = retry_policy.WaitBudget(1.0, 0.709)
    assert short.find_left_s(restrictions.MAX_COLD_WAIT_S) == pytest.approx(0.7)
