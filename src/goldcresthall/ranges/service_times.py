"""Mean service times per server as decaying averages, and how certain they are."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.load import work_estimates

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import estimates

SERVICE_TIME_HALF_LIFE_S = 6.0
PRIOR_SAMPLES = 4.0
# Standard deviation of a sample as a fraction of the mean. The work of reads is log-normal, with a
# standard deviation of 0.8 of its logarithm.
SAMPLE_SPREAD = 1.0
# Bounds the effect of a few samples, and of waiting that was taken for work.
MAX_SLOWNESS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """How fast a server works.

    Attributes
    ----------
    slowness
        Time that work takes there, relative to the mean of the service.
    noise
        Standard deviation of it as a fraction.
    """

    slowness: float
    noise: float


@dataclasses.dataclass(frozen=True, slots=True)
class _DecayedTimes:
    count: float
    total_s: float
    at_s: float


class ServiceTimeEstimator:
    """Mean service time of each server from the decaying samples of all instances."""

    def __init__(self) -> None:
        self._times: dict[deployment.ServerIncarnation, _DecayedTimes] = {}

    def add(self, samples: tuple[estimates.LatencySample, ...], now_s: float) -> None:
        """Add samples from one instance."""
        for sample in samples:
            previous = self._decay(sample.server, now_s)
            self._times[sample.server] = _DecayedTimes(
                previous.count + sample.count, previous.total_s + sample.total_s, now_s
            )

    def estimate_times_s(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, float]:
        """Return the mean service time in seconds for each server of a service.

        `PRIOR_SAMPLES` samples of the service's mean are blended in for servers with few
        samples of their own.
        """
        decayed = {incarnation: self._decay(incarnation, now_s) for incarnation in incarnations}
        mean_s = self.estimate_mean_s(incarnations, now_s)
        return {
            incarnation: (times.total_s + PRIOR_SAMPLES * mean_s) / (times.count + PRIOR_SAMPLES)
            for incarnation, times in decayed.items()
        }

    def estimate_mean_s(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> float:
        """Return the mean service time in seconds over some servers of a service."""
        decayed = [self._decay(incarnation, now_s) for incarnation in incarnations]
        count = sum(times.count for times in decayed)
        total_s = sum(times.total_s for times in decayed)
        return total_s / count if count else work_estimates.DEFAULT_WORK_S

    def estimate_speeds(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, ServerSpeed]:
        """Return how fast work is at each server of a service, and how certain that is."""
        slowness = self._estimate_slowness(incarnations, now_s)
        return {
            incarnation: ServerSpeed(
                slowness[incarnation],
                # Decaying samples that arrive at a steady rate average as much noise as twice
                # their decayed count.
                SAMPLE_SPREAD
                / math.sqrt(2.0 * self._decay(incarnation, now_s).count + PRIOR_SAMPLES),
            )
            for incarnation in incarnations
        }

    def _estimate_slowness(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, float]:
        decayed = [self._decay(incarnation, now_s) for incarnation in incarnations]
        count = sum(times.count for times in decayed)
        total_s = sum(times.total_s for times in decayed)
        if not count or not total_s:
            return dict.fromkeys(incarnations, 1.0)
        mean_s = total_s / count
        return {
            incarnation: min(MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, time_s / mean_s))
            for incarnation, time_s in self.estimate_times_s(incarnations, now_s).items()
        }

    def _decay(self, incarnation: deployment.ServerIncarnation, now_s: float) -> _DecayedTimes:
        previous = self._times.get(incarnation)
        if previous is None:
            return _DecayedTimes(0.0, 0.0, now_s)
        factor = 0.5 ** ((now_s - previous.at_s) / SERVICE_TIME_HALF_LIFE_S)
        return _DecayedTimes(previous.count * factor, previous.total_s * factor, now_s)
