"""Tests of the choice of the connection that makes room for another."""

from __future__ import annotations

from goldcresthall.callers import connection_limit

SERVING = connection_limit.Activity(is_serving=True, has_served=True, silent_s=99.0)
USED = connection_limit.Activity(is_serving=False, has_served=True, silent_s=9.0)
UNUSED = connection_limit.Activity(is_serving=False, has_served=False, silent_s=1.0)
LONG_UNUSED = connection_limit.Activity(is_serving=False, has_served=False, silent_s=2.0)


def test_connection_that_was_never_used_goes_before_an_idle_one() -> None:
    """Opened and left connections must not displace those of ordinary callers."""
    activities = enumerate((SERVING, USED, UNUSED, LONG_UNUSED))
    assert connection_limit.choose(activities) == 3


def test_longest_idle_connection_goes_if_all_were_used() -> None:
    recent = connection_limit.Activity(is_serving=False, has_served=True, silent_s=1.0)
    assert connection_limit.choose(enumerate((SERVING, recent, USED))) == 2


def test_connection_whose_response_is_unread_goes_first() -> None:
    """Callers that request and do not read must not hold all connections."""
    unread = connection_limit.Activity(
        is_serving=True, has_served=True, silent_s=6.0, unread_s=connection_limit.UNREAD_S
    )
    assert connection_limit.choose(enumerate((SERVING, LONG_UNUSED, unread))) == 2


def test_connection_that_is_serving_is_never_closed() -> None:
    assert connection_limit.choose(enumerate((SERVING, SERVING))) is None
