"""Appointments of lessors."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import records

if TYPE_CHECKING:
    from goldcresthall.replication import commits
    from goldcresthall.replication import replica
    from goldcresthall.replication import state as replicated

COMMIT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Appointment:
    """A wish that an instance be lessor of a server.

    Attributes
    ----------
    server_incarnation
        Life of the server process that was met before this wish; empty if none was.
        The lessor may renew no other: a server that restarts has forgotten which
        lessors it refused, and so a lessor must have been appointed since.
    """

    server: str
    lessor: identity.Incarnation
    server_incarnation: str
    author: identity.Incarnation
    reason: str


def appoint(
    wish: Appointment, state: replicated.State, log_replica: replica.Replica
) -> commits.CommitOutcome:
    """Hand an appointment derived from a state to the log and wait for its fate."""
    choice = records.LessorChoice(wish.server, wish.lessor, wish.server_incarnation)
    record = records.LessorsAppointed(
        record_id=identity.create_record_id(),
        base=state.next_offset,
        author=str(wish.author),
        reason=wish.reason,
        choices=(choice,),
    )
    outcome = log_replica.commit(record, COMMIT_TIMEOUT_S)
    logging.info("lessor of %s: %s (%s): %s", wish.server, wish.lessor, wish.reason, outcome)
    return outcome
