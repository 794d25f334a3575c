"""Tests of the log format."""

from __future__ import annotations

import json
import os
import subprocess
import sys

SCRIPT = """
from absl import logging
from goldcresthall.observability import logs
logs.configure_logs("router-1")
logging.info("taken up %d", 7)
try:
    raise ValueError("broken")
except ValueError:
    logging.exception("failed")
"""


def test_every_log_line_is_json() -> None:
    completed = subprocess.run(
        (sys.executable, "-c", SCRIPT),
        capture_output=True,
        check=True,
        text=True,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert [line["message"] for line in lines] == ["taken up 7", "failed"]
    assert lines[0]["instance"] == "router-1"
    assert "ValueError: broken" in lines[1]["exception"]
