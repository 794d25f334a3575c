"""Reports to the lessor: what is asked for here, against the lessor's view of the owners."""

from __future__ import annotations

import abc
import dataclasses
from typing import Final

from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import estimates
from goldcresthall.kernel import service
from goldcresthall.ranges import owners

NO_REVISION: Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance that reports to the lessor."""

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What an instance tells the lessor.

    Attributes
    ----------
    known
        View that it has; only the term and the revision matter.
    configuration
        Version of the configuration that is in force there.
    known_servers
        Revision of the list of servers that the reporter has from this lessor.
    """

    reporter: key_ranges.Lessor
    known: owners.OwnersView
    counts: tuple[owners.CountedKeys, ...]
    samples: tuple[estimates.TimeSample, ...]
    configuration: int
    known_servers: int = NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What the lessor answers.

    Attributes
    ----------
    is_lessor
        Whether the instance asked is the lessor at all.
    has_store
        Whether it reaches the store, without which it can change nothing.
    view
        The owners; none if the reporter knows the latest view.
    configuration
        Highest version of the configuration that any instance has in force.
    servers_revision
        Revision of the lessor's list of servers; `NO_REVISION` if it is not fresh.
    servers
        The list; none if the reporter has this revision.
    """

    is_lessor: bool
    has_store: bool
    peers: tuple[Peer, ...]
    view: owners.OwnersView | None
    configuration: int
    servers_revision: int = NO_REVISION
    servers: tuple[deployment.RegisteredServer, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """What an instance says of itself.

    Attributes
    ----------
    heard_lessor_s
        Seconds since the lessor last answered it.
    """

    incarnation: identity.Incarnation
    heard_lessor_s: float


class UnreachableError(Exception):
    """A peer gave no answer.

    Attributes
    ----------
    is_refused
        Whether nothing listens at its address.
    """

    def __init__(self, detail: str, *, is_refused: bool) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class PeerChannel(abc.ABC):
    """A connection to a peer; not to be shared between tasks."""

    @abc.abstractmethod
    def report(self, report: Report) -> Reply:
        """Report to a lessor, which may hold the answer back until there is news.

        Raises
        ------
        UnreachableError
            If there is no answer.
        """

    @abc.abstractmethod
    def ask_presence(self) -> Presence:
        """Ask a peer who it is.

        Raises
        ------
        UnreachableError
            If there is no answer.
        """

    @abc.abstractmethod
    def stand_down(self, term: int) -> bool:
        """Tell a lessor that another has taken over; return whether it grants no more.

        Raises
        ------
        UnreachableError
            If there is no answer.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class PeerDialer(service.Service):
    """Opens connections to peers."""

    @abc.abstractmethod
    def dial(self, address: identity.Address, timeout_s: float) -> PeerChannel:
        """Return a connection, each of whose calls may take `timeout_s` seconds.

        Raises
        ------
        UnreachableError
            If it cannot be opened.
        """


class Reports(service.Service):
    """Knows how many instances there are."""

    @property
    @abc.abstractmethod
    def live_instances(self) -> int:
        """Number of instances that report to the lessor, this one included."""
