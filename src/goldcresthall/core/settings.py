"""Settings of a router instance, read once at startup."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """Addresses on which an instance listens."""

    callers: identity.Address
    peers: identity.Address
    admin: identity.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Addresses, timeouts and limits for the platform's log service and instance list."""

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
        Duration of a server's lease, counted from the server's own time stamp.
    renew_interval_ms
        Interval between renewals of one server's lease.
    request_timeout_ms
        Timeout of a server's response to a renewal.
    drift_margin_ms
        Clock drift margin, added to the lease duration when others wait for its expiry.
    authority_s
        How long a lessor continues without a fresh read of the log.
    takeover_delay_ms
        Delay per rank after the first before a candidate proposes itself.
    """

    duration_ms: int = 500
    renew_interval_ms: int = 150
    request_timeout_ms: int = 150
    drift_margin_ms: int = 25
    authority_s: int = 300
    takeover_delay_ms: int = 300


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Settings of the exchange between peers.

    Attributes
    ----------
    uptake_rows
        Maximum number of uptake rows in one exchange.
    heard_within_ms
        Maximum age of an instance's last report for it to count as heard.
    seeds
        Peers to contact until the platform's instance list has been read.
    """

    neighbor_count: int = 3
    interval_ms: int = 1_000
    request_timeout_ms: int = 1_000
    uptake_rows: int = 32
    heard_within_ms: int = 10_000
    seeds: tuple[identity.Address, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotSettings:
    """When a snapshot of the state is written to the log.

    Attributes
    ----------
    snapshot_every_records
        Number of records after which a new snapshot is due.
    snapshot_every_s
        Seconds after which one is due even with fewer records; well below the
        retention time of the log.
    rank_delay_ms
        Delay per rank after the first before an instance writes the snapshot itself.
    """

    snapshot_every_records: int = 5_000
    snapshot_every_s: int = 600
    rank_delay_ms: int = 3_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerSettings:
    """Limits of the front end for callers.

    Attributes
    ----------
    threads
        Maximum number of requests in progress or queued.
    connection_limit
        Maximum number of idle caller connections kept open.
    """

    threads: int = 128
    connection_limit: int = 5_000
    body_limit_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentSettings:
    """Limits of the deduplication of non-idempotent requests.

    Attributes
    ----------
    remembered_limit
        Number of intents above which the oldest quarter is discarded.
    answer_limit_bytes
        Maximum size of a response, headers and body, that is stored for retries.
    commit_timeout_ms
        Maximum wait for an intent to be read back from the log.
    """

    remembered_limit: int = 10_000
    answer_limit_bytes: int = 1_024
    commit_timeout_ms: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a router instance."""

    name: str
    failure_domain: str
    listen: ListenSettings
    platform: PlatformSettings
    leases: LeaseSettings = LeaseSettings()
    peers: PeerSettings = PeerSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
    callers: CallerSettings = CallerSettings()
    intents: IntentSettings = IntentSettings()
