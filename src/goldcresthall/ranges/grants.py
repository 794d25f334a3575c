"""Orders to backend servers about keys, and what comes of them."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.core import deployment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantCommand:
    """Grants keys, or renews a grant, for `hold_s` seconds from its arrival.

    Attributes
    ----------
    handover
        What the last holder gave on release; empty if there is nothing.
    """

    lease_id: int
    keys: key_ranges.KeyRange
    fence: int
    lease_s: float
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseCommand:
    """Takes keys back once the work on them has ended."""

    lease_id: int
    keys: key_ranges.KeyRange
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The server holds the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The server holds the keys no longer and works on none of them."""

    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class StaleFence:
    """The server has seen a higher fencing token on one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandRejected:
    """The server did not take the order."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandNotSent:
    """No byte of the order left."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandUnanswered:
    """The order may be carried out, now or later."""

    detail: str


CommandOutcome = (
    Granted | Released | StaleFence | CommandRejected | CommandNotSent | CommandUnanswered
)


class GrantChannel(service.Service):
    """Sends orders about keys to backend servers."""

    @abc.abstractmethod
    def grant(self, server: deployment.RegisteredServer, command: GrantCommand) -> CommandOutcome:
        """Grant or renew."""

    @abc.abstractmethod
    def release(
        self, server: deployment.RegisteredServer, command: ReleaseCommand
    ) -> CommandOutcome:
        """Take keys back and wait until the work on them has ended."""
