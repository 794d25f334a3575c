"""BUDGET, a server's own word: an instance keeps the time of a `Retry-After`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall_stand_ins.rules import record as records

RULE = "BUDGET"
BUSY = 503
REACTION_S = 0.5
MAX_ARRIVALS = 2


def check(record: records.Record) -> list[violations.Violation]:
    """Check that few requests reach a server from an instance that it told to wait."""
    return list(_check_refusals(record, disturbances.DisturbanceLog(record)))


def _check_refusals(
    record: records.Record, log: disturbances.DisturbanceLog
) -> Iterator[violations.Violation]:
    arrivals = [
        event for event in record.select(events.RequestArrived) if not event.is_health_check
    ]
    for refusal in record.select(events.RequestRefused):
        early = [event for event in arrivals if _is_early(event, refusal, log)]
        if len(early) > MAX_ARRIVALS:
            what = (
                f"{len(early)} requests reach {refusal.server} from {refusal.instance}, which it "
                f"told to wait {refusal.retry_after_s} s"
            )
            at_s = early[MAX_ARRIVALS].at_s
            yield violations.Violation(RULE, at_s, what, (refusal, *early))


def _is_early(
    arrival: events.RequestArrived,
    refusal: events.RequestRefused,
    log: disturbances.DisturbanceLog,
) -> bool:
    if refusal.status != BUSY or refusal.retry_after_s is None:
        return False
    from_s = refusal.at_s + REACTION_S
    until_s = refusal.at_s + refusal.retry_after_s
    return (
        (arrival.server, arrival.incarnation) == (refusal.server, refusal.incarnation)
        and arrival.instance == refusal.instance
        and from_s < arrival.at_s < until_s
        and not log.was_restarted_or_frozen(arrival.instance, refusal.at_s, arrival.at_s)
        and not log.was_cut(arrival.instance, refusal.at_s, arrival.at_s)
    )
