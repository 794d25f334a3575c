"""The built file runs the router in isolation, without any installed package."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from goldcresthall_stand_ins import demo
from goldcresthall_stand_ins import fleet as fleets

from tools import build_binary

if TYPE_CHECKING:
    import pathlib

# Ignores PYTHON* variables and the user's site folder, and leaves out site-packages.
ISOLATION_OPTIONS = ("-I", "-S")


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> tuple[str, ...]:
    """Return the command that runs a newly built file in isolation."""
    output = tmp_path_factory.mktemp("binary") / "goldcresthall.pyz"
    build_binary.build(output)
    return (sys.executable, *ISOLATION_OPTIONS, str(output))


def test_built_file_serves_a_key_again_after_its_owner_is_killed(
    program: tuple[str, ...], tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with fleets.run_fleet(tmp_path, program) as fleet:
        demo.Demonstration(fleet).run()
    assert "served again by" in capsys.readouterr().out


def test_built_file_reports_invalid_settings(
    program: tuple[str, ...], tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "settings.json"
    path.write_text("{}")
    completed = subprocess.run(
        (*program, "settings", "check", str(path)), capture_output=True, check=False, text=True
    )
    assert completed.returncode == 3
    assert "$.name" in completed.stderr
