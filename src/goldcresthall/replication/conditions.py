"""The condition of a replica: whether its state may be used to decide and to route."""

from __future__ import annotations

import dataclasses
import enum


class ConditionKind(enum.Enum):
    """Kinds of condition; only `FOLLOWING` allows decisions and routing."""

    STARTING = "starting"
    FOLLOWING = "following"
    STATE_MISSING = "state_missing"
    HALTED = "halted"
    DIVERGED = "diverged"


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The condition of a replica and, unless it is following the log, the reason."""

    kind: ConditionKind
    detail: str = ""

    @property
    def is_usable(self) -> bool:
        """Whether decisions and routing may use the state of the replica."""
        return self.kind is ConditionKind.FOLLOWING

    def __str__(self) -> str:
        """Return the kind and the reason."""
        return f"{self.kind.value}: {self.detail}" if self.detail else self.kind.value


FOLLOWING = Condition(ConditionKind.FOLLOWING)
