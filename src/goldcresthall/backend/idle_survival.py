"""For how long idle connections to backend servers survive, learned from those that did not."""

from __future__ import annotations

import dataclasses
import functools
import re
import threading
import time
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.backend import exceptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import identity

# A limit that was learned from a failure, as a fraction of the time that the connection was idle.
SURVIVAL_FRACTION = 0.5
MIN_LIMIT_S = 0.05
# No server forgets connections sooner. One that fails after less fails for another reason.
MIN_FORGOTTEN_IDLE_S = 0.2
MAX_FAILURES_PER_ADDRESS = 4
# Servers that forget idle connections do so all day. Each time that a failure is forgotten costs a
# failed request at a few addresses.
MEMORY_S = 60.0
# One address may fail because its server ended. Failures at several are a property of the site.
MIN_FAILED_ADDRESSES = 2
MAX_ADDRESSES = 512
# A server resets a connection that it forgot as soon as a request arrives on it. One that resets
# later may have run the request.
STALE_WITHIN_S = 0.1
# Time-outs are mostly slow or full servers. They tell of forgotten connections only if they are
# far more frequent on reused connections than on new ones.
TIMEOUT_RATIO = 3.0
MIN_TIMEOUTS = 3.0
MAX_COUNTED_USES = 400.0
TIMEOUT_PATTERN: Final = re.compile(r"(?:^|,)[ \t]*timeout=([0-9]{1,6})[ \t]*(?:,|$)")


@dataclasses.dataclass(frozen=True, slots=True)
class ReusePolicy:
    """For how long idle connections are kept for reuse.

    Attributes
    ----------
    longest_s
        Upper bound in seconds.
    unstated_s
        Limit in seconds for a server that states no idle timeout.
    stated_fraction
        Fraction of the idle timeout that a server states.
    learns
        Whether failures shorten the limits, and a request may be sent again on a new connection
        if the server had forgotten the reused one.
    """

    longest_s: float
    unstated_s: float
    stated_fraction: float
    learns: bool

    def find_max_idle_s(self, stated_s: float) -> float:
        """Return for how long a connection may be idle whose server states an idle timeout."""
        return min(self.longest_s, self.stated_fraction * stated_s)


CAUTIOUS: Final = ReusePolicy(4.0, 4.0, 0.5, learns=False)
LEARNING: Final = ReusePolicy(15.0, 8.0, 0.9, learns=True)


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """An idle time after which a connection failed, and when, by a clock reading in seconds."""

    idle_s: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _TimeoutRate:
    """Uses of connections and the time-outs among them; the older ones count less."""

    uses: float = 1.0
    timeouts: float = 0.0

    def add(self, timeouts: float) -> _TimeoutRate:
        scale = 0.5 if self.uses >= MAX_COUNTED_USES else 1.0
        return _TimeoutRate(self.uses * scale + 1.0, self.timeouts * scale + timeouts)

    @property
    def rate(self) -> float:
        return self.timeouts / self.uses


class IdleSurvival:
    """Limits the idle time of reused connections to what survived, by address and overall.

    A server may forget idle connections without closing them. The first failures of reused
    connections then shorten the limit, so that further ones are rare.

    Parameters
    ----------
    read_s
        Returns the reading of a monotonic clock in seconds.
    """

    def __init__(self, read_s: Callable[[], float] = time.monotonic) -> None:
        self._read_s = read_s
        self._lock = threading.Lock()
        # The later failures of an address are those after longer idle times.
        self._failures: dict[identity.Address, tuple[_Failure, ...]] = {}
        self._overall: _Failure | None = None
        self._new = _TimeoutRate()
        self._reused = _TimeoutRate()

    def find_limit_s(self, address: identity.Address, allowed_s: float) -> float:
        """Return for how long a connection may have been idle, at most `allowed_s` seconds."""
        if not self._failures:
            return allowed_s
        now_s = self._read_s()
        known = self._failures.get(address, ())
        for failure in known if self._overall is None else (*known, self._overall):
            if now_s - failure.at_s < MEMORY_S:
                allowed_s = min(allowed_s, max(MIN_LIMIT_S, SURVIVAL_FRACTION * failure.idle_s))
        return allowed_s

    def record_failure(self, address: identity.Address, idle_s: float) -> None:
        """Note that a connection failed when it was used again after `idle_s` seconds."""
        if idle_s < MIN_FORGOTTEN_IDLE_S:
            return
        now_s = self._read_s()
        with self._lock:
            self._forget(now_s)
            # A longer idle time does not renew a shorter one.
            known = self._failures.get(address, ())
            shorter = tuple(failure for failure in known if failure.idle_s < idle_s)
            if not known and len(self._failures) >= MAX_ADDRESSES:
                del self._failures[next(iter(self._failures))]
            kept = (*shorter, _Failure(idle_s, now_s))
            self._failures[address] = kept[:MAX_FAILURES_PER_ADDRESS]
            if len(self._failures) < MIN_FAILED_ADDRESSES:
                return
            shortest = sorted(
                (failures[0] for failures in self._failures.values()),
                key=lambda failure: failure.idle_s,
            )
            overall = shortest[MIN_FAILED_ADDRESSES - 1]
            overall_s = overall.idle_s
            changed = self._overall is None or overall_s < self._overall.idle_s
            self._overall = overall
        if changed:
            logging.info(
                "reused connections to %s and others failed after %.2f s idle, step send; "
                "connections are reused for half as long from now on",
                address,
                overall_s,
            )

    def record_use(self, *, is_reused: bool, has_timed_out: bool = False) -> None:
        """Count one exchange, to compare the time-outs of reused and new connections."""
        with self._lock:
            if is_reused:
                self._reused = self._reused.add(float(has_timed_out))
            else:
                self._new = self._new.add(float(has_timed_out))

    @property
    def times_out_when_reused(self) -> bool:
        """Whether reused connections time out far more often than new ones."""
        return (
            self._reused.timeouts >= MIN_TIMEOUTS
            and self._reused.rate > TIMEOUT_RATIO * self._new.rate
        )

    def _forget(self, now_s: float) -> None:
        fresh = {
            address: tuple(failure for failure in known if now_s - failure.at_s < MEMORY_S)
            for address, known in self._failures.items()
        }
        self._failures = {address: known for address, known in fresh.items() if known}
        if self._overall is not None and now_s - self._overall.at_s >= MEMORY_S:
            self._overall = None


@functools.singledispatch
def is_sign_of_loss(error: exceptions.ExchangeError, survival: IdleSurvival) -> bool:
    """Return whether an error on a reused connection shows that the server had forgotten it."""
    return False


@is_sign_of_loss.register
def _(error: exceptions.ConnectionLostError, survival: IdleSurvival) -> bool:
    return True


@is_sign_of_loss.register
def _(error: exceptions.TimedOutError, survival: IdleSurvival) -> bool:
    return survival.times_out_when_reused


def parse_timeout_s(keep_alive: str | None) -> float | None:
    """Return the idle timeout in seconds that a ``Keep-Alive`` header states, if any."""
    match = TIMEOUT_PATTERN.search(keep_alive) if keep_alive else None
    return None if match is None else float(match.group(1))
