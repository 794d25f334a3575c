"""A loopback TCP proxy that delays, holds up or drops bytes, or resets connections."""

from __future__ import annotations

import contextlib
import enum
import functools
import socket
import threading
import time
from typing import TYPE_CHECKING

from tests.soak import client_processes
from tests.soak import held_stream
from tests.soak import listener

if TYPE_CHECKING:
    from collections.abc import Set

FORWARD_DELAY_S = 0.15


class Mode(enum.Enum):
    """How the proxy treats connections.

    DELAY
        Each chunk is forwarded after `FORWARD_DELAY_S`.
    RESET, REFUSE
        Open connections and newly accepted ones are reset.
    BLACKHOLE
        Bytes in both directions are dropped; connections stay open.
    DROP_RESPONSES
        Requests are forwarded; responses are dropped.
    HOLD, HOLD_REQUESTS
        A partition, of both directions or of the one towards the target. Bytes are held up and
        delivered after it heals, unless their sender has reset the connection meanwhile. New
        connections are not established before it heals.
    """

    FORWARD = "forward"
    DELAY = "delay"
    RESET = "reset"
    BLACKHOLE = "blackhole"
    DROP_RESPONSES = "drop_responses"
    REFUSE = "refuse"
    HOLD = "hold"
    HOLD_REQUESTS = "hold_requests"


PARTITIONS = frozenset({Mode.HOLD, Mode.HOLD_REQUESTS})


class Proxy:
    """Forwards connections from its own port to a target port."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._lock = threading.Lock()
        self._mode = Mode.FORWARD
        self._partitioned: frozenset[int] | None = None
        self._is_partitioned: dict[socket.socket, bool] = {}
        self._open_sockets: set[socket.socket] = set()
        self._is_stopped = False
        self._listener = listener.Listener()
        self.port = self._listener.port
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: Mode, *, partitioned: frozenset[int] | None = None) -> None:
        """Switch the mode; a partition can affect the clients with some process IDs only.

        RESET and REFUSE reset open connections at once. When a mode that drops bytes returns to
        FORWARD, all open connections are reset, because they may have lost bytes.
        """
        with self._lock:
            before, self._mode = self._mode, mode
            self._partitioned = partitioned
            self._listener.set_hanging(mode in PARTITIONS and partitioned is None)
            self._is_partitioned = {}
            affected = (
                tuple(self._open_sockets) if _drops_bytes(mode) or _drops_bytes(before) else ()
            )
        if mode in {Mode.RESET, Mode.REFUSE} or (affected and mode is Mode.FORWARD):
            for connection in affected:
                held_stream.reset(connection)

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self._is_stopped = True
        self._listener.close()
        with self._lock:
            affected = tuple(self._open_sockets)
        for connection in affected:
            held_stream.reset(connection)

    def _accept(self) -> None:
        while (accepted := self._listener.accept()) is not None:
            if self._mode in {Mode.RESET, Mode.REFUSE}:
                held_stream.reset(accepted)
                accepted.close()
                continue
            threading.Thread(target=self._connect, args=(accepted,), daemon=True).start()

    def _connect(self, accepted: socket.socket) -> None:
        if not held_stream.wait_until_connected(
            accepted, functools.partial(self._is_cut, accepted, PARTITIONS)
        ):
            accepted.close()
            return
        try:
            target = socket.create_connection(("127.0.0.1", self._target_port), 2.0)
        except OSError:
            held_stream.reset(accepted)
            accepted.close()
            return
        target.settimeout(None)
        with self._lock:
            self._open_sockets |= {accepted, target}
        responses = threading.Thread(
            target=self._forward, args=(target, accepted, True), daemon=True
        )
        responses.start()
        self._forward(accepted, target, is_response=False)
        responses.join()
        with self._lock:
            self._open_sockets -= {accepted, target}
        accepted.close()
        target.close()

    def _forward(self, source: socket.socket, sink: socket.socket, is_response: bool) -> None:
        client = sink if is_response else source
        cutting = {Mode.HOLD} if is_response else PARTITIONS
        is_cut = functools.partial(self._is_cut, client, cutting)
        stream = held_stream.HeldStream(source, is_cut)
        has_ended = False
        try:
            while not has_ended:
                chunk = source.recv(held_stream.READ_SIZE_BYTES)
                has_ended = not chunk
                if is_cut():
                    chunk, has_ended = stream.hold(chunk, has_ended=has_ended)
                if self._mode is Mode.DELAY:
                    time.sleep(FORWARD_DELAY_S)
                if self._mode is Mode.BLACKHOLE or (
                    is_response and self._mode is Mode.DROP_RESPONSES
                ):
                    continue
                sink.sendall(chunk)
        except OSError:
            held_stream.wait_until_healed(is_cut)
            held_stream.reset(sink)
            return
        if self._mode is not Mode.BLACKHOLE:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)

    def _is_cut(self, client: socket.socket, cutting: Set[Mode]) -> bool:
        """Return whether the mode is one of those that cut a direction, and affects a client."""
        partitioned = self._partitioned
        if self._is_stopped or self._mode not in cutting:
            return False
        if partitioned is None:
            return True
        # Found out once, while the client's end is open; it may close during the partition.
        verdicts = self._is_partitioned
        if client not in verdicts:
            verdicts[client] = self._is_from(client, partitioned)
        return verdicts[client]

    def _is_from(self, client: socket.socket, process_ids: frozenset[int]) -> bool:
        with contextlib.suppress(OSError):
            port = int(client.getpeername()[1])
            return client_processes.has_opened(process_ids, port, self.port)
        return False


def _drops_bytes(mode: Mode) -> bool:
    return mode in {Mode.BLACKHOLE, Mode.DROP_RESPONSES, Mode.RESET, Mode.REFUSE}
