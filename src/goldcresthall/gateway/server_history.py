"""What is known for good of the servers: the latest incarnation and whether it leaves."""

from __future__ import annotations

import dataclasses

from absl import logging

from goldcresthall.core import deployment

MAX_REMEMBERED_SERVERS = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class LatestIncarnation:
    """The latest known incarnation of a server.

    Attributes
    ----------
    draining_since_s
        Clock reading in seconds since which it may have been draining; `None` if it was never
        seen draining. An incarnation does not recover from that.
    refresh
        Highest number of a refresh of its entry; -1 if none is known.
    """

    incarnation: deployment.ServerIncarnation
    draining_since_s: float | None
    refresh: int = -1


class ServerHistory:
    """Memory of servers beyond their entries, by which late entries are recognized.

    A server's report may be carried out seconds late, after a later one of the same incarnation
    or of the next one. The memory outlasts the removal of an entry. The servers whose
    last report is oldest are forgotten beyond `MAX_REMEMBERED_SERVERS`.

    Not safe for use by several tasks.
    """

    def __init__(self) -> None:
        self._latest: dict[str, LatestIncarnation] = {}

    def observe(
        self, server: deployment.RegisteredServer, draining_since_s: float
    ) -> LatestIncarnation | None:
        """Record an entry; return what is known then, or `None` for an earlier incarnation.

        Parameters
        ----------
        draining_since_s
            Clock reading in seconds since which the server may have been draining, if the entry
            says that it is.
        """
        latest = self._latest.get(server.name)
        if latest is not None and server.incarnation.started_ms < latest.incarnation.started_ms:
            logging.info(
                "late entry of %s ignored, step discover: %s is known",
                server.incarnation,
                latest.incarnation,
            )
            return None
        if server.draining:
            self.record_draining(server.incarnation, draining_since_s)
        elif latest is None or latest.incarnation != server.incarnation:
            self._remember(LatestIncarnation(server.incarnation, None))
        self._record_refresh(server)
        return self._latest[server.name]

    def is_late(self, server: deployment.RegisteredServer) -> bool:
        """Return whether a later refresh of an entry, or this one, was observed before."""
        latest = self._latest.get(server.name)
        return (
            latest is not None
            and latest.incarnation == server.incarnation
            and server.refresh is not None
            and server.refresh <= latest.refresh
        )

    def _record_refresh(self, server: deployment.RegisteredServer) -> None:
        latest = self._latest[server.name]
        if server.refresh is not None and server.refresh > latest.refresh:
            self._latest[server.name] = dataclasses.replace(latest, refresh=server.refresh)

    def record_draining(self, incarnation: deployment.ServerIncarnation, since_s: float) -> bool:
        """Record that an incarnation is draining; return whether that was unknown."""
        latest = self._latest.get(incarnation.name)
        if latest is not None:
            if incarnation.started_ms < latest.incarnation.started_ms:
                return False
            if latest.incarnation == incarnation and latest.draining_since_s is not None:
                return False
        refresh = -1 if latest is None or latest.incarnation != incarnation else latest.refresh
        self._remember(LatestIncarnation(incarnation, since_s, refresh))
        return True

    def _remember(self, latest: LatestIncarnation) -> None:
        self._latest.pop(latest.incarnation.name, None)
        self._latest[latest.incarnation.name] = latest
        if len(self._latest) > MAX_REMEMBERED_SERVERS:
            del self._latest[next(iter(self._latest))]
