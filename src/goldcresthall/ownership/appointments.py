"""Appointment of an instance as the lessor of a server."""

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
    """A proposal to make an instance the lessor of a server.

    Attributes
    ----------
    server_incarnation
        Incarnation of the server process that was observed before this proposal; empty
        if the server did not answer. The lessor may renew the lease of this incarnation
        only: a restarted server has lost the epochs of the lessors that it fenced, so its
        lessor must be appointed after the restart.
    """

    server: str
    lessor: identity.Incarnation
    server_incarnation: str
    author: identity.Incarnation
    reason: str


def appoint(
    appointment: Appointment, state: replicated.State, log_replica: replica.Replica
) -> commits.CommitOutcome:
    """Commit an appointment that is based on `state` and return the outcome."""
    choice = records.LessorChoice(
        appointment.server, appointment.lessor, appointment.server_incarnation
    )
    record = records.LessorsAppointed(
        record_id=identity.create_record_id(),
        base=state.next_offset,
        author=str(appointment.author),
        reason=appointment.reason,
        choices=(choice,),
    )
    outcome = log_replica.commit(record, COMMIT_TIMEOUT_S)
    logging.info(
        "appointment of lessor for server %s: %s (reason: %s): %s",
        appointment.server,
        appointment.lessor,
        appointment.reason,
        outcome,
    )
    return outcome
