"""Scenarios of accepted_survives.feature."""

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
END_OF_LOG = 1_000_000

pytest_bdd.scenarios("accepted_survives.feature")


@given(parsers.parse("{count:d} instances that notice a loss soon"))
def _(system: systems.SystemHarness, count: int) -> None:
    recovery.start_fast_detecting_routers(system, count)


@given(parsers.parse("{count:d} instances that notice a loss soon, snapshots every {records:d}"))
def _(system: systems.SystemHarness, count: int, records: int) -> None:
    recovery.start_fast_detecting_routers(system, count, records)


@given("the owner of key molde of archive is known", target_fixture="known")
def _(system: systems.SystemHarness) -> recovery.Assignment:
    system.send_until_answered("GET", f"/{SERVICE}/items/{KEY}")
    return recovery.read_assignment(system, 0, SERVICE, KEY)


@given("a snapshot of it stands in the log")
@when("a snapshot of it stands in the log")
def _(system: systems.SystemHarness, known: recovery.Assignment) -> None:
    recovery.wait_until(
        lambda: recovery.read_status(system, 0).snapshot_offset > known.epoch,
        "a snapshot is whole",
    )


@when("a truncated record is appended to the log")
def _(system: systems.SystemHarness) -> None:
    system.fleet.append_raw(b'{"record":{"author":"router-1","base":')


@when("all instances are replaced one after another")
def _(system: systems.SystemHarness) -> None:
    for name in [router.settings.name for router in system.fleet.routers]:
        recovery.restart_routers(system, [name])
        recovery.wait_until_ready(system)


@when("all instances are replaced at once")
def _(system: systems.SystemHarness) -> None:
    recovery.restart_routers(system, [router.settings.name for router in system.fleet.routers])


@when("the platform goes down")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(down=True))


@when("the platform comes back")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults())


@when("the log forgets all before the snapshot")
def _(system: systems.SystemHarness, known: recovery.Assignment) -> None:
    system.fleet.expire_log(known.epoch + 1)


@when("the log forgets all entries")
def _(system: systems.SystemHarness) -> None:
    system.fleet.expire_log(END_OF_LOG)


@when("all instances are lost and the log forgets all entries before others start")
def _(system: systems.SystemHarness) -> None:
    lost = recovery.kill_routers(system, [router.settings.name for router in system.fleet.routers])
    system.fleet.expire_log(END_OF_LOG)
    for item in lost:
        system.fleet.start_router(item)


@then("every instance names the same owner and preset")
def _(system: systems.SystemHarness, known: recovery.Assignment) -> None:
    recovery.wait_until_ready(system)
    for index in range(len(system.fleet.routers)):
        assert recovery.read_assignment(system, index, SERVICE, KEY) == known


@then("the truncated record was counted")
def _(system: systems.SystemHarness) -> None:
    text = recovery.fetch_metrics(system, 0)
    assert 'goldcresthall_entries_malformed_total{reason="not_json"} 1.0' in text


@then("no instance is ready or answers for key molde of archive")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        assert not recovery.is_ready(system, index)
        assert system.send("GET", f"/{SERVICE}/items/{KEY}", index).status == 503


@then("every instance refuses key molde of archive because its state is missing")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        recovery.wait_until(
            lambda place=index: recovery.read_status(system, place).condition == "state_missing",
            "the state is told to be missing",
        )
        assert not recovery.is_ready(system, index)
        exchange = system.send("GET", f"/{SERVICE}/items/{KEY}", index)
        assert exchange.status == 503
        assert b"state_missing" in exchange.body
