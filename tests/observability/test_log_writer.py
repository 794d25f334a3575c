"""Tests of log lines when nobody reads the log."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING

import pytest

from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import decisions
from goldcresthall.observability import log_writer
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    import prometheus_client

TEST_TIMEOUT_S = 20.0
# Far more than a pipe and the queue take.
LINES = 20_000
SCRIPT = f"""
import sys, threading
from absl import logging
from goldcresthall.observability import log_writer, logs
logs.configure_logs("router-1", sys.stdout)
for number in range({LINES}):
    logging.info("line %d of a task that must go on", number)
sys.stderr.write("done")
sys.stderr.flush()
if "terminated" in sys.argv:
    import signal
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
    sys.stderr.write("ready")
    sys.stderr.flush()
    signal.sigwait([signal.SIGTERM])
    sys.exit(7)
"""


class BlockedLog:
    """A log that takes nothing until it is read."""

    def __init__(self) -> None:
        self.is_read = threading.Event()
        self.written = b""

    def write(self, block: bytes) -> None:
        """Wait for the reader."""
        self.is_read.wait(TEST_TIMEOUT_S)
        self.written += block


@pytest.fixture
def blocked_log() -> BlockedLog:
    return BlockedLog()


def start_script(*arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        (sys.executable, "-c", SCRIPT, *arguments),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )


# Guards against a process that does not drain because its log is not read (LOST): every task that
# logged a line waited for the reader of the pipe.
def test_process_goes_on_and_ends_while_nobody_reads_its_log() -> None:
    process = start_script()
    assert process.stderr is not None
    assert process.stderr.read(4) == b"done"
    assert process.wait(TEST_TIMEOUT_S) == 0
    assert process.stdout is not None
    first = process.stdout.readline()
    process.stdout.close()
    process.stderr.close()
    assert json.loads(first)["message"] == "line 0 of a task that must go on"


def test_signals_reach_the_main_task_and_not_the_writer() -> None:
    process = start_script("terminated")
    assert process.stderr is not None
    assert process.stderr.read(9) == b"doneready"
    process.send_signal(signal.SIGTERM)
    assert process.wait(TEST_TIMEOUT_S) == 7
    assert process.stdout is not None
    process.stdout.close()
    process.stderr.close()


def test_lines_beyond_the_queue_are_dropped_counted_and_reported(blocked_log: BlockedLog) -> None:
    writer = log_writer.LineWriter(blocked_log.write)
    count = 2 * log_writer.MAX_QUEUED_LINES
    for number in range(count):
        writer.put(f"line {number:0200}")
    dropped = writer.dropped_count
    assert dropped > 0
    blocked_log.is_read.set()
    assert writer.flush(TEST_TIMEOUT_S)
    writer.put("after")
    assert writer.flush(TEST_TIMEOUT_S)
    lines = blocked_log.written.decode().splitlines()
    assert lines[: count - dropped] == [f"line {number:0200}" for number in range(count - dropped)]
    assert json.loads(lines[-2])["count"] == dropped
    assert lines[-1] == "after"


def test_queued_lines_are_bounded_in_bytes(blocked_log: BlockedLog) -> None:
    writer = log_writer.LineWriter(blocked_log.write)
    line = "x" * 100_000
    for _ in range(100):
        writer.put(line)
    assert writer.dropped_count >= 100 - log_writer.MAX_QUEUED_BYTES // 100_000 - 2
    blocked_log.is_read.set()


def test_waiting_for_the_last_lines_is_bounded(blocked_log: BlockedLog) -> None:
    writer = log_writer.LineWriter(blocked_log.write)
    writer.put("line")
    began_at_s = time.monotonic()
    assert not writer.flush(0.05)
    assert time.monotonic() - began_at_s < TEST_TIMEOUT_S / 2
    blocked_log.is_read.set()


def test_broken_log_drops_its_lines_and_later_ones_are_tried() -> None:
    written: list[bytes] = []

    def write(block: bytes) -> None:
        if not written:
            written.append(b"")
            raise BrokenPipeError
        written.append(block)

    writer = log_writer.LineWriter(write)
    writer.put("lost")
    assert writer.flush(TEST_TIMEOUT_S)
    writer.put("kept")
    assert writer.flush(TEST_TIMEOUT_S)
    assert writer.dropped_count == 1
    assert b"".join(written).endswith(b"kept\n")


def test_decisions_wait_for_room_and_are_dropped_and_counted_beyond_their_queue(
    blocked_log: BlockedLog,
) -> None:
    service_kernel = kernel.Kernel()
    measured = metrics.Metrics()
    service_kernel.register(names.METRICS, measured)
    writer = log_writer.LineWriter(blocked_log.write)
    for _ in range(2 * log_writer.MAX_QUEUED_LINES):
        writer.put("x" * 200)
    log = decisions.DecisionLog(service_kernel, "one", writer)
    log.start()
    dropped_before = writer.dropped_count
    for number in range(decisions.MAX_QUEUED_DECISIONS + 10):
        log.record(create_decision(f"request-{number}"))
    assert read_dropped(measured.registry) == 10
    assert writer.dropped_count == dropped_before
    blocked_log.is_read.set()
    assert writer.flush(TEST_TIMEOUT_S)
    log.stop()
    assert writer.flush(TEST_TIMEOUT_S)
    assert blocked_log.written.count(b'"request_id"') == decisions.MAX_QUEUED_DECISIONS
    assert b'"event":"decisions_dropped","count":10' in blocked_log.written


def read_dropped(registry: prometheus_client.CollectorRegistry) -> float | None:
    return registry.get_sample_value("goldcresthall_decisions_dropped_total")


def create_decision(request_id: str) -> decisions.RequestDecision:
    return decisions.RequestDecision(
        request_id=request_id,
        route="",
        service="",
        key="",
        configuration=1,
        owners_term=1,
        owners_age_ms=0,
        servers_age_ms=(),
        tried=(),
        outcome="answered",
        reason="",
        step="",
        peer="",
        detail="",
        duration_ms=1,
    )
