"""What a lessor knows of the lease it renews, and when that lease is over."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import leases

if TYPE_CHECKING:
    from goldcresthall.core import settings

MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Durations of the lease protocol in seconds.

    Attributes
    ----------
    lease_s
        A lease with its drift margin, as awaited from outside.
    succession_s
        Longest time after a new appointment for which the lessor before it may keep
        a lease running: its authority and a last lease, with the drift margin of one
        lease in proportion.
    """

    duration_ms: int
    renew_interval_s: float
    request_timeout_s: float
    drift_margin_s: float
    lease_with_margin_s: float
    authority_s: float
    predecessor_limit_s: float
    takeover_delay_s: float

    @classmethod
    def from_config(cls, lease_settings: settings.LeaseSettings) -> LeaseTiming:
        """Return the durations of an instance's settings."""
        duration_s = lease_settings.duration_ms / MS_PER_S
        drift_margin_s = lease_settings.drift_margin_ms / MS_PER_S
        return cls(
            duration_ms=lease_settings.duration_ms,
            renew_interval_s=lease_settings.renew_interval_ms / MS_PER_S,
            request_timeout_s=lease_settings.request_timeout_ms / MS_PER_S,
            drift_margin_s=drift_margin_s,
            lease_with_margin_s=duration_s + drift_margin_s,
            authority_s=lease_settings.authority_s,
            predecessor_limit_s=(lease_settings.authority_s + duration_s)
            * (1 + drift_margin_s / duration_s),
            takeover_delay_s=lease_settings.takeover_delay_ms / MS_PER_S,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseView:
    """What a lessor knows of the lease it renews.

    Attributes
    ----------
    lessor_epoch
        Epoch of the appointment this view belongs to.
    appointed_at_s
        Clock reading when this instance had read its appointment back.
    succeeded
        Whether an earlier lessor may still be renewing.
    report
        The server's last answer; none before the first.
    received_at_s
        Clock reading when `report` arrived.
    ends_at_s
        Clock reading after which no lease that this instance knows of holds.
    is_fenced
        Whether the server has acknowledged this epoch, so that it refuses lower ones.
    renewals_in_a_row
        Renewals taken by the server since the last that was not.
    """

    lessor_epoch: int
    appointed_at_s: float
    has_predecessor: bool
    report: leases.LeaseReport | None = None
    received_at_s: float = 0.0
    ends_at_s: float = float("-inf")
    is_fenced: bool = False
    consecutive_renewals: int = 0

    @property
    def server_incarnation(self) -> str:
        """Life of the server process that answered last; empty before the first answer."""
        return "" if self.report is None else self.report.stamp.incarnation


def record_renewal_sent(view: LeaseView, timing: LeaseTiming) -> LeaseView:
    """Return the view once a renewal that echoes its last stamp may have been sent."""
    return dataclasses.replace(
        view, ends_at_s=max(view.ends_at_s, view.received_at_s + timing.lease_with_margin_s)
    )


def record_response(
    view: LeaseView, outcome: leases.LeaseOutcome, received_at_s: float, timing: LeaseTiming
) -> LeaseView:
    """Return the view after an answer, or after none came.

    Under this view's epoch the server reports all that earlier lessors left
    running, so the remaining time it names bounds their leases too.
    """
    if isinstance(outcome, leases.LeaseUnanswered):
        return dataclasses.replace(view, consecutive_renewals=0)
    renewed = outcome.status is leases.RenewalStatus.RENEWED
    asked = outcome.status is leases.RenewalStatus.REPORTED
    fenced = outcome.lessor_epoch == view.lessor_epoch
    reported_end_s = received_at_s + outcome.remaining_ms / MS_PER_S + timing.drift_margin_s
    return dataclasses.replace(
        view,
        report=outcome,
        received_at_s=received_at_s,
        ends_at_s=max(view.ends_at_s, reported_end_s if fenced else view.ends_at_s),
        is_fenced=view.is_fenced or fenced,
        consecutive_renewals=view.consecutive_renewals + int(renewed) if renewed or asked else 0,
    )


def has_expired(view: LeaseView, now_s: float, timing: LeaseTiming) -> bool:
    """Return whether no lease of the server can hold any more at a clock reading."""
    if now_s <= view.ends_at_s:
        return False
    if view.is_fenced:
        return True
    if view.has_predecessor:
        return now_s > view.appointed_at_s + timing.predecessor_limit_s
    return now_s > view.appointed_at_s + timing.lease_with_margin_s


def is_superseded(view: LeaseView) -> bool:
    """Return whether the server knows a later lessor, though this instance does not yet."""
    return view.report is not None and view.report.lessor_epoch > view.lessor_epoch
