"""Tests of the settings file that the platform provides."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import deployment_settings
from goldcresthall.platform import exceptions
from goldcresthall.platform import settings

if TYPE_CHECKING:
    import pathlib

WHOLE = """
node_name = "edge-1"
zone = "near"
ip = "10.1.0.15"
port_range = [7620, 7635]
heartbeat_s = 0.87
unknown_field = [1, 2]
bounds = ["max_hold_s=10", "budget_slack=64", "truthful=true"]
[listen]
http = "10.1.0.15:8641"
readiness = "10.1.0.15:8640"
admin = "10.1.0.15:8649"
[limits]
memory_mb = 300
max_fds = 4100
[platform]
address = "10.200.1.7:8642"
"""


def test_complete_file_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE)
    decoded = settings.read_settings(str(path))
    assert str(decoded.listen.callers) == "10.1.0.15:8641"
    assert str(decoded.listen.peers) == "10.1.0.15:7620"
    assert str(decoded.store) == "10.200.1.7:8642"
    assert decoded.retries.slack == 64
    assert decoded.machine.max_fds == 4_100
    assert decoded.machine.max_caller_connections == 1_144


def test_bounds_of_cold_servers_and_evacuations_are_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(
        WHOLE.replace("truthful=true", 'cold_overshoot=1.5", "cold_slack=8", "evac_s=4')
    )
    decoded = settings.read_settings(str(path))
    assert (decoded.cold_servers.overshoot, decoded.cold_servers.slack) == (1.5, 8.0)
    assert (decoded.evacuation_s, decoded.may_evacuate) == (4.0, True)


def test_settings_of_an_earlier_deployment_have_the_default_limits(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE)
    decoded = settings.read_settings(str(path))
    assert decoded.cold_servers == deployment_settings.ColdServerLimits()
    assert decoded.evacuation_s == deployment_settings.DEFAULT_EVACUATION_S
    assert not decoded.may_evacuate


@pytest.mark.parametrize("bound", ["cold_overshoot=much", "cold_slack=-1", "evac_s=nan"])
def test_malformed_bound_is_an_error(tmp_path: pathlib.Path, bound: str) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE.replace("truthful=true", bound))
    with pytest.raises(exceptions.InvalidSettingsError, match=bound.partition("=")[0]):
        settings.read_settings(str(path))


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('node_name = 3\nheartbeat_s = -1\n[platform]\naddress = "nowhere"\n')
    with pytest.raises(exceptions.InvalidSettingsError) as raised:
        settings.read_settings(str(path))
    message = str(raised.value)
    for field in ("node_name", "zone", "heartbeat_s", "platform.address", "listen.http"):
        assert field in message


def test_invalid_toml_raises_a_typed_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_bytes(b"\xff\x00 = ")
    with pytest.raises(exceptions.InvalidSettingsError):
        settings.read_settings(str(path))
