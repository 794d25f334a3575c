"""What the operators' front end and the command line tell each other."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceView:
    """One instance as seen from the instance that was asked."""

    name: str
    incarnation: str
    next_offset: int
    preset_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """One server of a keyed service."""

    name: str
    lessor: str
    lessor_epoch: int
    lost: bool
    partitions: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """The state of one instance and what it knows of its peers."""

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
    """Who owns a key, since which decision, by whom and why."""

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
    """An operator's wish to put a preset in force."""

    author: str
    reason: str
    preset: preset.Preset
    base: int | None = None
    record_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PresetHistoryEntry:
    """One preset that was put in force."""

    offset: int
    name: str
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """What became of a publication: accepted, rejected, failed or unknown."""

    outcome: str
    offset: int
    detail: str
    record_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PresetHistory:
    """The last presets put in force, the newest last."""

    presets: tuple[PresetHistoryEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUptake:
    """Whether one instance has a preset in force.

    Attributes
    ----------
    status
        ``has``, ``behind``, or ``unheard`` if it has not been heard of late.
    heard_age_s
        Seconds since it said so itself; none if it was never heard.
    listed
        Whether the platform's instance list names it.
    """

    name: str
    status: str
    preset_offset: int
    heard_age_s: float | None
    listed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeView:
    """Which instances have a preset in force, as one instance knows.

    Attributes
    ----------
    offset
        Offset of the preset asked for.
    list_age_s
        Seconds since the instance list was read; none if it never was.
    list_is_current
        Whether the list was read recently enough to name every instance.
    """

    offset: int
    instances: tuple[InstanceUptake, ...]
    list_age_s: float | None
    list_is_current: bool

    @property
    def is_everywhere(self) -> bool:
        """Whether every instance is known to have the preset or a later one."""
        return self.list_is_current and all(entry.status == "has" for entry in self.instances)


@dataclasses.dataclass(frozen=True, slots=True)
class AdminFault:
    """Why a request of an operator was refused."""

    step: str
    faults: tuple[str, ...]
