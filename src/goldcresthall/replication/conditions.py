"""The condition of a replica: whether its state may be decided and served from."""

from __future__ import annotations

import dataclasses
import enum


class ConditionKind(enum.Enum):
    """What a replica can be used for."""

    STARTING = "starting"
    FOLLOWING = "following"
    STATE_MISSING = "state_missing"
    HALTED = "halted"
    DIVERGED = "diverged"


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A replica's condition and, unless it follows, why."""

    kind: ConditionKind
    detail: str = ""

    @property
    def is_usable(self) -> bool:
        """Whether work may be decided and sent by this state."""
        return self.kind is ConditionKind.FOLLOWING

    def __str__(self) -> str:
        """Return the kind and the reason."""
        return f"{self.kind.value}: {self.detail}" if self.detail else self.kind.value


FOLLOWING = Condition(ConditionKind.FOLLOWING)
