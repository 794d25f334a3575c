"""What the lessor knows of each range: its owner, and what was ordered of it."""

from __future__ import annotations

import dataclasses
import enum
import math

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges

CLOCK_DRIFT = 1.03
EXPIRY_MARGIN_S = 0.3


class LeasePhase(enum.Enum):
    """Where a range is on its way from one owner to the next.

    GRANTING
        The owner is recorded; its grant is not yet answered.
    HELD
        The owner holds the range.
    RELEASING
        The owner was told to give the range back.
    EXPIRING
        The owner gets no renewal; its grant runs out.
    FREE
        Nobody holds the range.
    """

    GRANTING = "granting"
    HELD = "held"
    RELEASING = "releasing"
    EXPIRING = "expiring"
    FREE = "free"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeLease:
    """A range and what is known of it (times are readings of the lessor's clock).

    Attributes
    ----------
    ready
        Whether requests for the range may go to the owner.
    in_flight
        Whether a grant is on its way.
    unanswered
        Whether a grant under the present fence had no answer and may still act.
    needs_fence
        Whether the owner must get the range under a higher fence first.
    reached_at_s
        Latest time at which a grant of this lessor may have arrived at the owner.
    due_at_s
        When the next grant is due.
    failing_since_s
        When grants began to fail; none if the last one did not.
    target
        Server that is to get the range next.
    """

    service: str
    keys: key_ranges.KeyRange
    owner: deployment.ServerIncarnation | None
    fence: int = 0
    phase: LeasePhase = LeasePhase.FREE
    ready: bool = False
    in_flight: bool = False
    unanswered: bool = False
    needs_higher_fence: bool = False
    latest_arrival_at_s: float = -math.inf
    due_at_s: float = -math.inf
    failing_since_s: float | None = None
    handover: str = ""
    target: deployment.ServerIncarnation | None = None

    @property
    def is_granted(self) -> bool:
        """Whether the owner is to hold the range and to be renewed."""
        return self.phase in {LeasePhase.GRANTING, LeasePhase.HELD}

    @property
    def is_movable(self) -> bool:
        """Whether a release would prove that the owner holds the range no longer."""
        return self.phase is LeasePhase.HELD and not (
            self.in_flight or self.unanswered or self.needs_higher_fence
        )

    def find_expiry_s(self, lease_s: float, predecessors_end_s: float) -> float:
        """Return when the owner's grant has surely run out.

        Parameters
        ----------
        others_end_s
            Time until which an earlier lessor may have renewed it.
        """
        last_s = max(self.latest_arrival_at_s, predecessors_end_s)
        return last_s + lease_s * CLOCK_DRIFT + EXPIRY_MARGIN_S
