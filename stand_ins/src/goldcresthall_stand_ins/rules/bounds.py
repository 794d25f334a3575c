"""Bounds of the rules."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the rules, named as in the settings file of an instance.

    Attributes
    ----------
    stable_window_s
        How long an instance must have been undisturbed, in seconds.
    drain_s
        How long a leaving server may still get requests, in seconds.
    thaw_s
        How long grants may be late after their sender or a link has recovered, in seconds.
    grace_s
        Time between SIGTERM and SIGKILL, in seconds.
    lost_s
        How long a request that was read may wait before it is passed on, in seconds.
    config_s
        How long an older version of the configuration may be used, in seconds.
    rollback_slack_s
        The same after a server has seen the effect of the newer version, in seconds.
    retry_budget_ratio, budget_slack, budget_window_s
        Repeats per request and further repeats that are allowed in each window (seconds).
    """

    stable_window_s: float = 3.0
    drain_s: float = 2.0
    thaw_s: float = 0.3
    grace_s: float = 6.0
    lost_s: float = 0.2
    config_s: float = 2.0
    rollback_slack_s: float = 0.25
    retry_budget_ratio: float = 0.2
    budget_slack: int = 64
    budget_window_s: float = 10.0
