"""Builds a router instance from checked settings."""

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
    """A router instance that is built but not started."""

    kernel: kernel.Kernel
    incarnation: identity.Incarnation

    @classmethod
    def from_config(cls, instance_settings: settings.Settings) -> Instance:
        """Build an instance; services are registered in the order of their start."""
        built = kernel.Kernel()
        incarnation = identity.Incarnation.create(instance_settings.name)
        _register_foundation(built, instance_settings)
        _register_replication(built, incarnation, instance_settings)
        _register_ownership(built, incarnation, instance_settings)
        _register_fronts(built, incarnation, instance_settings)
        return cls(built, incarnation)


def _register_foundation(built: kernel.Kernel, instance_settings: settings.Settings) -> None:
    platform = instance_settings.platform
    built.register(names.CLOCK, clock.MonotonicClock())
    built.register(names.METRICS, metrics.Metrics())
    built.register(names.LOG_CLIENT, http_log_client.HttpLogClient.from_config(instance_settings))
    built.register(names.LOG_WRITER, writer.LogWriter.from_config(built, platform))
    built.register(
        names.INSTANCE_LIST, instance_list.HttpInstanceList.from_config(instance_settings)
    )
    built.register(names.BACKENDS, http_client.HttpBackendClient())
    built.register(names.HEAT, heat.HeatCounter())


def _register_replication(
    built: kernel.Kernel, incarnation: identity.Incarnation, instance_settings: settings.Settings
) -> None:
    built.register(
        names.REPLICA, log_replica.LogReplica.from_config(built, instance_settings.platform)
    )
    built.register(
        names.PEER_SERVER, server.PeerServer.from_config(built, incarnation, instance_settings)
    )
    built.register(
        names.PEERS, follower.PeerFollower.from_config(built, incarnation, instance_settings)
    )
    built.register(
        names.SNAPSHOTS,
        snapshot_writer.SnapshotWriter.from_config(built, incarnation, instance_settings),
    )


def _register_ownership(
    built: kernel.Kernel, incarnation: identity.Incarnation, instance_settings: settings.Settings
) -> None:
    built.register(names.LEASE_COUNTERS, counters.LeaseCounters.from_config(built))
    built.register(
        names.OWNERSHIP,
        proposer.OwnershipProposer.from_config(built, incarnation, instance_settings.leases),
    )
    built.register(
        names.LESSOR_PROBE,
        lessor_probe.PeerLessorProbe.from_config(built, incarnation, instance_settings),
    )
    built.register(names.PLANNED_MOVES, planned_moves.PlannedMoves.from_config(built, incarnation))
    built.register(names.REBALANCER, rebalancer.Rebalancer.from_config(built, incarnation))
    built.register(
        names.LEASES, lease_service.LeaseService.from_config(built, incarnation, instance_settings)
    )


def _register_fronts(
    built: kernel.Kernel, incarnation: identity.Incarnation, instance_settings: settings.Settings
) -> None:
    built.register(
        names.UPTAKE,
        uptake_collector.UptakeCollector.from_config(built, incarnation, instance_settings.peers),
    )
    built.register(names.PRESETS, publisher.PresetPublisher.from_config(built))
    built.register(
        names.INTENTS,
        intents_service.Intents.from_config(built, incarnation, instance_settings.intents),
    )
    built.register(names.OBSERVATIONS, observations.Observations.from_config(built))
    built.register(names.ADMISSION, admission.Admission.from_config(built, instance_settings))
    built.register(names.PROBES, probes.Probes.from_config(built))
    built.register(names.ROUTER, router.Router.from_config(built))
    built.register(
        names.ADMIN, admin_server.AdminServer.from_config(built, incarnation, instance_settings)
    )
    built.register(
        names.CALLERS, caller_frontend.WsgiFrontend.from_config(built, instance_settings)
    )
