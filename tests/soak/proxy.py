"""A loopback proxy that delays, resets, silences or refuses connections."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

PIECE_BYTES = 65_536
IDLE_POLL_S = 0.05
DELAY_S = 0.15
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to the bytes that go through it.

    SILENT
        Nothing passes either way, and what was sent meanwhile is lost.
    DEAF
        Requests pass, answers do not.
    """

    FORWARD = "forward"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    DEAF = "deaf"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections from a port of its own to another one."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._lock = threading.Lock()
        self._mode = Mode.FORWARD
        self._open: set[socket.socket] = set()
        self._is_stopped = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: Mode) -> None:
        """Change what happens from now on; a cut ends open connections when it heals."""
        with self._lock:
            before, self._mode = self._mode, mode
            ended = tuple(self._open) if _loses_bytes(mode) or _loses_bytes(before) else ()
        if mode in {Mode.RESET, Mode.REFUSE} or (ended and mode is Mode.FORWARD):
            for used in ended:
                _reset(used)

    def stop(self) -> None:
        """Refuse all further connections and end the open ones."""
        self._is_stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            ended = tuple(self._open)
        for used in ended:
            _reset(used)

    def _accept(self) -> None:
        while not self._is_stopped:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            if self._mode in {Mode.RESET, Mode.REFUSE}:
                _reset(accepted)
                accepted.close()
                continue
            threading.Thread(target=self._connect, args=(accepted,), daemon=True).start()

    def _connect(self, accepted: socket.socket) -> None:
        try:
            target = socket.create_connection(("127.0.0.1", self._target_port), 2.0)
        except OSError:
            _reset(accepted)
            accepted.close()
            return
        target.settimeout(None)
        with self._lock:
            self._open |= {accepted, target}
        back = threading.Thread(target=self._pump, args=(target, accepted, True), daemon=True)
        back.start()
        self._pump(accepted, target, is_answer=False)
        back.join()
        with self._lock:
            self._open -= {accepted, target}
        accepted.close()
        target.close()

    def _pump(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                if self._mode is Mode.DELAY:
                    time.sleep(DELAY_S)
                if self._mode is Mode.SILENT or (is_answer and self._mode is Mode.DEAF):
                    continue
                sink.sendall(data)
        except OSError:
            _reset(sink)
            return
        if self._mode is not Mode.SILENT:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


def _loses_bytes(mode: Mode) -> bool:
    return mode in {Mode.SILENT, Mode.DEAF, Mode.RESET, Mode.REFUSE}


def _reset(used: socket.socket) -> None:
    """End a connection at both of its directions, with a reset where the system allows it."""
    with contextlib.suppress(OSError):
        used.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        used.shutdown(socket.SHUT_RDWR)
