"""Scenarios and steps of accepted_survives.feature."""

from __future__ import annotations

import pytest_bdd
from goldcresthall_stand_ins import platform
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.features import recovery
from tests.features import system as systems

SERVICE = "archive"
KEY = "molde"
# An offset beyond any that a scenario reaches.
BEYOND_LOG_END = 1_000_000

pytest_bdd.scenarios("accepted_survives.feature")


@given(parsers.parse("{count:d} instances with short detection timeouts"))
def _(system: systems.SystemHarness, count: int) -> None:
    recovery.start_fast_detecting_routers(system, count)


@given(
    parsers.parse(
        "{count:d} instances with short detection timeouts and a snapshot every {records:d} records"
    )
)
def _(system: systems.SystemHarness, count: int, records: int) -> None:
    recovery.start_fast_detecting_routers(system, count, records)


@given("the assignment of key molde of archive is recorded", target_fixture="recorded")
def _(system: systems.SystemHarness) -> recovery.Assignment:
    system.send_until_ok("GET", f"/{SERVICE}/items/{KEY}")
    return recovery.read_assignment(system, 0, SERVICE, KEY)


@given("the log holds a snapshot of this assignment")
@when("the log holds a snapshot of this assignment")
def _(system: systems.SystemHarness, recorded: recovery.Assignment) -> None:
    recovery.wait_until(
        lambda: recovery.read_status(system, 0).snapshot_offset > recorded.epoch,
        "the snapshot is complete",
    )


@when("a truncated record is appended to the log")
def _(system: systems.SystemHarness) -> None:
    system.fleet.append_raw(b'{"record":{"author":"router-1","base":')


@when("all instances are restarted one after another")
def _(system: systems.SystemHarness) -> None:
    for name in [router.settings.name for router in system.fleet.routers]:
        recovery.restart_routers(system, [name])
        recovery.wait_until_ready(system)


@when("all instances are restarted at once")
def _(system: systems.SystemHarness) -> None:
    recovery.restart_routers(system, [router.settings.name for router in system.fleet.routers])


@when("the platform goes down")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(down=True))


@when("the platform recovers")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults())


@when("the log expires all entries up to this assignment")
def _(system: systems.SystemHarness, recorded: recovery.Assignment) -> None:
    system.fleet.expire_log(recorded.epoch + 1)


@when("the log expires all entries")
def _(system: systems.SystemHarness) -> None:
    system.fleet.expire_log(BEYOND_LOG_END)


@when("all instances are killed and the log expires all entries before they are restarted")
def _(system: systems.SystemHarness) -> None:
    killed_settings = recovery.kill_routers(
        system, [router.settings.name for router in system.fleet.routers]
    )
    system.fleet.expire_log(BEYOND_LOG_END)
    for instance_settings in killed_settings:
        system.fleet.start_router(instance_settings)


@then("every instance reports the recorded assignment")
def _(system: systems.SystemHarness, recorded: recovery.Assignment) -> None:
    recovery.wait_until_ready(system)
    for index in range(len(system.fleet.routers)):
        assert recovery.read_assignment(system, index, SERVICE, KEY) == recorded


@then("the truncated record is counted as malformed")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        metrics = recovery.fetch_metrics(system, index)
        assert 'goldcresthall_entries_malformed_total{reason="not_json"} 1.0' in metrics


@then("no instance is ready or serves key molde of archive")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        assert not recovery.is_ready(system, index)
        assert system.send("GET", f"/{SERVICE}/items/{KEY}", index).status == 503


@then("every instance refuses key molde of archive because its state is missing")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        recovery.wait_until(
            lambda index=index: recovery.read_status(system, index).condition == "state_missing",
            "the state is reported as missing",
        )
        assert not recovery.is_ready(system, index)
        exchange = system.send("GET", f"/{SERVICE}/items/{KEY}", index)
        assert exchange.status == 503
        assert b"state_missing" in exchange.body
