"""Builds an instance that runs in a deployment of the platform."""

from __future__ import annotations

import dataclasses
import http
import threading

from goldcresthall.admin import status_server
from goldcresthall.callers import pipelined_frontend
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import gateway
from goldcresthall.gateway import watchers
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import decisions
from goldcresthall.observability import metrics
from goldcresthall.peers import peer_metrics
from goldcresthall.platform import caller_codec
from goldcresthall.platform import decoder
from goldcresthall.platform import grant_client
from goldcresthall.platform import names as platform_names
from goldcresthall.platform import request_client
from goldcresthall.platform import store_client
from goldcresthall.ranges import election
from goldcresthall.ranges import owners
from goldcresthall.ranges import peer_channel
from goldcresthall.ranges import peer_server

STACK_BYTES = 262_144
METRICS_PATH = "/metrics"


class Readiness:
    """Whether the balancer may send callers to this instance."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._leaving = threading.Event()

    def start_draining(self) -> None:
        """Report the instance as not ready from now on."""
        self._leaving.set()

    def read(self) -> tuple[http.HTTPStatus, bytes]:
        """Return the status that the balancer is told."""
        known = self._kernel.find(names.DIRECTORY, directory.Directory)
        if self._leaving.is_set() or known.configuration is None:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b""
        return http.HTTPStatus.OK, b""


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentInstance:
    """An instance in a deployment that is built but not started."""

    kernel: kernel.Kernel
    incarnation: identity.Incarnation
    settings: deployment_settings.DeploymentSettings
    readiness: Readiness

    @classmethod
    def from_config(
        cls, instance_settings: deployment_settings.DeploymentSettings
    ) -> DeploymentInstance:
        """Build an instance; services are registered in the order of their start."""
        threading.stack_size(STACK_BYTES)
        built = kernel.Kernel()
        incarnation = identity.Incarnation.create(instance_settings.name)
        readiness = Readiness(built)
        _register_foundation(built, instance_settings)
        _register_ownership(built, incarnation, instance_settings)
        _register_fronts(built, instance_settings, readiness)
        return cls(built, incarnation, instance_settings, readiness)


def _register_foundation(
    built: kernel.Kernel, instance_settings: deployment_settings.DeploymentSettings
) -> None:
    built.register(names.CLOCK, clock.MonotonicClock())
    built.register(names.METRICS, metrics.Metrics())
    built.register(
        names.REQUEST_LOG, decisions.DecisionLog.from_config(built, instance_settings.name)
    )
    built.register(names.STORE, store_client.HttpStoreClient.from_config(instance_settings))
    built.register(names.DIRECTORY, directory.Directory(built))
    built.register(names.WATCHERS, watchers.Watchers(built, decoder.PlatformDecoder()))


def _register_ownership(
    built: kernel.Kernel,
    incarnation: identity.Incarnation,
    instance_settings: deployment_settings.DeploymentSettings,
) -> None:
    registry = built.find(names.METRICS, metrics.Metrics).registry
    built.register(names.OWNERS, owners.Owners(built))
    built.register(names.ESTIMATES, estimates.Estimates(built))
    built.register(names.GRANTS, grant_client.PlatformGrantChannel())
    built.register(
        names.PEERS, peer_channel.ThriftPeerDialer(peer_metrics.PeerMetrics(registry, "client"))
    )
    built.register(
        names.REPORTS, election.Election.from_config(built, incarnation, instance_settings)
    )
    built.register(
        names.PEER_SERVER,
        peer_server.ReportServer(
            built, instance_settings.listen.peers, peer_metrics.PeerMetrics(registry, "server")
        ),
    )


def _register_fronts(
    built: kernel.Kernel,
    instance_settings: deployment_settings.DeploymentSettings,
    readiness: Readiness,
) -> None:
    built.register(names.REQUEST_SENDER, request_client.PlatformRequestSender())
    built.register(names.GATEWAY, gateway.Gateway.from_config(built, instance_settings))
    built.register(
        names.CALLERS,
        pipelined_frontend.PipelinedFrontend(
            built, instance_settings, caller_codec.PlatformCallerCodec()
        ),
    )
    built.register(
        names.READINESS,
        status_server.StatusServer(
            "readiness",
            instance_settings.listen.readiness,
            platform_names.READY_PATH,
            readiness.read,
        ),
    )
    admin = instance_settings.listen.admin
    if admin is not None:
        measured = built.find(names.METRICS, metrics.Metrics)
        built.register(
            names.ADMIN,
            status_server.StatusServer(
                "admin", admin, METRICS_PATH, lambda: (http.HTTPStatus.OK, measured.render())
            ),
        )
