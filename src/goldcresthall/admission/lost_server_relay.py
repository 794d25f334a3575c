"""The lessor's relay of reports on servers that lost requests."""

from __future__ import annotations

import collections
import threading
from typing import TYPE_CHECKING

from goldcresthall.admission import server_circuits
from goldcresthall.load import server_news

if TYPE_CHECKING:
    from goldcresthall.core import deployment

# More rows of a server would not change what a receiver does.
MAX_ROWS_PER_SERVER = server_circuits.MIN_REPORTERS
MAX_ROWS = 256
MAX_ROWS_PER_REPORT = 64


class LostServerRelay:
    """The latest observation of each instance at each server, kept for `OPEN_S`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen_at_s: dict[tuple[deployment.ServerIncarnation, str], float] = {}

    def add(self, reporter: str, news: tuple[server_news.FullServer, ...], now_s: float) -> None:
        """Keep what an instance reports."""
        if not news:
            return
        with self._lock:
            for row in news[:MAX_ROWS_PER_REPORT]:
                self._seen_at_s[row.server, reporter] = now_s - row.age_s

    def find_for(self, receiver: str, now_s: float) -> tuple[server_news.FullServer, ...]:
        """Return the latest observations of the instances other than the receiver.

        They have one row for each server and instance, up to `MAX_ROWS_PER_SERVER` for a server
        and `MAX_ROWS` in total, so that a reply stays small when a failure domain is lost.
        """
        if not self._seen_at_s:
            return ()
        with self._lock:
            self._seen_at_s = {
                observed: seen_at_s
                for observed, seen_at_s in self._seen_at_s.items()
                if now_s - seen_at_s < server_circuits.OPEN_S
            }
            latest = sorted(self._seen_at_s.items(), key=lambda item: -item[1])
        rows: list[server_news.FullServer] = []
        counts: collections.Counter[deployment.ServerIncarnation] = collections.Counter()
        for (server, reporter), seen_at_s in latest:
            if reporter != receiver and counts[server] < MAX_ROWS_PER_SERVER:
                counts[server] += 1
                rows.append(server_news.FullServer(server, max(0.0, now_s - seen_at_s)))
        return tuple(rows[:MAX_ROWS])
