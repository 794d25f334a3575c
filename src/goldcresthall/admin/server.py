"""HTTP server for operators, on a separate port."""

from __future__ import annotations

import dataclasses
import http
import math
import urllib.parse
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

from goldcresthall.admin import messages
from goldcresthall.admin import views
from goldcresthall.callers import input_checks
from goldcresthall.core import identity
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.observability import logs
from goldcresthall.observability import metrics
from goldcresthall.peers import follower
from goldcresthall.presets import publisher
from goldcresthall.presets import uptake_collector
from goldcresthall.presets import validation
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from collections.abc import Iterable

    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
THREAD_COUNT = 4
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 8 * 1_048_576
JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
_PageHandler = Callable[[dict[str, Any]], tuple[http.HTTPStatus, object]]


class AdminServer(service.Service):
    """Serves the operators' pages over HTTP; the command line is one of its clients."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        address: identity.Address,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._server = wsgi.Server(
            (address.host, address.port), self._serve, numthreads=THREAD_COUNT
        )
        self._server.error_log = logs.log_server_error  # type: ignore[method-assign]
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._is_draining = False
        self._task = tasks.LoopTask("admin", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> AdminServer:
        """Return the server configured by an instance's settings."""
        return cls(service_kernel, incarnation, instance_settings.listen.admin)

    def start(self) -> None:
        """Listen and start serving."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._peers = self._kernel.find(names.PEERS, follower.PeerFollower)
        self._uptake = self._kernel.find(names.UPTAKE, uptake_collector.UptakeCollector)
        self._presets = self._kernel.find(names.PRESETS, publisher.PresetPublisher)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._server.prepare()
        self._task.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        self._task.stop()

    def start_draining(self) -> None:
        """Report the instance as not ready from now on."""
        self._is_draining = True

    def _run(self, _: tasks.StopSignal) -> None:
        self._server.serve()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        route = (environ["REQUEST_METHOD"], environ.get("PATH_INFO", "/"))
        if route == ("GET", "/metrics"):
            return _respond(
                start_response, http.HTTPStatus.OK, METRICS_CONTENT_TYPE, self._metrics.render()
            )
        status, document = self._handle(route, environ)
        body = documents.encode_document(document).encode()
        return _respond(start_response, status, JSON_CONTENT_TYPE, body)

    def _handle(
        self, route: tuple[str, str], environ: dict[str, Any]
    ) -> tuple[http.HTTPStatus, object]:
        pages: dict[tuple[str, str], _PageHandler] = {
            ("GET", "/healthz"): _handle_health,
            ("GET", "/readyz"): self._handle_ready,
            ("GET", "/status"): self._handle_status,
            ("GET", "/explain"): self._handle_explain,
            ("GET", "/preset"): self._handle_preset,
            ("GET", "/preset/history"): self._handle_history,
            ("GET", "/preset/uptake"): self._handle_uptake,
            ("GET", "/preset/outcome"): self._handle_outcome,
            ("POST", "/preset"): self._handle_publish,
        }
        return pages.get(route, _handle_not_found)(environ)

    @property
    def _is_ready(self) -> bool:
        return not self._find_unready_reason()

    def _find_unready_reason(self) -> str:
        condition = self._replica.condition
        if self._is_draining:
            return "leaving"
        if not condition.is_usable:
            return str(condition)
        return "" if self._replica.state.preset_in_force is not None else "no preset"

    def _handle_ready(self, _: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        if self._is_ready:
            return http.HTTPStatus.OK, messages.AdminFault("ready", ())
        fault = messages.AdminFault("ready", (self._find_unready_reason(),))
        return http.HTTPStatus.SERVICE_UNAVAILABLE, fault

    def _handle_preset(self, _: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        return _create_response(views.create_preset_view(self._replica.state))

    def _handle_history(self, _: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        return http.HTTPStatus.OK, views.create_preset_history(self._replica.state)

    def _handle_status(self, _: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        view = views.create_status_view(
            self._incarnation,
            self._replica.state,
            self._replica.condition,
            self._clock.read_s() - self._replica.freshness.read_began_at_s,
            self._peers.statuses,
            ready=self._is_ready,
        )
        return http.HTTPStatus.OK, view

    def _handle_explain(self, environ: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        service_name = _find_parameter(environ, "service")
        key = _find_parameter(environ, "key")
        return _create_response(views.create_key_view(service_name, key, self._replica.state))

    def _handle_publish(self, environ: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        try:
            body = input_checks.read_body(environ, MAX_BODY_BYTES)
            publish_request = documents.decode_document(body, messages.PublishRequest)
        except input_checks.RequestTooLargeError as error:
            fault = messages.AdminFault("decode", (str(error),))
            return http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, fault
        except input_checks.MalformedRequestError as error:
            return http.HTTPStatus.BAD_REQUEST, messages.AdminFault("decode", (str(error),))
        except exceptions.DocumentError as error:
            return http.HTTPStatus.BAD_REQUEST, _create_fault_response(error.faults)
        faults = validation.validate_preset(publish_request.preset)
        if faults:
            return http.HTTPStatus.BAD_REQUEST, _create_fault_response(faults)
        record_id = publish_request.record_id or identity.create_record_id()
        outcome = self._presets.publish(
            publish_request.preset,
            publish_request.author,
            publish_request.reason,
            publish_request.base,
            record_id,
        )
        result = views.create_publish_result(outcome)
        return http.HTTPStatus.OK, dataclasses.replace(result, record_id=record_id)

    def _handle_outcome(self, environ: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        record_id = _find_parameter(environ, "record")
        outcome = self._presets.find_outcome(record_id)
        result = views.create_publish_result(outcome)
        return http.HTTPStatus.OK, dataclasses.replace(result, record_id=record_id)

    def _handle_uptake(self, environ: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
        offset = _find_parameter(environ, "offset")
        within_ms = _find_parameter(environ, "within_ms")
        if not all(text.isdecimal() for text in (offset, within_ms) if text):
            fault = messages.AdminFault("decode", ("offset and within_ms must be numbers",))
            return http.HTTPStatus.BAD_REQUEST, fault
        report = self._uptake.collect(
            int(offset) if offset else None, int(within_ms) / MS_PER_S if within_ms else math.inf
        )
        return http.HTTPStatus.OK, views.create_uptake_view(report)


def _handle_health(_: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
    return http.HTTPStatus.OK, messages.AdminFault("health", ())


def _handle_not_found(_: dict[str, Any]) -> tuple[http.HTTPStatus, object]:
    return http.HTTPStatus.NOT_FOUND, messages.AdminFault("route", ("no such page",))


def _find_parameter(environ: dict[str, Any], name: str) -> str:
    query = urllib.parse.parse_qs(str(environ.get("QUERY_STRING", "")))
    return query.get(name, [""])[0]


def _create_fault_response(faults: tuple[exceptions.Fault, ...]) -> messages.AdminFault:
    return messages.AdminFault("decode", tuple(str(fault) for fault in faults))


def _create_response(document: object) -> tuple[http.HTTPStatus, object]:
    if isinstance(document, messages.AdminFault):
        return http.HTTPStatus.NOT_FOUND, document
    return http.HTTPStatus.OK, document


def _respond(
    start_response: Any, status: http.HTTPStatus, content_type: str, body: bytes
) -> list[bytes]:
    response_headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(f"{status.value} {status.phrase}", response_headers)
    return [body]
