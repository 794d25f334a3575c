"""Broken rules."""

from __future__ import annotations

import dataclasses

from goldcresthall_stand_ins.rules import events


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes
    ----------
    rule
        Name of the rule, as in the platform's list of rules.
    at_s
        When it was broken (clock of the record, seconds).
    what
        What broke it, for a reader of the report.
    evidence
        The events that show it.
    """

    rule: str
    at_s: float
    what: str
    evidence: tuple[events.Event, ...]

    def __str__(self) -> str:
        """Return one line for the violation and an indented line for each event."""
        lines = [f"{self.rule} at {self.at_s:.3f} s: {self.what}"]
        return "\n".join([*lines, *(f"    {event}" for event in self.evidence)])
