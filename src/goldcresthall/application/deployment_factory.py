"""Construction of an instance that runs in a platform deployment."""

from __future__ import annotations

import dataclasses
import http
import threading

from goldcresthall.admin import status_server
from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.backend import exchange_metrics
from goldcresthall.callers import pipelined_frontend
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import gateway
from goldcresthall.gateway import watchers
from goldcresthall.kernel import allocator
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import task_health
from goldcresthall.load import work_metrics
from goldcresthall.load import work_model
from goldcresthall.memory import ledger
from goldcresthall.observability import decisions
from goldcresthall.observability import log_writer
from goldcresthall.observability import metrics
from goldcresthall.observability import task_metrics
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
from goldcresthall.store import store_metrics

THREAD_STACK_BYTES = 262_144
METRICS_PATH = "/metrics"


class Readiness:
    """Readiness of this instance for the load balancer."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._draining = threading.Event()

    def start_draining(self) -> None:
        """Report the instance as not ready from now on."""
        self._draining.set()

    def read(self) -> tuple[http.HTTPStatus, bytes]:
        """Return the status and body of the readiness page."""
        failing = task_health.HEALTH.failing
        if failing:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, f"failing tasks: {failing}".encode()
        server_directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        if self._draining.is_set() or server_directory.configuration is None:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b""
        return http.HTTPStatus.OK, b""


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentInstance:
    """A constructed instance of a deployment, not yet started."""

    kernel: kernel.Kernel
    incarnation: identity.Incarnation
    settings: deployment_settings.DeploymentSettings
    readiness: Readiness

    @classmethod
    def from_config(
        cls, instance_settings: deployment_settings.DeploymentSettings
    ) -> DeploymentInstance:
        """Construct an instance and register its services in startup order."""
        allocator.configure()
        threading.stack_size(THREAD_STACK_BYTES)
        service_kernel = kernel.Kernel()
        incarnation = identity.Incarnation.create(instance_settings.name)
        readiness = Readiness(service_kernel)
        _register_foundation(service_kernel, instance_settings)
        _register_backend_clients(service_kernel, instance_settings)
        _register_ownership(service_kernel, incarnation, instance_settings)
        _register_frontends(service_kernel, instance_settings, readiness)
        return cls(service_kernel, incarnation, instance_settings, readiness)


def _register_foundation(
    service_kernel: kernel.Kernel, instance_settings: deployment_settings.DeploymentSettings
) -> None:
    service_kernel.register(names.CLOCK, clock.MonotonicClock())
    metrics_service = metrics.Metrics()
    service_kernel.register(names.METRICS, metrics_service)
    metrics_service.registry.register(task_metrics.TaskFailureCollector())
    metrics_service.registry.register(log_writer.DroppedLineCollector())
    service_kernel.register(
        names.REQUEST_LOG, decisions.DecisionLog.from_config(service_kernel, instance_settings.name)
    )
    memory_ledger = ledger.MemoryLedger(instance_settings.machine.ledger_bytes)
    service_kernel.register(names.MEMORY, memory_ledger)
    metrics_service.register_gauge(
        "memory_ledger_bytes",
        "Memory that requests, responses and what waits to be written hold.",
        lambda: memory_ledger.used_bytes,
    )
    calls = store_metrics.StoreMetrics(metrics_service.registry)
    service_kernel.register(
        names.STORE, store_client.HttpStoreClient.from_config(instance_settings, calls)
    )
    server_directory = directory.Directory.from_config(service_kernel, instance_settings)
    service_kernel.register(names.DIRECTORY, server_directory)
    metrics_service.register_gauge(
        "evacuated_failure_domains",
        "Failure domains that the operator evacuates.",
        lambda: len(server_directory.evacuated.failure_domains),
    )
    cold_servers = cold_starts.ColdStarts.from_config(service_kernel, instance_settings)
    service_kernel.register(names.COLD_STARTS, cold_servers)
    metrics_service.register_gauge(
        "cold_servers",
        "Backend servers that are cold and have a limit of requests.",
        lambda: cold_servers.cold_servers,
    )
    service_kernel.register(
        names.WATCHERS,
        watchers.Watchers.from_config(
            service_kernel,
            decoder.PlatformDecoder(metrics_service.registry),
            instance_settings,
        ),
    )


def _register_backend_clients(
    service_kernel: kernel.Kernel, instance_settings: deployment_settings.DeploymentSettings
) -> None:
    registry = service_kernel.find(names.METRICS, metrics.Metrics).registry
    exchanges = exchange_metrics.ExchangeMetrics(registry)
    service_kernel.register(
        names.GRANTS, grant_client.PlatformGrantChannel(service_kernel, exchanges)
    )
    service_kernel.register(
        names.REQUEST_SENDER,
        request_client.PlatformRequestSender.from_config(
            instance_settings, exchanges, service_kernel.find(names.MEMORY, ledger.MemoryLedger)
        ),
    )


def _register_ownership(
    service_kernel: kernel.Kernel,
    incarnation: identity.Incarnation,
    instance_settings: deployment_settings.DeploymentSettings,
) -> None:
    metrics_service = service_kernel.find(names.METRICS, metrics.Metrics)
    registry = metrics_service.registry
    key_owners = owners.Owners(service_kernel)
    metrics_service.register_gauge(
        "ownership_ranges", "Ranges that have an owner.", lambda: len(key_owners.view.owners)
    )
    service_kernel.register(names.OWNERS, key_owners)
    _register_range_admissions(service_kernel, metrics_service)
    service_kernel.register(names.ESTIMATES, estimates.Estimates(service_kernel))
    model = work_model.WorkModel(service_kernel)
    registry.register(work_metrics.WorkCollector(model))
    service_kernel.register(names.WORK_MODEL, model)
    service_kernel.register(
        names.SERVER_CIRCUITS,
        server_circuits.ServerCircuits.from_config(
            service_kernel, instance_settings.failure_domain
        ),
    )
    service_kernel.register(
        names.PEERS, peer_channel.ThriftPeerDialer(peer_metrics.PeerMetrics(registry, "client"))
    )
    service_kernel.register(
        names.REPORTS, election.Election.from_config(service_kernel, incarnation, instance_settings)
    )
    service_kernel.register(
        names.PEER_SERVER,
        peer_server.ReportServer(
            service_kernel,
            instance_settings.listen.peers,
            peer_metrics.PeerMetrics(registry, "server"),
        ),
    )


def _register_range_admissions(
    service_kernel: kernel.Kernel, metrics_service: metrics.Metrics
) -> None:
    admissions = range_admissions.RangeAdmissions()
    monotonic_clock = service_kernel.find(names.CLOCK, clock.Clock)
    metrics_service.register_gauge(
        "limited_ranges",
        "Ranges to which not all requests are admitted.",
        lambda: admissions.count_limited(monotonic_clock.read_s()),
    )
    service_kernel.register(names.RANGE_ADMISSIONS, admissions)


def _register_frontends(
    service_kernel: kernel.Kernel,
    instance_settings: deployment_settings.DeploymentSettings,
    readiness: Readiness,
) -> None:
    service_kernel.register(
        names.GATEWAY, gateway.Gateway.from_config(service_kernel, instance_settings)
    )
    service_kernel.register(
        names.CALLERS,
        pipelined_frontend.PipelinedFrontend(
            service_kernel, instance_settings, caller_codec.PlatformCallerCodec()
        ),
    )
    service_kernel.register(
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
        metrics_service = service_kernel.find(names.METRICS, metrics.Metrics)
        service_kernel.register(
            names.ADMIN,
            status_server.StatusServer(
                "admin", admin, METRICS_PATH, lambda: (http.HTTPStatus.OK, metrics_service.render())
            ),
        )
