"""All rules that are checked."""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import draining
from goldcresthall_stand_ins.rules import executions
from goldcresthall_stand_ins.rules import key_ownership
from goldcresthall_stand_ins.rules import responses

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import record as records
    from goldcresthall_stand_ins.rules import violations

CHECKS = (key_ownership.check, draining.check, executions.check, responses.check)


def check(record: records.Record) -> list[violations.Violation]:
    """Return all broken rules of a record, ordered by time."""
    found = [violation for check_rule in CHECKS for violation in check_rule(record)]
    return sorted(found, key=operator.attrgetter("at_s"))
