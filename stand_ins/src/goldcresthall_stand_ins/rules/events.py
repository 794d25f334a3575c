"""Events of a record: what servers, callers, the store and the fault injector saw.

All times are readings of one clock, in seconds. Names of instances and servers are those
under which they register; an empty name stands for an unknown one.
"""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall_stand_ins.rules import routes as config_routes

STORE = "store"  # name of the platform's store as the peer of a link or a disturbed target


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something that was seen at one time."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStarted(Event):
    """A server process started; it knows nothing of its earlier incarnations."""

    server: str
    incarnation: int
    service: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerEnded(Event):
    """A server process ended; its grants and its running requests end with it."""

    server: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantTaken(Event):
    """A server accepted a grant or a renewal; `at_s` is when it took effect.

    Attributes
    ----------
    first_key, last_key
        Inclusive bounds of the keys.
    lease_s
        Length of the lease in seconds, counted from `arrived_at_s`.
    arrived_at_s
        When the command reached the server.
    sent_at_s
        When the command left its sender; `None` if nobody saw that.
    sender
        Instance that sent the command.
    """

    server: str
    incarnation: int
    first_key: int
    last_key: int
    fence: int
    lease_s: float
    arrived_at_s: float
    sent_at_s: float | None = None
    sender: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeysReleased(Event):
    """A server stopped beginning work on keys, because it was told to."""

    server: str
    incarnation: int
    first_key: int
    last_key: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived(Event):
    """A server received the header section of a request.

    Attributes
    ----------
    instance
        Instance that sent it to the server.
    key
        Shard key; `None` if the request has none.
    method, path, body_digest
        What arrived; the path includes the query. The digest is empty if the server has not
        read the whole body; `RequestBodyRead` may follow.
    deadline_s
        Time left according to the request, in seconds; `None` if the request has no deadline.
    is_health_check
        Whether it is a health check, which no caller sent.
    """

    server: str
    incarnation: int
    service: str
    request_id: str
    instance: str
    key: int | None = None
    method: str = "GET"
    path: str = "/"
    body_digest: str = ""
    deadline_s: float | None = None
    is_health_check: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestBodyRead(Event):
    """A server has read the whole body of a request, perhaps after its response."""

    server: str
    incarnation: int
    request_id: str
    body_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestBegan(Event):
    """A server began to work on a request."""

    server: str
    incarnation: int
    request_id: str
    key: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded(Event):
    """A server stopped working on a request.

    Attributes
    ----------
    status
        Status of the response; 0 if the server sent none.
    is_complete
        Whether the server sent the whole response, without breaking off.
    """

    server: str
    incarnation: int
    request_id: str
    status: int
    signature: str = ""
    body_digest: str = ""
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused(Event):
    """A server rejected a request and said that it has not run it.

    Attributes
    ----------
    instance
        Instance that received the refusal.
    retry_after_s
        For how long the server wants nothing from that instance; `None` if it does not say.
    """

    server: str
    incarnation: int
    request_id: str
    instance: str
    status: int
    signature: str = ""
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingSaid(Event):
    """An instance passed a response on in which the server says that it is leaving."""

    server: str
    incarnation: int
    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerSent(Event):
    """A caller sent a request; `at_s` is when it had sent the last byte or gave up sending.

    Attributes
    ----------
    request_id
        Unique to this attempt of the caller.
    connection
        Unique to the caller's connection.
    deadline_s
        For how long the caller waits, in seconds.
    host, path
        They select the route; the path includes the query.
    body_digest
        Digest of the whole body, computed as the servers compute it.
    """

    request_id: str
    instance: str
    connection: str
    is_idempotent: bool
    deadline_s: float | None = None
    key: int | None = None
    method: str = "GET"
    host: str = ""
    path: str = "/"
    body_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswered(Event):
    """A caller received a response on a connection.

    Attributes
    ----------
    request_id
        Request that waits for the next response on the connection; empty if none does.
    echoed_id
        Request ID in the response; empty if it has none.
    is_complete
        Whether the response looks complete to the caller.
    is_valid
        Whether the bytes are a response of the protocol.
    """

    request_id: str
    connection: str
    status: int
    signature: str = ""
    echoed_id: str = ""
    body_digest: str = ""
    is_complete: bool = True
    is_valid: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerCutOff(Event):
    """The instance closed a connection before a complete response to a request."""

    request_id: str
    connection: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft(Event):
    """A caller closed its connection before a response; `at_s` is when the instance saw it."""

    request_id: str
    connection: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadinessAnswered(Event):
    """An instance was asked whether it is ready; no answer counts as not ready."""

    instance: str
    is_ready: bool


class ServerState(enum.Enum):
    """State of a server according to the store."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStateAcknowledged(Event):
    """The store acknowledged a change of a server's entry."""

    server: str
    incarnation: int
    state: ServerState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAcknowledged(Event):
    """The store acknowledged a version of the configuration.

    Attributes
    ----------
    sent_at_s
        When the operator sent the version.
    """

    version: int
    sent_at_s: float
    routes: tuple[config_routes.Route, ...]


class DisturbanceKind(enum.Enum):
    """How the fault injector disturbs an instance, a link or the store."""

    KILLED = "killed"  # until the instance has been started again
    STARTED = "started"
    TERMINATED = "terminated"  # by SIGTERM, until the process has ended
    RELOADED = "reloaded"  # by SIGHUP
    FROZEN = "frozen"
    SLOWED = "slowed"  # processor, disk or clock
    LINK_CUT = "link cut"
    LINK_HARMED = "link harmed"  # loss, delay or too little bandwidth
    CONNECTIONS_RESET = "connections reset"
    STORE_IMPAIRED = "store impaired"  # slow, away, or rejecting


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DisturbanceBegan(Event):
    """The fault injector began a disturbance.

    Attributes
    ----------
    number
        Unique to the disturbance; names it when it ends.
    instance
        Disturbed instance, or the instance at one end of the link; empty if there is none.
    peer
        Server, instance or store at the other end of the link; empty for all of them.
    """

    number: int
    kind: DisturbanceKind
    instance: str = ""
    peer: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DisturbanceEnded(Event):
    """The disturbance with this number ended."""

    number: int
