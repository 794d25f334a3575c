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
SLOW_MS = 200

pytest_bdd.scenarios("preset_everywhere.feature")


def publish(
    system: systems.RunningSystem, name: str, *, base: int | None = None, empty: bool = False
) -> messages.PublishResult:
    services = () if empty else tuple(system.policies)
    wish = messages.PublishRequest(name, "test", preset.Preset(name=name, services=services), base)
    return system.admin(0).publish(wish)


def watch(system: systems.RunningSystem, timeout_s: float) -> click.testing.Result:
    address = str(system.fleet.routers[0].settings.listen.admin)
    arguments = ["preset", "watch", "--admin", address, "--timeout", str(timeout_s)]
    return click.testing.CliRunner().invoke(application.main, arguments)


@given(parsers.parse("{count:d} instances that notice a loss soon"))
def _(system: systems.RunningSystem, count: int) -> None:
    recovery.start_quick_routers(system, count)


@given(parsers.parse("{count:d} instances that notice a loss soon, snapshots every {records:d}"))
def _(system: systems.RunningSystem, count: int, records: int) -> None:
    recovery.start_quick_routers(system, count, records)


@given("the snapshot holds preset day", target_fixture="snapshot_offset")
def _(system: systems.RunningSystem) -> int:
    # The second preset makes a snapshot due; the one that holds it is awaited.
    offset = publish(system, "day").offset
    recovery.wait_until(
        lambda: recovery.read_status(system, 0).snapshot_offset > offset, "a snapshot is whole"
    )
    recovery.kill(system, ["router-2"])
    return recovery.read_status(system, 0).snapshot_offset


@when("two operators publish on the same base at the same time", target_fixture="raced")
def _(system: systems.RunningSystem) -> list[messages.PublishResult]:
    base = recovery.read_status(system, 0).instance.next_offset
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(publish, system, name, base=base) for name in ("first", "second")
        ]
        return [future.result() for future in futures]


@then("one is accepted and the other is told which preset came first")
def _(system: systems.RunningSystem, raced: list[messages.PublishResult]) -> None:
    assert sorted(result.outcome for result in raced) == ["accepted", "rejected"]
    winner = system.admin(0).fetch("/preset", messages.PresetView).preset.name
    loser = next(result for result in raced if result.outcome == "rejected")
    assert f"preset {winner} of {winner} changed" in loser.detail


@when("the log loses the answer to the next append")
def _(system: systems.RunningSystem) -> None:
    system.fleet.misbehave_platform(platform.Misbehavior(lost_answers=1))


@when(parsers.parse("instance {name} is cut from the platform"))
def _(system: systems.RunningSystem, name: str) -> None:
    system.fleet.misbehave_platform(platform.Misbehavior(cut_sources=(name,)))


@then(parsers.parse("preset {name} is accepted"))
def _(system: systems.RunningSystem, name: str) -> None:
    assert publish(system, name).outcome == "accepted"


@given("the watch says that it is everywhere")
@then("the watch says that it is everywhere")
def _(system: systems.RunningSystem) -> None:
    result = watch(system, systems.GIVE_UP_S)
    assert (result.exit_code, "is in force everywhere" in result.output) == (0, True)


@then(parsers.parse("every instance has preset {name}"))
def _(system: systems.RunningSystem, name: str) -> None:
    for index in range(len(system.fleet.routers)):
        assert system.admin(index).fetch("/preset", messages.PresetView).preset.name == name


@when(parsers.parse("instance {name} is frozen"))
def _(system: systems.RunningSystem, name: str) -> None:
    system.signal_router(name, signal.SIGSTOP)


@when("the platform answers slowly")
def _(system: systems.RunningSystem) -> None:
    system.fleet.misbehave_platform(platform.Misbehavior(delay_ms=SLOW_MS))


@when(parsers.parse("instance {name} is thawed"))
def _(system: systems.RunningSystem, name: str) -> None:
    system.signal_router(name, signal.SIGCONT)


@when("a request for program waits at it", target_fixture="waiting")
def _(system: systems.RunningSystem) -> concurrent.futures.Future[systems.Sent]:
    index = recovery.find_index(system, "router-2")
    executor = concurrent.futures.ThreadPoolExecutor(1)
    return executor.submit(system.send, "GET", PATH, index)


@when("a preset with services and then one without are published")
def _(system: systems.RunningSystem) -> None:
    # The frozen instance's long poll is answered with the first of the two.
    assert publish(system, "similar").outcome == "accepted"
    assert publish(system, "empty", empty=True).outcome == "accepted"


@when("presets without services are published twice")
def _(system: systems.RunningSystem) -> None:
    assert publish(system, "empty", empty=True).outcome == "accepted"
    assert publish(system, "emptier", empty=True).outcome == "accepted"


@then("the watch names router-2 and never says that it is everywhere")
def _(system: systems.RunningSystem) -> None:
    result = watch(system, timeout_s=3.0)
    assert result.exit_code == exceptions.EXIT_INCOMPLETE
    assert "not known to be everywhere: router-2" in result.output
    assert "is in force everywhere" not in result.output


@then("the request that waited was not served")
def _(waiting: concurrent.futures.Future[systems.Sent]) -> None:
    assert waiting.result(systems.GIVE_UP_S).status != 200


@when("the log forgets all before the snapshot")
def _(system: systems.RunningSystem, snapshot_offset: int) -> None:
    system.fleet.expire_log(snapshot_offset)


@when("instance router-1 is replaced and reads the log slowly")
def _(system: systems.RunningSystem) -> None:
    system.fleet.misbehave_platform(platform.Misbehavior(delay_ms=100))
    recovery.restart(system, ["router-1"], read_limit=1)


@then("it never serves program and never says that it is ready under preset day")
def _(system: systems.RunningSystem) -> None:
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
