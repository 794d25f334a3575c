"""The lessor's record of a lease on a key range: its owner, phase and timing."""

from __future__ import annotations

import dataclasses
import enum
import math

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges

# Tolerates server clocks that run up to 3 % slower than the lessor's.
CLOCK_DRIFT_FACTOR = 1.03
EXPIRY_MARGIN_S = 0.3


class LeasePhase(enum.Enum):
    """Phase of a range in its transfer from one owner to the next.

    GRANTING
        The owner is recorded in the store; its grant is not yet acknowledged.
    HELD
        The owner acknowledged the grant; it is renewed.
    RELEASING
        A release by the owner is in progress.
    EXPIRING
        The owner gets no further renewal; its lease is running out.
    FREE
        No server holds the range.
    """

    GRANTING = "granting"
    HELD = "held"
    RELEASING = "releasing"
    EXPIRING = "expiring"
    FREE = "free"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeLease:
    """Lease on a key range (times are readings of the lessor's clock).

    Attributes
    ----------
    fence
        Fencing token of the lease.
    ready
        Whether requests for the range may be sent to the owner.
    in_flight
        Whether a grant has been sent and is not yet completed.
    unanswered
        Whether a grant under the current fencing token got no response that is certainly its own,
        and may still be executed by the server.
    unproven
        Whether a grant under the current fencing token was acknowledged by a response that may be
        a copy of an earlier one, so that the server may still execute the grant.
    needs_higher_fence
        Whether the range must be granted again under a higher fencing token before
        anything else.
    needs_proof
        Whether the owner must acknowledge a higher fencing token by a response that is certainly
        its own. Until the token is recorded, renewals go on under the present one.
    proof_after_s
        Time before which no such acknowledgement is demanded again, because the last attempt
        failed.
    latest_arrival_at_s
        Latest time at which a grant of this lessor may have arrived at the owner.
    due_at_s
        Time of the next grant or renewal.
    failing_since_s
        Time of the first of the current series of failed grants; `None` if the last one
        succeeded.
    misdirected
        Whether the last grant certainly reached another server at the owner's address.
    handover
        Token from the previous owner, passed on with the next grant.
    target
        Server that gets the range next; `None` if no move is planned. A held range with a target
        waits until its release would prove that the owner no longer holds it.
    """

    service: str
    keys: key_ranges.KeyRange
    owner: deployment.ServerIncarnation | None
    fence: int = 0
    phase: LeasePhase = LeasePhase.FREE
    ready: bool = False
    in_flight: bool = False
    unanswered: bool = False
    unproven: bool = False
    needs_higher_fence: bool = False
    needs_proof: bool = False
    proof_after_s: float = -math.inf
    latest_arrival_at_s: float = -math.inf
    due_at_s: float = -math.inf
    failing_since_s: float | None = None
    misdirected: bool = False
    handover: str = ""
    target: deployment.ServerIncarnation | None = None

    @property
    def is_granted(self) -> bool:
        """Whether grants and renewals are sent to the owner."""
        return self.phase in {LeasePhase.GRANTING, LeasePhase.HELD}

    @property
    def is_divisible(self) -> bool:
        """Whether the lease may be replaced by leases on parts of its range."""
        is_ending = self.phase in {LeasePhase.RELEASING, LeasePhase.EXPIRING}
        return not self.in_flight and not is_ending

    @property
    def awaits_proof(self) -> bool:
        """Whether the next grant must prove that the owner knows the fencing token."""
        return self.needs_proof and self.phase is LeasePhase.GRANTING

    @property
    def is_movable(self) -> bool:
        """Whether a move or join may be planned, because nothing else is under way."""
        return (
            self.phase is LeasePhase.HELD
            and self.target is None
            and not (
                self.in_flight or self.unanswered or self.needs_higher_fence or self.needs_proof
            )
        )

    @property
    def is_releasable(self) -> bool:
        """Whether an acknowledged release would prove that the owner no longer holds the range.

        A grant that is in flight, unanswered or unproven could be executed after the release.
        """
        return self.phase is LeasePhase.HELD and not (
            self.in_flight
            or self.unanswered
            or self.unproven
            or self.needs_higher_fence
            or self.needs_proof
        )

    def find_expiry_s(self, lease_s: float, predecessors_end_s: float) -> float:
        """Return the time after which the owner's lease has expired for certain.

        Parameters
        ----------
        lease_s
            Lease duration in seconds.
        predecessors_end_s
            Time until which an earlier lessor may have renewed the lease.
        """
        return find_expiry_s(max(self.latest_arrival_at_s, predecessors_end_s), lease_s)


def find_expiry_s(last_arrival_s: float, lease_s: float) -> float:
    """Return the time after which a lease granted at a time at the latest has certainly expired."""
    return last_arrival_s + lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S
