"""Tests of the backoff of servers that failed to acknowledge grants."""

from __future__ import annotations

from goldcresthall.core import deployment
from goldcresthall.ranges import server_backoff

SERVER = deployment.ServerIncarnation("server-1", 1)


def record_failures(backoff: server_backoff.ServerBackoff, count: int) -> float:
    """Record failures, each at the end of the backoff before; return the last one's end."""
    now_s = 0.0
    for _ in range(count):
        backoff.record_failure(SERVER, now_s)
        while backoff.is_backing_off(SERVER, now_s):
            now_s += 0.5
    return now_s


def test_each_further_failure_doubles_the_backoff() -> None:
    ends = [record_failures(server_backoff.ServerBackoff(), count) for count in (1, 2, 3)]
    assert ends == [5.0, 15.0, 35.0]


def test_server_that_recovered_starts_with_the_initial_backoff_again() -> None:
    backoff = server_backoff.ServerBackoff()
    failed_at_s = record_failures(backoff, 3) + server_backoff.RECOVERY_S
    backoff.record_failure(SERVER, failed_at_s)
    assert backoff.is_backing_off(SERVER, failed_at_s + server_backoff.INITIAL_BACKOFF_S - 0.1)
    assert not backoff.is_backing_off(SERVER, failed_at_s + server_backoff.INITIAL_BACKOFF_S)
