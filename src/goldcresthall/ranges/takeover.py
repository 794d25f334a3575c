"""Takeover: an instance writes itself into the ownership table as the lessor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import lessor
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import retained_tables
from goldcresthall.store import client
from goldcresthall.store import positions

if TYPE_CHECKING:
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lessor_context

DIRECTORY_CHECK_INTERVAL_S = 0.05
DIRECTORY_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverResult:
    """Result of a takeover.

    Attributes
    ----------
    term
        The new term; `None` if the takeover failed.
    other_table
        The table of another instance that took over first; `None` unless it was read.
    """

    term: lessor.LessorTerm | None = None
    other_table: key_ranges.StoredTable | None = None


FAILED = TakeoverResult()


def take_over(
    context: lessor_context.LessorContext,
    own: key_ranges.LessorIdentity,
    stored: key_ranges.StoredTable,
    max_lease_s: float,
    stop_signal: tasks.StopSignal,
    *,
    retained: retained_tables.RetainedTable | None = None,
    first_start_era: int | None = None,
) -> TakeoverResult:
    """Write a takeover record, unless another instance takes over first.

    Parameters
    ----------
    context
        Services that the new term depends on.
    own
        Identity and address of this instance.
    stored
        The table, or only the lessor, that this instance last knew.
    max_lease_s
        Upper bound for the lease duration in seconds.
    retained
        Table of this instance's last term, if the store came back from a copy since.
    first_start_era
        Era of the store at the first start of the whole system, in which a missing table means
        that there was none; `None` if this is no first start.
    """
    if not _await_directory(context, stop_signal):
        return FAILED
    latest = ownership_tables.read(context.store)
    if latest is None or stop_signal.is_set:
        return FAILED
    if latest.table.lessor != stored.table.lessor:
        return TakeoverResult(other_table=latest)
    planned = _plan_table(context, own, latest, retained, first_start_era)
    table = planned.table
    began_at_s = context.clock.read_s()
    outcome = context.store.write(
        ownership_tables.TOPIC, ownership_tables.KEY, ownership_tables.encode(table), planned.offset
    )
    if not isinstance(outcome, client.Written):
        logging.info("takeover failed, step write: %s", outcome)
        return FAILED
    logging.info(
        "became lessor in term %s, ranges %d, predecessors %d",
        positions.describe(outcome.offset),
        len(table.assignments),
        len(table.predecessors),
    )
    acquired_table = key_ranges.StoredTable(outcome.offset, table)
    own_term = lessor.LessorTerm(context, own, acquired_table, max_lease_s, began_at_s)
    return TakeoverResult(own_term)


def _plan_table(
    context: lessor_context.LessorContext,
    own: key_ranges.LessorIdentity,
    latest: key_ranges.StoredTable,
    retained: retained_tables.RetainedTable | None,
    first_start_era: int | None,
) -> key_ranges.StoredTable:
    """Return the table of the takeover, and the position at which it is written."""
    position = latest.offset + 1
    is_first = ownership_tables.is_first(latest) and (
        positions.find_era(position) == first_start_era
    )
    if is_first or not ownership_tables.is_from_copy(latest):
        table = ownership_tables.take_over(latest.table, own, position)
        return key_ranges.StoredTable(position, table)
    if retained is None:
        return retained_tables.create_from_copy(context, own, latest, None)
    return retained.restore(context, own, latest)


def _await_directory(context: lessor_context.LessorContext, stop_signal: tasks.StopSignal) -> bool:
    """Wait for the configuration and the servers, without which a lessor cannot plan.

    Returns
    -------
    bool
        Whether both are known; `False` if the wait lasted `DIRECTORY_TIMEOUT_S`.
    """
    context.directory.request_read()
    ends_at_s = context.clock.read_s() + DIRECTORY_TIMEOUT_S
    while not context.directory.is_complete:
        if context.clock.read_s() >= ends_at_s or stop_signal.wait(DIRECTORY_CHECK_INTERVAL_S):
            return False
    return True
