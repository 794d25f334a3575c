"""The lessor's relay of reports on servers that lost requests."""

from __future__ import annotations

import dataclasses
import math
import threading

from goldcresthall.admission import server_circuits
from goldcresthall.core import deployment
from goldcresthall.load import server_reports

# More rows of a server would not change what a receiver does.
MAX_ROWS_PER_SERVER = server_circuits.MIN_REPORTERS
# One of them may be the receiver's own.
MAX_KEPT_PER_SERVER = MAX_ROWS_PER_SERVER + 1
MAX_ROWS = 256
MAX_ROWS_PER_REPORT = 64
# Sorting the rows for each report took 1.3 ms with 25 lost servers and 58 instances.
UPDATE_INTERVAL_S = 0.1
# While a failure domain is cut off, connects from there fail at servers that are well.
MIN_CONNECT_FAILURE_DOMAINS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """What one instance saw at a server, and when, by a clock reading in seconds."""

    server: deployment.ServerIncarnation
    reporter: str
    seen_at_s: float
    has_failed_connect: bool
    failure_domain: str


class LostServerRelay:
    """The latest observations at each server, kept for `OPEN_S`.

    Failed connects are relayed only if instances of several failure domains report the server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kept: dict[deployment.ServerIncarnation, list[_Observation]] = {}
        self._relayed: tuple[_Observation, ...] = ()
        self._updated_at_s = -math.inf

    def add(self, reporter: str, rows: tuple[server_reports.LostServer, ...], now_s: float) -> None:
        """Keep what an instance reports."""
        if not rows:
            return
        with self._lock:
            for row in rows[:MAX_ROWS_PER_REPORT]:
                added = _Observation(
                    row.server,
                    reporter,
                    now_s - row.age_s,
                    row.has_failed_connect,
                    row.failure_domain,
                )
                self._kept[row.server] = _replace(self._kept.get(row.server, []), added, now_s)

    def find_for(self, receiver: str, now_s: float) -> tuple[server_reports.LostServer, ...]:
        """Return the latest observations of the instances other than the receiver.

        They have one row for each server and instance, up to `MAX_ROWS_PER_SERVER` for a server
        and `MAX_ROWS` in total, so that a reply stays small when a failure domain is lost. They
        are up to `UPDATE_INTERVAL_S` old.
        """
        if not self._kept:
            return ()
        rows: list[server_reports.LostServer] = []
        counts: dict[deployment.ServerIncarnation, int] = {}
        for seen in self._update(now_s):
            if seen.reporter == receiver or now_s - seen.seen_at_s >= server_circuits.OPEN_S:
                continue
            counts[seen.server] = counts.get(seen.server, 0) + 1
            if counts[seen.server] <= MAX_ROWS_PER_SERVER:
                rows.append(_create_row(seen, now_s))
        return tuple(rows[:MAX_ROWS])

    def _update(self, now_s: float) -> tuple[_Observation, ...]:
        """Return the observations to relay, the latest first."""
        with self._lock:
            if now_s - self._updated_at_s >= UPDATE_INTERVAL_S:
                self._updated_at_s = now_s
                fresh = {server: _drop_old(seen, now_s) for server, seen in self._kept.items()}
                self._kept = {server: seen for server, seen in fresh.items() if seen}
                relayed = [seen for kept in self._kept.values() for seen in _choose(kept)]
                relayed.sort(key=lambda seen: -seen.seen_at_s)
                self._relayed = tuple(relayed)
            return self._relayed


def _drop_old(kept: list[_Observation], now_s: float) -> list[_Observation]:
    return [seen for seen in kept if now_s - seen.seen_at_s < server_circuits.OPEN_S]


def _replace(kept: list[_Observation], added: _Observation, now_s: float) -> list[_Observation]:
    """Return the observations at a server after one more, without the least useful one."""
    left = [seen for seen in _drop_old(kept, now_s) if seen.reporter != added.reporter]
    left.append(added)
    if len(left) > MAX_KEPT_PER_SERVER:
        domains = [seen.failure_domain for seen in left]
        left.remove(min(left, key=lambda seen: _rank(seen, domains)))
    return left


def _rank(seen: _Observation, domains: list[str]) -> tuple[bool, bool, float]:
    """Order by use: failed connects are the least useful, then those of a domain with others."""
    return (not seen.has_failed_connect, domains.count(seen.failure_domain) == 1, seen.seen_at_s)


def _choose(kept: list[_Observation]) -> list[_Observation]:
    domains = {seen.failure_domain for seen in kept}
    if len(domains) >= MIN_CONNECT_FAILURE_DOMAINS:
        return kept
    return [seen for seen in kept if not seen.has_failed_connect]


def _create_row(seen: _Observation, now_s: float) -> server_reports.LostServer:
    age_s = max(0.0, now_s - seen.seen_at_s)
    return server_reports.LostServer(
        seen.server, age_s, seen.has_failed_connect, seen.failure_domain
    )
