"""Construction of a router instance from checked settings."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.admin import server as admin_server
from goldcresthall.backend import http_client
from goldcresthall.callers import wsgi_frontend as caller_frontend
from goldcresthall.core import identity
from goldcresthall.intents import service as intents_service
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.log_service import http_log_client
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics
from goldcresthall.ownership import counters
from goldcresthall.ownership import heat
from goldcresthall.ownership import lease_service
from goldcresthall.ownership import lessor_probe
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import proposer
from goldcresthall.ownership import rebalancer
from goldcresthall.peers import follower
from goldcresthall.peers import server
from goldcresthall.presets import publisher
from goldcresthall.presets import uptake_collector
from goldcresthall.replication import log_replica
from goldcresthall.replication import snapshot_writer
from goldcresthall.replication import writer
from goldcresthall.routing import admission
from goldcresthall.routing import observations
from goldcresthall.routing import probes
from goldcresthall.routing import router

if TYPE_CHECKING:
    from goldcresthall.core import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A constructed router instance, not yet started."""

    kernel: kernel.Kernel
    incarnation: identity.Incarnation

    @classmethod
    def from_config(cls, instance_settings: settings.Settings) -> Instance:
        """Construct an instance and register its services in startup order."""
        service_kernel = kernel.Kernel()
        incarnation = identity.Incarnation.create(instance_settings.name)
        _register_foundation(service_kernel, instance_settings)
        _register_replication(service_kernel, incarnation, instance_settings)
        _register_ownership(service_kernel, incarnation, instance_settings)
        _register_routing(service_kernel, incarnation, instance_settings)
        return cls(service_kernel, incarnation)


def _register_foundation(
    service_kernel: kernel.Kernel, instance_settings: settings.Settings
) -> None:
    platform = instance_settings.platform
    service_kernel.register(names.CLOCK, clock.MonotonicClock())
    service_kernel.register(names.METRICS, metrics.Metrics())
    service_kernel.register(
        names.LOG_CLIENT, http_log_client.HttpLogClient.from_config(instance_settings)
    )
    service_kernel.register(
        names.LOG_WRITER, writer.LogWriter.from_config(service_kernel, platform)
    )
    service_kernel.register(
        names.INSTANCE_LIST, instance_list.HttpInstanceList.from_config(instance_settings)
    )
    service_kernel.register(names.BACKENDS, http_client.HttpBackendClient())
    service_kernel.register(names.HEAT, heat.HeatCounter())


def _register_replication(
    service_kernel: kernel.Kernel,
    incarnation: identity.Incarnation,
    instance_settings: settings.Settings,
) -> None:
    service_kernel.register(
        names.REPLICA,
        log_replica.LogReplica.from_config(service_kernel, instance_settings.platform),
    )
    service_kernel.register(
        names.PEER_SERVER,
        server.PeerServer.from_config(service_kernel, incarnation, instance_settings),
    )
    service_kernel.register(
        names.PEERS,
        follower.PeerFollower.from_config(service_kernel, incarnation, instance_settings),
    )
    service_kernel.register(
        names.SNAPSHOTS,
        snapshot_writer.SnapshotWriter.from_config(service_kernel, incarnation, instance_settings),
    )


def _register_ownership(
    service_kernel: kernel.Kernel,
    incarnation: identity.Incarnation,
    instance_settings: settings.Settings,
) -> None:
    service_kernel.register(
        names.LEASE_COUNTERS, counters.LeaseCounters.from_config(service_kernel)
    )
    service_kernel.register(
        names.OWNERSHIP,
        proposer.OwnershipProposer.from_config(
            service_kernel, incarnation, instance_settings.leases
        ),
    )
    service_kernel.register(
        names.LESSOR_PROBE,
        lessor_probe.PeerLessorProbe.from_config(service_kernel, incarnation, instance_settings),
    )
    service_kernel.register(
        names.PLANNED_MOVES, planned_moves.PlannedMoves.from_config(service_kernel, incarnation)
    )
    service_kernel.register(
        names.REBALANCER, rebalancer.Rebalancer.from_config(service_kernel, incarnation)
    )
    service_kernel.register(
        names.LEASES,
        lease_service.LeaseService.from_config(service_kernel, incarnation, instance_settings),
    )


def _register_routing(
    service_kernel: kernel.Kernel,
    incarnation: identity.Incarnation,
    instance_settings: settings.Settings,
) -> None:
    service_kernel.register(
        names.UPTAKE,
        uptake_collector.UptakeCollector.from_config(
            service_kernel, incarnation, instance_settings.peers
        ),
    )
    service_kernel.register(names.PRESETS, publisher.PresetPublisher.from_config(service_kernel))
    service_kernel.register(
        names.INTENTS,
        intents_service.Intents.from_config(service_kernel, incarnation, instance_settings.intents),
    )
    service_kernel.register(
        names.OBSERVATIONS, observations.Observations.from_config(service_kernel)
    )
    service_kernel.register(
        names.ADMISSION, admission.Admission.from_config(service_kernel, instance_settings)
    )
    service_kernel.register(names.PROBES, probes.Probes.from_config(service_kernel))
    service_kernel.register(names.ROUTER, router.Router.from_config(service_kernel))
    service_kernel.register(
        names.ADMIN,
        admin_server.AdminServer.from_config(service_kernel, incarnation, instance_settings),
    )
    service_kernel.register(
        names.CALLERS, caller_frontend.WsgiFrontend.from_config(service_kernel, instance_settings)
    )
