"""Tests of the attempts that the platform's request sender reports."""

from __future__ import annotations

import pytest

from goldcresthall.backend import exchange
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.gateway import retry_policy
from goldcresthall.platform import request_client


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        (exchange.ConnectFailedError, outcomes.RefusalReason.CONNECT_FAILED),
        (exchange.ConnectionRejectedError, outcomes.RefusalReason.SERVER_SHED),
    ],
)
def test_request_without_a_connection_was_not_run(
    error: type[exchange.ConnectFailedError], reason: outcomes.RefusalReason
) -> None:
    """An overloaded server's reset once ended requests as unknown, which forbids a new try."""
    attempt = request_client._describe_failure(error(outcomes.Step.CONNECT, "reset"))
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is reason
    assert not retry_policy.was_sent(attempt)
