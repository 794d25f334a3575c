"""Faults of a server's responses to commands, each a data class that `respond` dispatches on."""

from __future__ import annotations

import dataclasses
import functools
import threading
import time
import weakref
from collections.abc import Callable

from goldcresthall_stand_ins import web

STATUS_OK = 200
GRANT_PATH = "/api/grant"
# Longer than callers wait for the response to a grant.
UNANSWERED_S = 1.2
FULL = web.Response(503, b"", (("Goldcresthall-Not-Executed", "1"),))


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFault:
    """No fault: each command is executed and answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalsCopied(ServerFault):
    """An earlier refusal is sent once more on kept connections, while commands are executed.

    The first command is truly refused, as by a server that is full, if no other was before.

    Attributes
    ----------
    is_followed
        Whether the true response follows the copy.
    """

    is_followed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuccessesCopied(ServerFault):
    """The last successful response of a kept connection is sent once more, as for refusals."""

    is_followed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsDelayed(ServerFault):
    """Grants get no response and are executed late, unless their lease has run out by then."""

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command that a server has received.

    Attributes
    ----------
    execute
        Executes the command as one that arrived at a time (monotonic clock, seconds).
    arrived_at_s
        When the command arrived.
    """

    request: web.Request
    execute: Callable[[float], web.Response]
    arrived_at_s: float


class ResponseHistory:
    """The responses to commands that a server has sent, by connection and kind.

    Attributes
    ----------
    copied
        Set when a copy is about to be sent.
    """

    def __init__(self) -> None:
        self.copied = threading.Event()
        self._lock = threading.Lock()
        self._refusal: web.Response | None = None
        self._successes: weakref.WeakKeyDictionary[object, web.Response] = (
            weakref.WeakKeyDictionary()
        )
        self._kept: weakref.WeakSet[object] = weakref.WeakSet()

    @property
    def refusal(self) -> web.Response | None:
        """The last refusal, if there was one."""
        with self._lock:
            return self._refusal

    def is_kept(self, connection: object) -> bool:
        """Return whether a connection has carried a command before."""
        with self._lock:
            return connection in self._kept

    def find_success(self, connection: object) -> web.Response | None:
        """Return the last successful response on a connection."""
        with self._lock:
            return self._successes.get(connection)

    def record(self, connection: object, response: web.Response) -> web.Response:
        """Record a response, and return it."""
        with self._lock:
            self._kept.add(connection)
            if response.status == STATUS_OK:
                self._successes[connection] = response
            else:
                self._refusal = response
        return response


@functools.singledispatch
def respond(fault: ServerFault, command: Command, history: ResponseHistory) -> web.Response:
    """Execute a command under a fault; return the response."""
    return _execute(command, history)


@respond.register
def _(fault: RefusalsCopied, command: Command, history: ResponseHistory) -> web.Response:
    # PROTOCOL.md, "Backends": "503 when the backend is full", and "An extra response may arrive
    # late, at the point where the next response is expected."
    refusal = history.refusal
    if refusal is None:
        return history.record(command.request.connection, FULL)
    if not history.is_kept(command.request.connection):
        return _execute(command, history)
    return _send_copy(refusal, fault.is_followed, command, history)


@respond.register
def _(fault: SuccessesCopied, command: Command, history: ResponseHistory) -> web.Response:
    # PROTOCOL.md, "Backends": "An extra response may arrive late, at the point where the next
    # response is expected."
    success = history.find_success(command.request.connection)
    if success is None:
        return _execute(command, history)
    return _send_copy(success, fault.is_followed, command, history)


@respond.register
def _(fault: GrantsDelayed, command: Command, history: ResponseHistory) -> web.Response:
    # PROTOCOL.md, "Keys that backends hold": "A grant that received no response may be applied
    # seconds later, after newer grants. Its time still counts from the arrival of the call."
    if command.request.path != GRANT_PATH:
        return _execute(command, history)
    execution = threading.Timer(fault.delay_s, command.execute, (command.arrived_at_s,))
    execution.daemon = True
    execution.start()
    time.sleep(UNANSWERED_S)
    return web.Response(0, b"", is_withheld=True)


def _execute(command: Command, history: ResponseHistory) -> web.Response:
    response = command.execute(command.arrived_at_s)
    return history.record(command.request.connection, response)


def _send_copy(
    copy: web.Response, is_followed: bool, command: Command, history: ResponseHistory
) -> web.Response:
    """Execute a command; return the copy, with the true response after it if there is one."""
    response = _execute(command, history)
    history.copied.set()
    return dataclasses.replace(response, preceded_by=copy) if is_followed else copy
