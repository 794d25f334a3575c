"""Connection pool for exchanges with backend servers."""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import response_memory
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import identity
    from goldcresthall.kernel import cancellation
    from goldcresthall.memory import ledger

IDLE_SWEEP_INTERVAL_S = 5.0
LOG_INTERVAL_S = 1


class ExchangePool:
    """Idle connections by address; the most recently used is taken first.

    Parameters
    ----------
    limits
        Limits on the bodies of all responses together and of each.
    count_surplus
        Called for each kept connection that is closed because bytes came on it that belong to no
        response.
    memory_ledger
        Counts the bodies of all responses.
    """

    def __init__(
        self,
        limits: response_memory.ResponseLimits,
        count_surplus: Callable[[], None] = lambda: None,
        memory_ledger: ledger.MemoryLedger | None = None,
    ) -> None:
        self._count_surplus = count_surplus
        self._memory = response_memory.ResponseMemory(limits, memory_ledger)
        self._lock = threading.Lock()
        self._idle: dict[identity.Address, collections.deque[exchange.Connection]] = {}
        self._swept_at_s = time.monotonic()

    @property
    def used_bytes(self) -> int:
        """Bytes counted for the bodies that are being received or wait for their callers."""
        return self._memory.used_bytes

    def send(
        self,
        address: identity.Address,
        request: exchange.RawRequest,
        id_header: str,
        timeout_s: float,
        cancelled: cancellation.Cancellation,
        *,
        max_idle: int,
        new_connection: bool,
        may_send: Callable[[], bool] | None = None,
        is_due: Callable[[exchange.RawResponse], bool] | None = None,
    ) -> exchange.RawResponse:
        """Send a request to an address and return the complete response.

        Parameters
        ----------
        cancelled
            Cancels the exchange; its end releases the memory of the body.
        max_idle
            Maximum number of idle connections kept to the address.
        new_connection
            Whether to use a new connection, for requests that must not be sent on an idle
            connection that the server may be closing.
        may_send
            Asked once there is a connection, right before the request is sent.
        is_due
            Tells whether a response can be the one to this request. If not, another one may
            follow it, so the connection is closed.

        Raises
        ------
        ExchangeError
            If no complete response is received within `timeout_s` seconds.
        """
        began_at_s = time.monotonic()
        used = None if new_connection else self._acquire(address)
        if used is None:
            used = exchange.Connection.open(address, min(exchange.CONNECT_TIMEOUT_S, timeout_s))
            used.check_early_reset()
        remaining_s = timeout_s - (time.monotonic() - began_at_s)
        if may_send is not None and not may_send():
            used.close()
            raise exceptions.NotSentError(outcomes.Step.SEND, "no longer allowed")
        reservation = self._memory.create_reservation()
        try:
            with cancelled.call_on_cancel(used.interrupt):
                response = used.exchange(request, id_header, remaining_s, reservation)
        except BaseException:
            reservation.release()
            used.close()
            raise
        reservation.start_waiting()
        cancelled.call_at_end(reservation.release)
        if is_due is not None and not is_due(response):
            used.close()
        else:
            self._release(address, used, max_idle)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [used for pool in self._idle.values() for used in pool]
            self._idle.clear()
        for used in idle:
            used.close()

    def _acquire(self, address: identity.Address) -> exchange.Connection | None:
        while True:
            with self._lock:
                pool = self._idle.get(address)
                if not pool:
                    return None
                used = pool.pop()
            if used.is_reusable:
                return used
            self._close_unusable(address, used)

    def _close_unusable(self, address: identity.Address, used: exchange.Connection) -> None:
        if used.has_surplus:
            self._count_surplus()
            logging.log_every_n_seconds(
                logging.WARNING,
                "connection to %s closed, step receive: bytes that belong to no response",
                LOG_INTERVAL_S,
                address,
            )
        used.close()

    def _release(self, address: identity.Address, used: exchange.Connection, max_idle: int) -> None:
        if not used.is_reusable:
            self._close_unusable(address, used)
            return
        with self._lock:
            pool = self._idle.setdefault(address, collections.deque())
            pool.append(used)
            surplus = [pool.popleft() for _ in range(max(0, len(pool) - max_idle))]
            surplus += self._remove_expired()
        for old in surplus:
            old.close()

    def _remove_expired(self) -> list[exchange.Connection]:
        """Remove expired connections, at intervals, from the pools of all addresses.

        Otherwise connections to addresses that are no longer used would stay open.
        """
        now_s = time.monotonic()
        if now_s - self._swept_at_s < IDLE_SWEEP_INTERVAL_S:
            return []
        self._swept_at_s = now_s
        expired = []
        for address, pool in list(self._idle.items()):
            expired += [used for used in pool if used.has_expired]
            kept = collections.deque(used for used in pool if not used.has_expired)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        return expired
