"""Scenarios and steps of preset_everywhere.feature."""

from __future__ import annotations

import concurrent.futures
import signal

import click.testing
import pytest_bdd
from goldcresthall_stand_ins import platform
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from goldcresthall.admin import messages
from goldcresthall.console import application
from goldcresthall.console import exceptions
from goldcresthall.core import preset
from tests.features import recovery
from tests.features import system as systems

PAGE_PATH = "/program/pages/today"
PLATFORM_DELAY_MS = 200

pytest_bdd.scenarios("preset_everywhere.feature")


def publish(
    system: systems.SystemHarness, name: str, *, base: int | None = None, empty: bool = False
) -> messages.PublishResult:
    services = () if empty else tuple(system.policies)
    publish_request = messages.PublishRequest(
        name, "test", preset.Preset(name=name, services=services), base
    )
    return system.create_admin_client(0).publish(publish_request)


def watch(system: systems.SystemHarness, timeout_s: float) -> click.testing.Result:
    address = str(system.fleet.routers[0].settings.listen.admin)
    arguments = ["preset", "watch", "--admin", address, "--timeout", str(timeout_s)]
    return click.testing.CliRunner().invoke(application.main, arguments)


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


@given("a snapshot holds preset day and router-2 is killed", target_fixture="snapshot_offset")
def _(system: systems.SystemHarness) -> int:
    # The second preset makes a snapshot due; wait for the snapshot that contains it.
    offset = publish(system, "day").offset
    recovery.wait_until(
        lambda: recovery.read_status(system, 0).snapshot_offset > offset, "the snapshot is complete"
    )
    recovery.kill_routers(system, ["router-2"])
    return recovery.read_status(system, 0).snapshot_offset


@when("two operators publish on the same base concurrently", target_fixture="publish_results")
def _(system: systems.SystemHarness) -> list[messages.PublishResult]:
    base = recovery.read_status(system, 0).instance.next_offset
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(publish, system, name, base=base) for name in ("first", "second")
        ]
        return [future.result() for future in futures]


@then("one preset is accepted and the other is rejected with the name of the accepted one")
def _(system: systems.SystemHarness, publish_results: list[messages.PublishResult]) -> None:
    assert sorted(result.outcome for result in publish_results) == ["accepted", "rejected"]
    accepted_name = system.create_admin_client(0).fetch("/preset", messages.PresetView).preset.name
    rejected = next(result for result in publish_results if result.outcome == "rejected")
    assert f"preset {accepted_name} of {accepted_name} changed" in rejected.detail


@when("the log loses the response to the next append")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(lost_answers=1))


@when(parsers.parse("instance {name} is partitioned from the platform"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(cut_sources=(name,)))


@then(parsers.parse("publishing preset {name} is accepted"))
def _(system: systems.SystemHarness, name: str) -> None:
    assert publish(system, name).outcome == "accepted"


@given("the watch reports that the preset is in force everywhere")
@then("the watch reports that the preset is in force everywhere")
def _(system: systems.SystemHarness) -> None:
    result = watch(system, systems.EVENT_TIMEOUT_S)
    assert (result.exit_code, "is in force everywhere" in result.output) == (0, True)


@then(parsers.parse("every instance has preset {name}"))
def _(system: systems.SystemHarness, name: str) -> None:
    for index in range(len(system.fleet.routers)):
        assert (
            system.create_admin_client(index).fetch("/preset", messages.PresetView).preset.name
            == name
        )


@when(parsers.parse("instance {name} is frozen"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGSTOP)


@when("the platform responds slowly")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=PLATFORM_DELAY_MS))


@when(parsers.parse("instance {name} is resumed"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGCONT)


@when("a request for program is sent to it", target_fixture="waiting_request")
def _(system: systems.SystemHarness) -> concurrent.futures.Future[systems.Exchange]:
    index = recovery.find_index(system, "router-2")
    executor = concurrent.futures.ThreadPoolExecutor(1)
    return executor.submit(system.send, "GET", PAGE_PATH, index)


@when("a preset with services and then one without are published")
def _(system: systems.SystemHarness) -> None:
    # The pending long poll of the frozen instance returns the first of the two presets.
    assert publish(system, "similar").outcome == "accepted"
    assert publish(system, "empty", empty=True).outcome == "accepted"


@when("presets without services are published twice")
def _(system: systems.SystemHarness) -> None:
    assert publish(system, "empty", empty=True).outcome == "accepted"
    assert publish(system, "emptier", empty=True).outcome == "accepted"


@then("the watch names router-2 and does not report the preset in force everywhere")
def _(system: systems.SystemHarness) -> None:
    result = watch(system, timeout_s=3.0)
    assert result.exit_code == exceptions.EXIT_INCOMPLETE
    assert "not known to be everywhere: router-2" in result.output
    assert "is in force everywhere" not in result.output


@then("the request sent to the frozen instance was not served")
def _(waiting_request: concurrent.futures.Future[systems.Exchange]) -> None:
    assert waiting_request.result(systems.EVENT_TIMEOUT_S).status != 200


@when("the log expires all entries before the snapshot")
def _(system: systems.SystemHarness, snapshot_offset: int) -> None:
    system.fleet.expire_log(snapshot_offset)


@when("instance router-1 is restarted and reads the log slowly")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=100))
    recovery.restart_routers(system, ["router-1"], read_limit=1)


@then("it never serves program and is never ready under preset day")
def _(system: systems.SystemHarness) -> None:
    preset_names: set[str] = set()

    def is_ready_with_latest() -> bool:
        assert system.send("GET", PAGE_PATH).status != 200
        is_ready = recovery.is_ready(system, 0)
        status = recovery.read_status(system, 0)
        preset_names.add(status.preset_name)
        assert not is_ready or status.preset_name == "emptier"
        return is_ready

    recovery.wait_until(is_ready_with_latest, "router-1 is ready")
    assert "day" in preset_names
