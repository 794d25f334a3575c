"""Settings of an instance in a deployment of the platform."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity

LESSOR_MIN_CORES = 0.6
LESSOR_MIN_LINK_MBPS = 50.0
BYTES_PER_MB = 1_000_000
DEFAULT_MAX_RECORD_BYTES = 262_144
DEFAULT_EVACUATION_S = 5.0
RESPONSE_MEMORY_FRACTION = 1 / 8
MAX_BODY_MEMORY_FRACTION = 1 / 32
LEDGER_FRACTION = 0.3
# One thread with its stack, and the buffers of its connection.
CONNECTION_BYTES = 32_768
CONNECTION_MEMORY_FRACTION = 1 / 8
CALLER_DESCRIPTOR_FRACTION = 1 / 2
DEFAULT_MAX_FDS = 1_024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentListen:
    """Listen addresses of an instance.

    Attributes
    ----------
    admin
        Address of the metrics endpoint; `None` if metrics are not served.
    """

    callers: identity.Address
    readiness: identity.Address
    peers: identity.Address
    admin: identity.Address | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MachineLimits:
    """Resources of an instance's machine.

    Attributes
    ----------
    cores
        Number of usable cores; a fraction if only a share of a core may be used.
    link_mbps
        Bandwidth of the machine's network link in megabits per second.
    memory_mb
        Memory limit in megabytes; the process is killed beyond it.
    max_fds
        Number of descriptors that the process may have open.
    """

    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: int = 300
    max_fds: int = DEFAULT_MAX_FDS

    @property
    def response_memory_bytes(self) -> int:
        """Memory in bytes for the response bodies that are being received at the same time."""
        return int(self.memory_mb * BYTES_PER_MB * RESPONSE_MEMORY_FRACTION)

    @property
    def ledger_bytes(self) -> int:
        """Memory in bytes for all requests, responses and what waits to be written."""
        return int(self.memory_mb * BYTES_PER_MB * LEDGER_FRACTION)

    @property
    def max_caller_connections(self) -> int:
        """Number of callers' connections that descriptors and memory suffice for."""
        memory_bytes = self.memory_mb * BYTES_PER_MB * CONNECTION_MEMORY_FRACTION
        by_memory = int(memory_bytes / CONNECTION_BYTES)
        return max(1, min(by_memory, int(self.max_fds * CALLER_DESCRIPTOR_FRACTION)))

    @property
    def max_body_bytes(self) -> int:
        """Largest response body in bytes."""
        return int(self.memory_mb * BYTES_PER_MB * MAX_BODY_MEMORY_FRACTION)

    @property
    def meets_lessor_requirements(self) -> bool:
        """Whether the machine can handle the lessor's traffic with all instances."""
        return self.cores >= LESSOR_MIN_CORES and self.link_mbps >= LESSOR_MIN_LINK_MBPS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """Retry budget of a service, shared by all instances.

    Attributes
    ----------
    ratio
        Retries allowed per request.
    window_s
        Length of the window in seconds over which requests and retries are counted.
    slack
        Retries allowed in each window in addition to the ratio.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdServerLimits:
    """How far requests to a cold backend server may exceed what it bears.

    All instances together may send it, in any second, the rate that it bears times `overshoot`,
    plus `slack` requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSettings:
    """All settings of an instance in a deployment (durations in seconds).

    Attributes
    ----------
    heartbeat_s
        Interval at which backend servers renew their registration.
    max_lease_s
        Maximum lease duration for keys.
    drain_s
        Time after which a draining server must not get new work.
    grace_s
        Time from the termination signal until the process is killed.
    cold_servers
        Limits on requests to cold backend servers.
    evacuation_s
        Time after which nothing may reach the servers of an evacuated failure domain.
    may_evacuate
        Whether the platform sets that time, so that evacuations are to be expected.
    max_record_bytes
        Size in bytes of the largest record that the store takes.
    is_first_start
        Whether the whole deployment starts for the first time, so that nothing is served yet.
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
    cold_servers: ColdServerLimits = ColdServerLimits()
    evacuation_s: float = DEFAULT_EVACUATION_S
    may_evacuate: bool = False
    max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES
    is_first_start: bool = False
