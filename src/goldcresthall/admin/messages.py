"""Messages between the admin server and the command line."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceView:
    """One instance as known to the queried instance."""

    name: str
    incarnation: str
    next_offset: int
    preset_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """One backend server of a keyed service."""

    name: str
    lessor: str
    lessor_epoch: int
    lost: bool
    partitions: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """Status of one instance, its peers and its backend servers."""

    instance: InstanceView
    ready: bool
    condition: str
    condition_detail: str
    snapshot_offset: int
    read_age_s: float | None
    preset_name: str
    peers: tuple[InstanceView, ...]
    servers: tuple[ServerView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyView:
    """The owner of a key and the decision that assigned it."""

    service: str
    key: str
    partition: int
    owner: str
    epoch: int
    author: str
    reason: str
    lessor: str
    decided_at: str


@dataclasses.dataclass(frozen=True, slots=True)
class PresetView:
    """The preset in force."""

    offset: int
    author: str
    reason: str
    preset: preset.Preset


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRequest:
    """An operator's request to put a preset in force."""

    author: str
    reason: str
    preset: preset.Preset
    base: int | None = None
    record_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PresetHistoryEntry:
    """One preset of the history."""

    offset: int
    name: str
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of a publication: accepted, rejected, failed or unknown."""

    outcome: str
    offset: int
    detail: str
    record_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PresetHistory:
    """The latest presets put in force, oldest first."""

    presets: tuple[PresetHistoryEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUptake:
    """Whether one instance has a preset in force.

    Attributes
    ----------
    status
        ``has``, ``behind``, or ``unheard`` if it has not reported recently.
    heard_age_s
        Seconds since the instance itself reported its preset; `None` if it never did.
    listed
        Whether the platform's instance list contains it as live.
    """

    name: str
    status: str
    preset_offset: int
    heard_age_s: float | None
    listed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeView:
    """Which instances have a preset in force, as known to the queried instance.

    Attributes
    ----------
    offset
        Offset of the requested preset.
    list_age_s
        Seconds since the instance list was read; `None` if it never was.
    list_is_current
        Whether the list was read recently enough to contain every instance.
    """

    offset: int
    instances: tuple[InstanceUptake, ...]
    list_age_s: float | None
    list_is_current: bool

    @property
    def is_everywhere(self) -> bool:
        """Whether every instance is known to have the preset or a later one in force."""
        return self.list_is_current and all(entry.status == "has" for entry in self.instances)


@dataclasses.dataclass(frozen=True, slots=True)
class AdminFault:
    """The step at which a request ended, and its faults; no faults if it succeeded."""

    step: str
    faults: tuple[str, ...]
