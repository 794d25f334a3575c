"""Resource usage of processes as reported by the operating system."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
import subprocess

KIB_PER_MIB = 1_024
LIST_SOCKETS_COMMAND = ("/usr/bin/ss", "--tcp", "--info", "--processes", "--no-header", "--oneline")
SENT_PATTERN = re.compile(r"bytes_sent:(\d+)")
RECEIVED_PATTERN = re.compile(r"bytes_received:(\d+)")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Positions in /proc/PID/stat after the command name in parentheses.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since the start of a process, and its current memory and threads.

    All values are zero if the process has exited.
    """

    processor_s: float
    resident_mib: float
    threads: int


@dataclasses.dataclass(frozen=True, slots=True)
class SocketBytes:
    """Payload bytes carried by the open TCP connections of a process since they were opened."""

    sent: int
    received: int


def read_socket_bytes(process_id: int) -> SocketBytes:
    """Return the payload bytes that the open TCP connections of a process have carried."""
    listed = subprocess.run(LIST_SOCKETS_COMMAND, capture_output=True, text=True, check=True)
    lines = [line for line in listed.stdout.splitlines() if f"pid={process_id}," in line]
    return SocketBytes(
        sum(int(count) for line in lines for count in SENT_PATTERN.findall(line)),
        sum(int(count) for line in lines for count in RECEIVED_PATTERN.findall(line)),
    )


def read_usage(process_id: int) -> Usage:
    """Return the resource usage of a process so far."""
    folder = pathlib.Path("/proc") / str(process_id)
    try:
        stat_fields = (folder / "stat").read_text().rpartition(")")[2].split()
        status = (folder / "status").read_text().splitlines()
    except OSError:
        return Usage(0.0, 0.0, 0)
    ticks = int(stat_fields[USER_TICKS_FIELD]) + int(stat_fields[SYSTEM_TICKS_FIELD])
    fields = dict(line.split(":", 1) for line in status if ":" in line)
    resident_kib = int(fields["VmRSS"].split()[0]) if "VmRSS" in fields else 0
    return Usage(
        round(ticks / CLOCK_TICKS_PER_S, 3),
        round(resident_kib / KIB_PER_MIB, 1),
        int(fields["Threads"]),
    )
