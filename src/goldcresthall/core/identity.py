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
    """One run of a router instance's process.

    A restarted process of the same name has another token and therefore none of the
    authority of its predecessor.
    """

    name: str
    token: str

    @classmethod
    def create(cls, name: str) -> Incarnation:
        """Return a new incarnation of the instance `name`."""
        return cls(name=name, token=uuid.uuid4().hex[:16])

    def __str__(self) -> str:
        """Return ``name/token``."""
        return f"{self.name}/{self.token}"


class InstanceStatus(enum.Enum):
    """Status of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(enum.Enum):
    """Kind of process that an instance runs."""

    ROUTER = "router"
    BACKEND_SERVER = "backend_server"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An entry of the platform's instance list, which may be out of date."""

    name: str
    failure_domain: str
    peer_address: Address
    status: InstanceStatus
    role: InstanceRole = InstanceRole.ROUTER


def format_utc_now() -> str:
    """Return the current UTC time of this process's wall clock, for operators.

    The clocks of instances differ; no decision may depend on the value.
    """
    return dt.datetime.now(dt.UTC).isoformat(timespec="seconds")


def create_record_id() -> str:
    """Return a new identifier, unique across all instances."""
    return uuid.uuid4().hex
