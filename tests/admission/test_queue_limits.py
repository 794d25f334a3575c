"""Tests of how far the requests of each route may fill the queues of servers."""

from __future__ import annotations

import dataclasses

from goldcresthall.admission import queue_limits
from goldcresthall.core import deployment
from tests.gateway import conftest


def create_route(name: str, service: str, priority: int, target_s: float) -> deployment.HostRoute:
    route = conftest.create_route(name, f"/{name}/", deployment.WeightedService(service, 1.0))
    return dataclasses.replace(route, priority=priority, target_latency_s=target_s)


def test_less_urgent_routes_leave_room_in_queues_for_more_urgent_ones() -> None:
    """Fetches with a late target once filled queues in which lookups could not meet theirs."""
    limits = queue_limits.find_queue_limits(
        (
            create_route("orders", "ledger", 0, 0.9),
            create_route("reads", "ledger", 1, 0.7),
            create_route("downloads", "ledger", 3, 2.3),
            create_route("fetches", "agenda", 3, 2.0),
        )
    )
    assert limits["orders"] == queue_limits.NO_LIMIT
    assert limits["reads"] == queue_limits.QueueLimit(0.85, 0.9)
    assert limits["downloads"] == queue_limits.QueueLimit(0.7, 0.7)
    assert limits["fetches"] == queue_limits.NO_LIMIT
