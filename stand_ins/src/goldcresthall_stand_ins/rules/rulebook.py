"""All rules that are checked."""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import abandonment
from goldcresthall_stand_ins.rules import cutoffs
from goldcresthall_stand_ins.rules import draining
from goldcresthall_stand_ins.rules import executions
from goldcresthall_stand_ins.rules import forwarding
from goldcresthall_stand_ins.rules import key_ownership
from goldcresthall_stand_ins.rules import responses
from goldcresthall_stand_ins.rules import retry_after
from goldcresthall_stand_ins.rules import retry_budget
from goldcresthall_stand_ins.rules import routing_versions
from goldcresthall_stand_ins.rules import time_limits
from goldcresthall_stand_ins.rules import traffic_splits

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import record as records
    from goldcresthall_stand_ins.rules import violations

CHECKS = (
    abandonment.check,
    cutoffs.check,
    draining.check,
    executions.check,
    forwarding.check,
    key_ownership.check,
    responses.check,
    retry_after.check,
    retry_budget.check,
    routing_versions.check,
    time_limits.check,
    traffic_splits.check,
)


def check(record: records.Record) -> list[violations.Violation]:
    """Return all broken rules of a record, ordered by time."""
    found = [violation for check_rule in CHECKS for violation in check_rule(record)]
    return sorted(found, key=operator.attrgetter("at_s"))
