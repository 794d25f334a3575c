"""Addresses and identities of processes."""

from __future__ import annotations

import dataclasses
import datetime as dt
import enum
import uuid


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the usual ``host:port`` form."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of one router instance.

    A process that comes back at the same name has another token and thereby
    none of the authority of the one before it.
    """

    name: str
    token: str

    @classmethod
    def create(cls, name: str) -> Incarnation:
        """Return a new incarnation of the instance called `name`."""
        return cls(name=name, token=uuid.uuid4().hex[:16])

    def __str__(self) -> str:
        """Return ``name/token``."""
        return f"{self.name}/{self.token}"


class InstanceStatus(enum.Enum):
    """What the platform's list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(enum.Enum):
    """What runs on an instance."""

    ROUTER = "router"
    BACKEND_SERVER = "backend_server"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An instance as the platform's lagging list shows it."""

    name: str
    failure_domain: str
    peer_address: Address
    status: InstanceStatus
    role: InstanceRole = InstanceRole.ROUTER


def format_utc_now() -> str:
    """Return the present UTC time by this process's wall clock, for operators to read.

    Clocks of instances differ; nothing is ever decided by this text.
    """
    return dt.datetime.now(dt.UTC).isoformat(timespec="seconds")


def create_record_id() -> str:
    """Return a fresh identifier, unique over all instances."""
    return uuid.uuid4().hex
