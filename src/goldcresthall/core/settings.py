"""Settings of a router instance, read once when the process starts."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """Addresses at which an instance listens."""

    callers: identity.Address
    peers: identity.Address
    admin: identity.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's log service and instance list are, and how long to wait."""

    log: identity.Address
    instance_list: identity.Address
    request_timeout_ms: int = 1_000
    long_poll_ms: int = 1_000
    list_interval_ms: int = 1_000
    read_limit: int = 500
    append_batch_limit: int = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Durations of the lease protocol.

    Attributes
    ----------
    duration_ms
        How long a server's lease runs from the server's own time stamp.
    renew_interval_ms
        Time between two renewals of one server.
    request_timeout_ms
        Longest wait for a server's answer to a renewal.
    drift_margin_ms
        Added to the lease wherever its end is awaited from outside.
    authority_s
        How long a lessor goes on without a fresh read of the log.
    takeover_delay_ms
        Wait of each rank after the first before it proposes itself.
    """

    duration_ms: int = 500
    renew_interval_ms: int = 150
    request_timeout_ms: int = 150
    drift_margin_ms: int = 25
    authority_s: int = 300
    takeover_delay_ms: int = 300


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """How an instance follows its peers."""

    neighbor_count: int = 3
    interval_ms: int = 1_000
    request_timeout_ms: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerSettings:
    """Limits of the callers' front end.

    Attributes
    ----------
    threads
        Requests in progress or waiting at a time.
    connection_limit
        Idle connections that are kept open for callers.
    """

    threads: int = 64
    connection_limit: int = 5_000
    body_limit_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a router instance."""

    name: str
    failure_domain: str
    listen: ListenSettings
    platform: PlatformSettings
    leases: LeaseSettings = LeaseSettings()
    peers: PeerSettings = PeerSettings()
    callers: CallerSettings = CallerSettings()
