"""A lessor's view of the lease that it renews, and when that lease has expired."""

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
    lease_with_margin_s
        Lease duration plus the margin for clock drift between server and instance.
    predecessor_limit_s
        Upper bound of the time after an appointment for which a lease of the previous
        lessor can remain valid: that lessor's authority plus one lease, extended by the
        drift margin in proportion to the duration of a lease.
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
        """Return the durations configured for an instance."""
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
    """A lessor's view of the lease that it renews.

    Attributes
    ----------
    lessor_epoch
        Epoch of the appointment to which this view belongs.
    appointed_at_s
        Clock reading when this view was created, after the appointment was read from the log.
    has_predecessor
        Whether a previous lessor may still renew the lease.
    report
        The server's last report; `None` before the first one.
    received_at_s
        Clock reading when `report` arrived.
    ends_at_s
        Clock reading after which every lease known to this instance has expired.
    is_fenced
        Whether the server acknowledged this epoch and so refuses lower ones.
    consecutive_renewals
        Renewals accepted by the server since the last failed one.
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
        """Incarnation of the server process that answered last; empty before the first report."""
        return "" if self.report is None else self.report.stamp.incarnation


def record_renewal_sent(view: LeaseView, timing: LeaseTiming) -> LeaseView:
    """Return the view after a renewal with the last received stamp may have been sent."""
    return dataclasses.replace(
        view, ends_at_s=max(view.ends_at_s, view.received_at_s + timing.lease_with_margin_s)
    )


def record_response(
    view: LeaseView, outcome: leases.LeaseOutcome, received_at_s: float, timing: LeaseTiming
) -> LeaseView:
    """Return the view after a report from the server or a failed call.

    A report under this view's epoch includes the leases that previous lessors granted,
    so its remaining time is an upper bound for those leases too.
    """
    if isinstance(outcome, leases.LeaseUnanswered):
        return dataclasses.replace(view, consecutive_renewals=0)
    is_renewed = outcome.status is leases.RenewalStatus.RENEWED
    is_report = outcome.status is leases.RenewalStatus.REPORTED
    is_acknowledged = outcome.lessor_epoch == view.lessor_epoch
    reported_end_s = received_at_s + outcome.remaining_ms / MS_PER_S + timing.drift_margin_s
    return dataclasses.replace(
        view,
        report=outcome,
        received_at_s=received_at_s,
        ends_at_s=max(view.ends_at_s, reported_end_s if is_acknowledged else view.ends_at_s),
        is_fenced=view.is_fenced or is_acknowledged,
        consecutive_renewals=(
            view.consecutive_renewals + int(is_renewed) if is_renewed or is_report else 0
        ),
    )


def has_expired(view: LeaseView, now_s: float, timing: LeaseTiming) -> bool:
    """Return whether every possible lease of the server has expired at `now_s`."""
    if now_s <= view.ends_at_s:
        return False
    if view.is_fenced:
        return True
    if view.has_predecessor:
        return now_s > view.appointed_at_s + timing.predecessor_limit_s
    return now_s > view.appointed_at_s + timing.lease_with_margin_s


def is_superseded(view: LeaseView) -> bool:
    """Return whether the server reported a higher lessor epoch than that of the view."""
    return view.report is not None and view.report.lessor_epoch > view.lessor_epoch
