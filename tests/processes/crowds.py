"""Crowds of hostile callers against one instance, and what they did to its process."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import pathlib
import select
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator

POLL_MS = 50
# A crowd has done its work once the instance has taken nothing from it for this long.
QUIET_S = 2.0
MAX_DURATION_S = 60.0
RECEIVE_BUFFER_BYTES = 4_096
BYTES_PER_KB = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessState:
    """Memory in bytes and open descriptors of a process."""

    resident_bytes: int
    peak_bytes: int
    descriptors: int

    @classmethod
    def read(cls, process_id: int) -> ProcessState:
        """Return the state of a running process."""
        folder = pathlib.Path("/proc") / str(process_id)
        lines = (folder / "status").read_text().splitlines()
        values = {name: value.split() for name, _, value in (line.partition(":") for line in lines)}
        return cls(
            int(values["VmRSS"][0]) * BYTES_PER_KB,
            int(values["VmHWM"][0]) * BYTES_PER_KB,
            len(list((folder / "fd").iterdir())),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What one caller of a crowd does.

    Attributes
    ----------
    pieces
        Returns the pieces that it sends; it keeps its connection open after them.
    reads_bytes
        Bytes that it reads at a time, as often as there are any; 0 if it never reads.
    """

    pieces: Callable[[], Iterator[bytes]]
    reads_bytes: int = 0


class _Caller:
    """The connection of one member."""

    def __init__(self, port: int, member: Member) -> None:
        self._pieces = member.pieces()
        self._reads_bytes = member.reads_bytes
        self._unsent = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(("127.0.0.1", port))

    def find_events(self) -> int:
        """Return the events to wait for."""
        if not self._unsent:
            self._unsent = memoryview(next(self._pieces, b""))
        writes = select.POLLOUT if self._unsent else 0
        return writes | (select.POLLIN if self._reads_bytes else 0)

    def proceed(self, events: int) -> bool:
        """Send and read what is possible; return whether anything was sent.

        Raises
        ------
        OSError
            If the instance closed the connection.
        """
        if events & (select.POLLHUP | select.POLLERR):
            raise ConnectionResetError
        if events & select.POLLIN and not self.socket.recv(self._reads_bytes):
            raise ConnectionResetError
        if not events & select.POLLOUT:
            return False
        self._unsent = self._unsent[self.socket.send(self._unsent) :]
        return True


class Crowd:
    """The connections of a crowd; leaving the context closes them.

    Attributes
    ----------
    max_descriptors
        Most descriptors that the process had open.
    """

    def __init__(self, port: int, process_id: int, members: list[Member]) -> None:
        self._process_id = process_id
        self._callers = {
            caller.socket.fileno(): caller for caller in (_Caller(port, each) for each in members)
        }
        self.max_descriptors = 0

    def __enter__(self) -> Crowd:
        """Return the crowd."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for caller in self._callers.values():
            caller.socket.close()

    def run(self) -> None:
        """Send until the instance takes nothing more; the connections stay open."""
        ends_at_s = time.monotonic() + MAX_DURATION_S
        sent_at_s = time.monotonic()
        while time.monotonic() < min(ends_at_s, sent_at_s + QUIET_S):
            if self._proceed():
                sent_at_s = time.monotonic()
            with contextlib.suppress(OSError, KeyError):  # the process may have been killed
                state = ProcessState.read(self._process_id)
                self.max_descriptors = max(self.max_descriptors, state.descriptors)

    def _proceed(self) -> bool:
        poll = select.poll()
        for descriptor, caller in self._callers.items():
            poll.register(descriptor, caller.find_events())
        has_sent = False
        for descriptor, events in poll.poll(POLL_MS):
            try:
                has_sent |= self._callers[descriptor].proceed(events)
            except BlockingIOError:
                continue
            except OSError:
                self._callers.pop(descriptor).socket.close()
        return has_sent


def send_chunks(head: bytes, chunk_bytes: int, count: int) -> Callable[[], Iterator[bytes]]:
    """Return the pieces of a chunked body that lacks its last chunk."""
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    group = max(1, 16_384 // len(chunk))
    full, rest = divmod(count, group)
    return lambda: itertools.chain(
        (head + b"Transfer-Encoding: chunked\r\n\r\n",),
        itertools.repeat(chunk * group, full),
        (chunk * rest,) if rest else (),
    )


def repeat_piece(head: bytes, piece: bytes, count: int) -> Callable[[], Iterator[bytes]]:
    """Return a head followed by the same piece many times."""
    return lambda: itertools.chain((head,), itertools.repeat(piece, count))
