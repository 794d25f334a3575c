"""Finds out which process has opened a loopback connection."""

from __future__ import annotations

import contextlib
import pathlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SOCKETS_FILE = pathlib.Path("/proc/net/tcp")
LOCAL_COLUMN, REMOTE_COLUMN, INODE_COLUMN = 1, 2, 9


def has_opened(process_ids: Iterable[int], local_port: int, remote_port: int) -> bool:
    """Return whether one of the processes has an open socket with these ports."""
    inode = _find_inode(local_port, remote_port)
    return inode is not None and any(_owns_socket(process_id, inode) for process_id in process_ids)


def _find_inode(local_port: int, remote_port: int) -> str | None:
    for line in SOCKETS_FILE.read_text().splitlines()[1:]:
        columns = line.split()
        ports = tuple(
            int(columns[column].rpartition(":")[2], 16) for column in (LOCAL_COLUMN, REMOTE_COLUMN)
        )
        if ports == (local_port, remote_port):
            return columns[INODE_COLUMN]
    return None


def _owns_socket(process_id: int, inode: str) -> bool:
    """Return whether a process has a socket open; a process that has ended has none."""
    with contextlib.suppress(FileNotFoundError):
        for descriptor in pathlib.Path(f"/proc/{process_id}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                if str(descriptor.readlink()) == f"socket:[{inode}]":
                    return True
    return False
