"""Connection pool for exchanges with backend servers."""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_metrics
from goldcresthall.backend import idle_survival
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
    policy
        For how long idle connections are kept.
    count_use
        Called for each connection that is opened or reused.
    memory_ledger
        Counts the bodies of all responses.
    """

    def __init__(
        self,
        limits: response_memory.ResponseLimits,
        count_surplus: Callable[[], None] = lambda: None,
        policy: idle_survival.ReusePolicy = idle_survival.CAUTIOUS,
        count_use: Callable[[exchange_metrics.ConnectionUse], None] = lambda use: None,
        memory_ledger: ledger.MemoryLedger | None = None,
    ) -> None:
        self._count_surplus = count_surplus
        self._policy = policy
        self._count_use = count_use
        self._survival = idle_survival.IdleSurvival()
        self._memory = response_memory.ResponseMemory(limits, memory_ledger)
        self._lock = threading.Lock()
        self._idle: dict[identity.Address, collections.deque[exchange.Connection]] = {}
        self._swept_at_s = time.monotonic()

    @property
    def used_bytes(self) -> int:
        """Bytes counted for the bodies that are being received or wait for their callers."""
        return self._memory.used_bytes

    def has_idle(self, address: identity.Address) -> bool:
        """Return whether there is an idle connection to an address that may still be used."""
        with self._lock:
            pool = self._idle.get(address)
            if not pool:
                return False
            latest = pool[-1]
        return latest.idle_s <= self._survival.find_limit_s(address, latest.max_idle_s)

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
        ends_at_s = time.monotonic() + timeout_s

        def exchange_on(used: exchange.Connection) -> exchange.RawResponse:
            if may_send is not None and not may_send():
                used.close()
                raise exceptions.SendExpiredError(outcomes.Step.SEND, "no longer allowed")
            response = self._exchange(used, request, id_header, ends_at_s, cancelled)
            if is_due is not None and not is_due(response):
                used.close()
            else:
                self._release(address, used, max_idle)
            return response

        reused = None if new_connection else self._acquire(address)
        if reused is not None:
            return self._use_idle(address, reused, exchange_on, cancelled)
        opened = self._open(address, ends_at_s)
        try:
            response = exchange_on(opened)
        except exceptions.TimedOutError:
            self._survival.record_use(is_reused=False, has_timed_out=True)
            raise
        self._survival.record_use(is_reused=False)
        return response

    def _open(self, address: identity.Address, ends_at_s: float) -> exchange.Connection:
        self._count_use(exchange_metrics.ConnectionUse.OPENED)
        timeout_s = min(exchange.CONNECT_TIMEOUT_S, max(0.001, ends_at_s - time.monotonic()))
        opened = exchange.Connection.open(address, timeout_s, self._policy)
        opened.check_early_reset()
        return opened

    def _use_idle(
        self,
        address: identity.Address,
        reused: exchange.Connection,
        exchange_on: Callable[[exchange.Connection], exchange.RawResponse],
        cancelled: cancellation.Cancellation,
    ) -> exchange.RawResponse:
        """Return the response on an idle connection, and learn from its loss.

        Raises
        ------
        ConnectionForgottenError
            If the server reset the connection at once, because it had forgotten it. Any other
            loss would make the server count as overloaded.
        """
        self._count_use(exchange_metrics.ConnectionUse.REUSED)
        idle_s, began_at_s = reused.idle_s, time.monotonic()
        try:
            response = exchange_on(reused)
        except exceptions.ExchangeError as error:
            has_timed_out = isinstance(error, exceptions.TimedOutError)
            self._survival.record_use(is_reused=True, has_timed_out=has_timed_out)
            if cancelled.was_interrupted or not self._policy.learns:
                raise
            if not idle_survival.is_sign_of_loss(error, self._survival):
                raise
            is_late = time.monotonic() - began_at_s > idle_survival.STALE_WITHIN_S
            if has_timed_out or not is_late:
                # A connection that is lost later was lost with its server, which crashed.
                self._survival.record_failure(address, idle_s)
            if has_timed_out or is_late:
                raise
            self._count_use(exchange_metrics.ConnectionUse.FORGOTTEN)
            raise exceptions.ConnectionForgottenError(error.step, str(error)) from error
        self._survival.record_use(is_reused=True)
        return response

    def _exchange(
        self,
        used: exchange.Connection,
        request: exchange.RawRequest,
        id_header: str,
        ends_at_s: float,
        cancelled: cancellation.Cancellation,
    ) -> exchange.RawResponse:
        remaining_s = ends_at_s - time.monotonic()
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
            limit_s = self._survival.find_limit_s(address, used.max_idle_s)
            if used.idle_s <= limit_s and used.is_reusable:
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
