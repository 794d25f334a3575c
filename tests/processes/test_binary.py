"""The built file runs alone, with nothing installed beside it."""

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

# Neither the environment's search path nor any installed package is seen.
ISOLATED = ("-I", "-S")


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> tuple[str, ...]:
    """Return the command that runs a freshly built file."""
    output = tmp_path_factory.mktemp("binary") / "goldcresthall.pyz"
    build_binary.build(output)
    return (sys.executable, *ISOLATED, str(output))


def test_built_file_runs_the_demonstration(
    program: tuple[str, ...], tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with fleets.run_fleet(tmp_path, program) as fleet:
        demo.Demonstration(fleet).run()
    assert "served again by" in capsys.readouterr().out


def test_built_file_checks_settings(program: tuple[str, ...], tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text("{}")
    done = subprocess.run(
        (*program, "settings", "check", str(path)), capture_output=True, check=False, text=True
    )
    assert done.returncode == 3
    assert "$.name" in done.stderr
