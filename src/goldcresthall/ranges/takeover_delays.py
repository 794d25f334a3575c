"""Delays before a takeover, by which machines that meet the lessor's requirements go first."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment_settings

MAX_TAKEOVER_JITTER_S = 0.3
LOW_CAPACITY_DELAY_S = 0.6
FIRST_START_DELAY_S = 1.2  # lets a machine that meets the lessor's requirements go first


class TakeoverDelays:
    """The delays of one instance.

    Parameters
    ----------
    first_read_s
        Seconds from the start until the ownership table is read for the first time.
    min_takeover_s
        Seconds that each takeover is delayed at least.
    generator
        Keeps the takeovers of several instances apart.
    """

    def __init__(
        self, first_read_s: float, min_takeover_s: float, generator: random.Random
    ) -> None:
        self._first_read_s = first_read_s
        self._min_takeover_s = min_takeover_s
        self._generator = generator

    @classmethod
    def from_config(
        cls, settings: deployment_settings.DeploymentSettings, generator: random.Random
    ) -> TakeoverDelays:
        """Create the delays of an instance; longer on a machine below the requirements."""
        if settings.machine.meets_lessor_requirements:
            return cls(0.0, 0.0, generator)
        first_read_s = FIRST_START_DELAY_S if settings.is_first_start else 0.0
        return cls(first_read_s, LOW_CAPACITY_DELAY_S, generator)

    @property
    def first_read_s(self) -> float:
        """Seconds from the start until the ownership table is read for the first time."""
        return self._first_read_s

    def draw_s(self) -> float:
        """Return the seconds by which to delay a takeover."""
        return self._min_takeover_s + self._generator.uniform(0, MAX_TAKEOVER_JITTER_S)
