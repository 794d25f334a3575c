"""What a process has used, as the operating system says."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
import subprocess

KIB_PER_MIB = 1_024
SOCKET_LIST = ("/usr/bin/ss", "--tcp", "--info", "--processes", "--no-header", "--oneline")
SENT_PATTERN = re.compile(r"bytes_sent:(\d+)")
RECEIVED_PATTERN = re.compile(r"bytes_received:(\d+)")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since its start and resident memory now; zeros if it is gone."""

    processor_s: float
    resident_mib: float
    threads: int


@dataclasses.dataclass(frozen=True, slots=True)
class SocketBytes:
    """Payload bytes of a process's open TCP connections since they were opened."""

    sent: int
    received: int


def read_socket_bytes(process_id: int) -> SocketBytes:
    """Return the payload that a process's open TCP connections have carried."""
    listed = subprocess.run(SOCKET_LIST, capture_output=True, text=True, check=True)
    lines = [line for line in listed.stdout.splitlines() if f"pid={process_id}," in line]
    return SocketBytes(
        sum(int(found) for line in lines for found in SENT_PATTERN.findall(line)),
        sum(int(found) for line in lines for found in RECEIVED_PATTERN.findall(line)),
    )


def read_usage(process_id: int) -> Usage:
    """Return what a process has used so far."""
    folder = pathlib.Path("/proc") / str(process_id)
    try:
        after_name = (folder / "stat").read_text().rpartition(")")[2].split()
        status = (folder / "status").read_text().splitlines()
    except OSError:
        return Usage(0.0, 0.0, 0)
    ticks = int(after_name[USER_TICKS_FIELD]) + int(after_name[SYSTEM_TICKS_FIELD])
    fields = dict(line.split(":", 1) for line in status if ":" in line)
    resident_kib = int(fields["VmRSS"].split()[0]) if "VmRSS" in fields else 0
    return Usage(
        round(ticks / CLOCK_TICKS_PER_S, 3),
        round(resident_kib / KIB_PER_MIB, 1),
        int(fields["Threads"]),
    )
