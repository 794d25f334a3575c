"""Messages and interfaces for reports to the lessor.

An instance reports its request counts and service times; the lessor replies with changes
of the owners, the servers and the peers.
"""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.admission import range_admissions
from goldcresthall.core import configuration_documents
from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import row_changes
from goldcresthall.gateway import estimates
from goldcresthall.gateway import evacuations
from goldcresthall.kernel import service
from goldcresthall.load import server_reports
from goldcresthall.load import work_table
from goldcresthall.ranges import request_counts

ServerChanges = row_changes.RowChanges[deployment.RegisteredServer, str]
RangeChanges = row_changes.RowChanges[key_ranges.RangeOwner, key_ranges.RangeStart]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance that reports to the lessor."""

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class PeerList:
    """The lessor, as the first element, and the instances that report to it."""

    revision: int = row_changes.NO_REVISION
    peers: tuple[Peer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChanges:
    """Changes of the owners within a lessor's term."""

    term: int
    ranges: RangeChanges


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Report from an instance to the lessor.

    Attributes
    ----------
    reporter
        Identity and address of the reporting instance.
    known_term, known_revision
        View of the owners that the reporter has from this lessor.
    counts
        Keys requested since the last report.
    samples
        Service times measured since the last report.
    configuration
        Highest version of the configuration that the reporter knows to be in force.
    known_servers, known_peers
        Revisions of the lists that the reporter has from this lessor.
    held_configuration
        Version of the configuration that the reporter holds; 0 if it has none.
    draining_servers
        Servers that told the reporter themselves that they are draining.
    key_work
        Expected work of the requests in `counts`.
    route_samples
        Work measured since the last report, by route.
    full_servers
        Servers at which the reporter lost requests because they were full.
    known_work
        Revision of the work table that the reporter has from this lessor.
    evacuated
        Evacuated failure domains as the reporter knows them, perhaps later ones than the lessor;
        `None` if it knows none.
    """

    reporter: key_ranges.LessorIdentity
    known_term: int
    known_revision: int
    counts: tuple[request_counts.CountedKeys, ...]
    samples: tuple[estimates.LatencySample, ...]
    configuration: int
    known_servers: int = row_changes.NO_REVISION
    known_peers: int = row_changes.NO_REVISION
    held_configuration: int = 0
    draining_servers: tuple[deployment.ServerIncarnation, ...] = ()
    key_work: tuple[work_table.KeyWork, ...] = ()
    route_samples: tuple[work_table.RouteSample, ...] = ()
    full_servers: tuple[server_reports.LostServer, ...] = ()
    known_work: int = row_changes.NO_REVISION
    evacuated: evacuations.EvacuatedDomains | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KnownServers:
    """Which state of the store a relayed list of servers shows.

    Attributes
    ----------
    position
        Position in the store up to which the entries are included.
    age_s
        Seconds from the start of the read behind the list to the arrival of the report;
        negative if the read began after it.
    """

    position: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Reply to a report.

    Attributes
    ----------
    is_lessor
        Whether the responding instance is the lessor.
    has_store
        Whether the lessor reaches the store; without it, it cannot change owners.
    configuration
        Highest version of the configuration that is known to be in force at any instance.
    peers
        The reporting instances; `None` if the reporter has the latest list.
    owners
        Changes of the owners; `None` if the reporter has the latest view.
    servers_known
        State of the store that the lessor's list of servers shows; `None` if it is not fresh.
    servers
        Changes of that list; `None` if the reporter has the latest list or it is not fresh.
    document
        The lessor's configuration; `None` if the reporter holds one that is as recent.
    successor
        The lessor that took over from the responding instance; `None` if unknown.
    work
        The lessor's work table; `None` if the reporter has the latest one.
    evacuated
        Evacuated failure domains; `None` if the lessor does not know them.
    full_servers
        Servers at which any instance lost requests recently because they were full.
    admissions
        Ranges whose owners are overloaded, with the share of requests to admit.
    """

    is_lessor: bool
    has_store: bool
    configuration: int
    peers: PeerList | None = None
    owners: OwnerChanges | None = None
    servers_known: KnownServers | None = None
    servers: ServerChanges | None = None
    document: configuration_documents.ConfigurationDocument | None = None
    successor: key_ranges.LessorIdentity | None = None
    work: work_table.WorkTable | None = None
    evacuated: evacuations.EvacuatedDomains | None = None
    full_servers: tuple[server_reports.LostServer, ...] = ()
    admissions: tuple[range_admissions.RangeAdmission, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """An instance's identity and its last contact with the lessor.

    Attributes
    ----------
    lessor_silence_s
        Seconds since the lessor's last reply to it; 0 if it is the lessor.
    """

    incarnation: identity.Incarnation
    lessor_silence_s: float


class UnreachableError(Exception):
    """A call to a peer failed.

    Attributes
    ----------
    is_refused
        Whether the peer's host refused the connection.
    """

    def __init__(self, detail: str, *, is_refused: bool) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class PeerChannel(abc.ABC):
    """A connection to a peer; not safe for use by several tasks."""

    @abc.abstractmethod
    def report(self, report: Report) -> Reply:
        """Report to a lessor, which may delay the reply until there is a change.

        Raises
        ------
        UnreachableError
            If the call fails.
        """

    @abc.abstractmethod
    def ask_presence(self) -> Presence:
        """Return a peer's incarnation and how long ago the lessor replied to it.

        Raises
        ------
        UnreachableError
            If the call fails.
        """

    @abc.abstractmethod
    def request_step_down(self, term: int, successor: key_ranges.LessorIdentity) -> bool:
        """Tell a lessor that a later term has begun; return whether it sends no further grants.

        Parameters
        ----------
        successor
            The lessor of the later term, which it names to those that report to it.

        Raises
        ------
        UnreachableError
            If the call fails.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class PeerDialer(service.Service):
    """Opens connections to peers."""

    @abc.abstractmethod
    def dial(self, address: identity.Address, timeout_s: float) -> PeerChannel:
        """Return an open connection with a timeout of `timeout_s` seconds for each call.

        Raises
        ------
        UnreachableError
            If the connection cannot be opened.
        """


class InstanceCounter(service.Service):
    """Provides the number of live instances, among which limits are shared."""

    @property
    @abc.abstractmethod
    def live_instances(self) -> int:
        """Number of live instances, including this one."""

    @property
    @abc.abstractmethod
    def rank(self) -> int:
        """Position of this instance among the live ones; 0 for the lessor or if unknown.

        Tasks that a few instances do for all go to those with the lowest ranks.
        """
