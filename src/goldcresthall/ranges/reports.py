"""Reports to the lessor: what is asked for here, against the lessor's view of the owners."""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import row_changes
from goldcresthall.gateway import estimates
from goldcresthall.kernel import service
from goldcresthall.ranges import owners

ServerChanges = row_changes.RowChanges[deployment.RegisteredServer, str]
RangeChanges = row_changes.RowChanges[key_ranges.RangeOwner, key_ranges.RangeStart]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance that reports to the lessor."""

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class PeerList:
    """The instances that report to a lessor, which is the first of them."""

    revision: int = row_changes.NO_REVISION
    peers: tuple[Peer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChanges:
    """What changed in the owners that a lessor of some term shows."""

    term: int
    ranges: RangeChanges


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What an instance tells the lessor.

    Attributes
    ----------
    known_term, known_revision
        The view of the owners that the reporter has from this lessor.
    configuration
        Version of the configuration that is in force there.
    known_servers, known_peers
        Revisions of the lists that the reporter has from this lessor.
    """

    reporter: key_ranges.LessorIdentity
    known_term: int
    known_revision: int
    counts: tuple[owners.CountedKeys, ...]
    samples: tuple[estimates.LatencySample, ...]
    configuration: int
    known_servers: int = row_changes.NO_REVISION
    known_peers: int = row_changes.NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What the lessor answers.

    Attributes
    ----------
    is_lessor
        Whether the instance asked is the lessor at all.
    has_store
        Whether it reaches the store, without which it can change nothing.
    peers
        The instances that report; none if the reporter knows them.
    owners
        What changed in the owners; none if the reporter knows the latest view.
    configuration
        Highest version of the configuration that any instance has in force.
    has_fresh_servers
        Whether the lessor's list of servers is fresh.
    servers
        What changed in the list; none if the reporter has it, or it is not fresh.
    """

    is_lessor: bool
    has_store: bool
    configuration: int
    peers: PeerList | None = None
    owners: OwnerChanges | None = None
    has_fresh_servers: bool = False
    servers: ServerChanges | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """What an instance says of itself.

    Attributes
    ----------
    heard_lessor_s
        Seconds since the lessor last answered it.
    """

    incarnation: identity.Incarnation
    lessor_silence_s: float


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
    def request_step_down(self, term: int) -> bool:
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


class InstanceCounter(service.Service):
    """Knows how many instances there are."""

    @property
    @abc.abstractmethod
    def live_instances(self) -> int:
        """Number of instances that report to the lessor, this one included."""
