"""End-to-end requests through router instances, platform and backend servers as processes."""

from __future__ import annotations

import json
import time

import pytest
import urllib3
from goldcresthall_stand_ins import fleet as fleets

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import preset

DOMAINS = ("domain-a", "domain-b")
RESPONSE_TIMEOUT_S = 30.0


def request_until_ok(url: str) -> urllib3.BaseHTTPResponse:
    pool = urllib3.PoolManager(retries=False)
    deadline_s = time.monotonic() + RESPONSE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        response = pool.request("GET", url, timeout=RESPONSE_TIMEOUT_S)
        if response.status == 200:
            return response
    pytest.fail(f"{url} never returned status 200")


def test_key_is_served_through_every_instance_and_after_its_owner_is_killed(
    fleet: fleets.Fleet,
) -> None:
    fleet.start_platform()
    archive = fleets.create_backend_configs("archive", 2, keyed=True)
    backend_processes = [fleet.start_backends((config,)) for config in archive]
    routers = [
        fleet.start_router(fleet.create_settings(f"router-{number}", domain))
        for number, domain in enumerate(DOMAINS, start=1)
    ]
    route = preset.Route(method="GET", path="/recordings/{key}", idempotent=True)
    policy = fleets.create_service_policy(archive, DOMAINS, (route,))
    publish_request = messages.PublishRequest(
        "test", "test", preset.Preset(name="day", services=(policy,))
    )
    result = admin_client.AdminClient(str(routers[0].settings.listen.admin)).publish(
        publish_request
    )
    assert result.outcome == "accepted"
    owner = ""
    for router in routers:
        response = request_until_ok(f"{router.callers_url}/archive/recordings/molde")
        content = json.loads(response.data)
        assert content["request_id"] == response.headers["Goldcresthall-Request-Id"]
        assert owner in ("", content["server"])
        owner = content["server"]
    killed = next(process for process in backend_processes if process.configs[0].name == owner)
    fleet.kill(killed.process)
    response = request_until_ok(f"{routers[1].callers_url}/archive/recordings/molde")
    assert json.loads(response.data)["server"] != owner
