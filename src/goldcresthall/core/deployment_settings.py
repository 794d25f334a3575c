"""Settings of an instance that runs in a deployment of the platform."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity

LESSOR_MIN_CORES = 0.6
LESSOR_MIN_LINK_MBPS = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentListen:
    """Addresses at which an instance listens.

    Attributes
    ----------
    admin
        Where metrics are served; none if the instance serves no operators.
    """

    callers: identity.Address
    readiness: identity.Address
    peers: identity.Address
    admin: identity.Address | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MachineLimits:
    """What the machine of an instance has.

    Attributes
    ----------
    cores
        Cores, counted by the share of each that may be used.
    link_mbps
        Megabits per second of the machine's own link.
    memory_mb
        Memory in megabytes beyond which the process is killed.
    """

    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: int = 300

    @property
    def meets_lessor_requirements(self) -> bool:
        """Whether the machine can carry the lessor's traffic with all instances."""
        return self.cores >= LESSOR_MIN_CORES and self.link_mbps >= LESSOR_MIN_LINK_MBPS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """How many repeats all instances together may send to a service.

    Attributes
    ----------
    ratio
        Repeats for each request.
    window_s
        Seconds over which they are counted.
    slack
        Repeats in each window beyond the ratio.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSettings:
    """All settings of an instance in a deployment (durations in seconds).

    Attributes
    ----------
    heartbeat_s
        Interval at which backend servers register themselves anew.
    longest_hold_s
        Longest time for which keys may be granted.
    drain_s
        Time after which a draining server may get no new work.
    grace_s
        Time from the signal to end until the process is killed.
    """

    name: str
    failure_domain: str
    listen: DeploymentListen
    store: identity.Address
    heartbeat_s: float
    max_lease_s: float
    drain_s: float
    grace_s: float
    retries: RetryLimits = RetryLimits()
    machine: MachineLimits = MachineLimits()
