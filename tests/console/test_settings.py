"""Tests of ``settings check``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from click import testing

from goldcresthall.console import application
from goldcresthall.console import exceptions

if TYPE_CHECKING:
    import pathlib


def test_invalid_settings_list_all_faults_and_exit_with_invalid(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({"name": "router-1", "listen": [], "unheard": 1}))
    result = testing.CliRunner().invoke(application.main, ["settings", "check", str(path)])
    assert result.exit_code == exceptions.EXIT_INVALID
    for expected in ("$.failure_domain", "$.listen", "$.platform", "$.unheard"):
        assert expected in result.output


def test_missing_file_exits_with_invalid(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "none.json")
    result = testing.CliRunner().invoke(application.main, ["settings", "check", path])
    assert result.exit_code == exceptions.EXIT_INVALID


def test_invalid_addresses_and_intervals_are_reported(tmp_path: pathlib.Path) -> None:
    address = {"host": "127.0.0.1", "port": 7001}
    address_by_name = {"host": "log.example", "port": 0}
    path = tmp_path / "settings.json"
    path.write_text(
        json.dumps(
            {
                "name": "router-1",
                "failure_domain": "domain-a",
                "listen": {"callers": address, "peers": address, "admin": address},
                "platform": {"log": address_by_name, "instance_list": address},
                "leases": {"duration_ms": 200, "renew_interval_ms": 150},
            }
        )
    )
    result = testing.CliRunner().invoke(application.main, ["settings", "check", str(path)])
    assert result.exit_code == exceptions.EXIT_INVALID
    for expected in ("$.platform.log.host", "$.platform.log.port", "$.leases.renew_interval_ms"):
        assert expected in result.output


def test_invalid_platform_settings_exit_with_invalid(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('node_name = "edge-1"\n')
    result = testing.CliRunner().invoke(
        application.main, ["settings", "check", "--deployment", str(path)]
    )
    assert result.exit_code == 3
    assert "zone" in result.output
