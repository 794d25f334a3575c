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
    """How an instance follows its peers.

    Attributes
    ----------
    uptake_rows
        Rows of the table of taken-up presets that one exchange carries at most.
    heard_within_ms
        How old an instance's last word may be for it to count as heard.
    seeds
        Peers to ask while the platform's instance list has never been read.
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
        Records after which a new snapshot is due.
    snapshot_every_s
        Seconds after which one is due even if little was recorded; well below
        the time for which the log keeps records.
    rank_delay_ms
        Wait of each rank after the first before it writes a snapshot itself.
    """

    snapshot_every_records: int = 5_000
    snapshot_every_s: int = 600
    rank_delay_ms: int = 3_000


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

    threads: int = 128
    connection_limit: int = 5_000
    body_limit_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentSettings:
    """What is remembered of non-idempotent work, and how long its record is awaited.

    Attributes
    ----------
    remembered_limit
        Number of intents above which the oldest quarter is forgotten.
    answer_limit_bytes
        Longest answer, headers and body together, that is kept for repeats.
    commit_timeout_ms
        Longest wait for an intent to be read back from the log.
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
