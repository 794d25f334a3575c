"""Grant and release commands to backend servers, and their outcomes."""

from __future__ import annotations

import abc
import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.core import deployment


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantCommand:
    """Grants or renews a lease on a key range.

    Attributes
    ----------
    fence
        Fencing token; servers reject a command with a lower one than they have seen.
    lease_s
        Lease duration in seconds from the arrival of the command.
    handover
        Token that the previous holder returned on release; empty if there is none.
    needs_proof
        Whether the response must be proof that the server executed the command, so that the
        command goes over a new connection.
    send_by_s
        Reading of the clock from which the command must neither be sent nor arrive any more,
        because another lessor may have taken over. A command in progress is given up then.
    """

    lease_id: int
    keys: key_ranges.KeyRange
    fence: int
    lease_s: float
    handover: str = ""
    needs_proof: bool = False
    send_by_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseCommand:
    """Revokes a lease once the server has finished its work on the keys."""

    lease_id: int
    keys: key_ranges.KeyRange
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The server accepted the lease.

    Attributes
    ----------
    is_draining
        Whether the server said that it is draining.
    may_be_copy
        Whether the response may be a copy of an earlier one, so that the server may not have
        executed the command yet.
    """

    is_draining: bool = False
    may_be_copy: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The server released the keys and has no work in progress on them.

    Attributes
    ----------
    handover
        Token for the next holder; may be empty.
    """

    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The server refused the command.

    Attributes
    ----------
    may_be_executed
        Whether the server may have executed the command or may execute it later, because the
        response may be a copy of an earlier one or does not say that nothing was done.
    """

    detail: str
    may_be_executed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StaleFence(Refusal):
    """The server has seen a higher fencing token for one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandRejected(Refusal):
    """The server refused the command for another reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandMisdirected(Refusal):
    """The server at the address is another one, or none that knows grants."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandNotSent:
    """No byte of the command was sent, so the server cannot have executed it."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandUnanswered:
    """The command was sent but not answered; the server may execute it now or later."""

    detail: str


CommandOutcome = (
    Granted
    | Released
    | StaleFence
    | CommandRejected
    | CommandMisdirected
    | CommandNotSent
    | CommandUnanswered
)


class GrantChannel(service.Service):
    """Sends grant and release commands to backend servers."""

    @abc.abstractmethod
    def grant(self, server: deployment.RegisteredServer, command: GrantCommand) -> CommandOutcome:
        """Grant or renew a lease."""

    @abc.abstractmethod
    def release(
        self, server: deployment.RegisteredServer, command: ReleaseCommand
    ) -> CommandOutcome:
        """Revoke a lease and wait until the server has finished its work on the keys."""
