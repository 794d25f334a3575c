"""All rules that are checked."""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import key_ownership

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import record as records
    from goldcresthall_stand_ins.rules import violations

CHECKS = (key_ownership.check,)


def check(record: records.Record) -> list[violations.Violation]:
    """Return all broken rules of a record, ordered by time."""
    found = [violation for check_rule in CHECKS for violation in check_rule(record)]
    return sorted(found, key=operator.attrgetter("at_s"))
