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


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """What became of a publication: accepted, rejected, failed or unknown."""

    outcome: str
    offset: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdminFault:
    """Why a request of an operator was refused."""

    step: str
    faults: tuple[str, ...]
