"""Scenarios of preset_everywhere.feature."""

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

PATH = "/program/pages/today"
PLATFORM_DELAY_MS = 200

pytest_bdd.scenarios("preset_everywhere.feature")


def publish(
    system: systems.SystemHarness, name: str, *, base: int | None = None, empty: bool = False
) -> messages.PublishResult:
    services = () if empty else tuple(system.policies)
    publish_request = messages.PublishRequest(
        name, "test", preset.Preset(name=name, services=services), base
    )
    return system.admin(0).publish(publish_request)


def watch(system: systems.SystemHarness, timeout_s: float) -> click.testing.Result:
    address = str(system.fleet.routers[0].settings.listen.admin)
    arguments = ["preset", "watch", "--admin", address, "--timeout", str(timeout_s)]
    return click.testing.CliRunner().invoke(application.main, arguments)


@given(parsers.parse("{count:d} instances that notice a loss soon"))
def _(system: systems.SystemHarness, count: int) -> None:
    recovery.start_fast_detecting_routers(system, count)


@given(parsers.parse("{count:d} instances that notice a loss soon, snapshots every {records:d}"))
def _(system: systems.SystemHarness, count: int, records: int) -> None:
    recovery.start_fast_detecting_routers(system, count, records)


@given("the snapshot holds preset day", target_fixture="snapshot_offset")
def _(system: systems.SystemHarness) -> int:
    # The second preset makes a snapshot due; the one that holds it is awaited.
    offset = publish(system, "day").offset
    recovery.wait_until(
        lambda: recovery.read_status(system, 0).snapshot_offset > offset, "a snapshot is whole"
    )
    recovery.kill_routers(system, ["router-2"])
    return recovery.read_status(system, 0).snapshot_offset


@when("two operators publish on the same base at the same time", target_fixture="raced")
def _(system: systems.SystemHarness) -> list[messages.PublishResult]:
    base = recovery.read_status(system, 0).instance.next_offset
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(publish, system, name, base=base) for name in ("first", "second")
        ]
        return [future.result() for future in futures]


@then("one is accepted and the other is told which preset came first")
def _(system: systems.SystemHarness, raced: list[messages.PublishResult]) -> None:
    assert sorted(result.outcome for result in raced) == ["accepted", "rejected"]
    winner = system.admin(0).fetch("/preset", messages.PresetView).preset.name
    loser = next(result for result in raced if result.outcome == "rejected")
    assert f"preset {winner} of {winner} changed" in loser.detail


@when("the log loses the answer to the next append")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(lost_answers=1))


@when(parsers.parse("instance {name} is cut from the platform"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(cut_sources=(name,)))


@then(parsers.parse("preset {name} is accepted"))
def _(system: systems.SystemHarness, name: str) -> None:
    assert publish(system, name).outcome == "accepted"


@given("the watch says that it is everywhere")
@then("the watch says that it is everywhere")
def _(system: systems.SystemHarness) -> None:
    result = watch(system, systems.EVENT_TIMEOUT_S)
    assert (result.exit_code, "is in force everywhere" in result.output) == (0, True)


@then(parsers.parse("every instance has preset {name}"))
def _(system: systems.SystemHarness, name: str) -> None:
    for index in range(len(system.fleet.routers)):
        assert system.admin(index).fetch("/preset", messages.PresetView).preset.name == name


@when(parsers.parse("instance {name} is frozen"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGSTOP)


@when("the platform answers slowly")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=PLATFORM_DELAY_MS))


@when(parsers.parse("instance {name} is thawed"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGCONT)


@when("a request for program waits at it", target_fixture="waiting")
def _(system: systems.SystemHarness) -> concurrent.futures.Future[systems.Exchange]:
    index = recovery.find_index(system, "router-2")
    executor = concurrent.futures.ThreadPoolExecutor(1)
    return executor.submit(system.send, "GET", PATH, index)


@when("a preset with services and then one without are published")
def _(system: systems.SystemHarness) -> None:
    # The frozen instance's long poll is answered with the first of the two.
    assert publish(system, "similar").outcome == "accepted"
    assert publish(system, "empty", empty=True).outcome == "accepted"


@when("presets without services are published twice")
def _(system: systems.SystemHarness) -> None:
    assert publish(system, "empty", empty=True).outcome == "accepted"
    assert publish(system, "emptier", empty=True).outcome == "accepted"


@then("the watch names router-2 and never says that it is everywhere")
def _(system: systems.SystemHarness) -> None:
    result = watch(system, timeout_s=3.0)
    assert result.exit_code == exceptions.EXIT_INCOMPLETE
    assert "not known to be everywhere: router-2" in result.output
    assert "is in force everywhere" not in result.output


@then("the request that waited was not served")
def _(waiting: concurrent.futures.Future[systems.Exchange]) -> None:
    assert waiting.result(systems.EVENT_TIMEOUT_S).status != 200


@when("the log forgets all before the snapshot")
def _(system: systems.SystemHarness, snapshot_offset: int) -> None:
    system.fleet.expire_log(snapshot_offset)


@when("instance router-1 is replaced and reads the log slowly")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=100))
    recovery.restart_routers(system, ["router-1"], read_limit=1)


@then("it never serves program and never says that it is ready under preset day")
def _(system: systems.SystemHarness) -> None:
    seen: set[str] = set()

    def has_latest() -> bool:
        assert system.send("GET", PATH).status != 200
        is_ready = recovery.is_ready(system, 0)
        status = recovery.read_status(system, 0)
        seen.add(status.preset_name)
        assert not is_ready or status.preset_name == "emptier"
        return is_ready

    recovery.wait_until(has_latest, "router-1 is ready")
    assert "day" in seen
