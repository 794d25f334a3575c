"""Reading of the settings file that the platform provides."""

from __future__ import annotations

import pathlib
import tomllib
from typing import TYPE_CHECKING
from typing import Any

from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.platform import exceptions
from goldcresthall.platform import fields

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_HEARTBEAT_S = 1.0


def read_settings(path: str) -> deployment_settings.DeploymentSettings:
    """Read and validate the settings file; unknown fields are ignored.

    Raises
    ------
    InvalidSettingsError
        If the file cannot be read or has errors; the message lists all of them.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise exceptions.InvalidSettingsError(f"{path}: {error}") from error
    reader = _ErrorCollector(path)
    decoded = _decode(document, reader)
    reader.check()
    return decoded


class _ErrorCollector:
    """Reads fields and collects the errors, so that all are reported at once."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._errors: list[str] = []

    def read(self, section: str, read: Callable[[], Any], fallback: Any) -> Any:
        """Return the result of `read`, or the fallback after recording an error."""
        try:
            return read()
        except exceptions.MalformedEntryError as error:
            self._errors.append(f"{section}{error}")
            return fallback

    def check(self) -> None:
        """Raise an exception that lists the recorded errors, if any."""
        if self._errors:
            raise exceptions.InvalidSettingsError(
                "\n".join((f"{self._path}: {len(self._errors)} fault(s)", *self._errors))
            )


NO_ADDRESS = identity.Address("", 0)


def _decode(
    document: dict[str, Any], reader: _ErrorCollector
) -> deployment_settings.DeploymentSettings:
    bounds = reader.read("", lambda: _read_bounds(document), {})
    platform = reader.read("", lambda: fields.read_object(document, "platform"), {})
    limits = reader.read("", lambda: fields.read_object(document, "limits"), {})
    defaults = deployment_settings.RetryLimits()
    cold_defaults = deployment_settings.ColdServerLimits()

    def bound(name: str, default: float) -> float:
        return float(
            reader.read("bounds.", lambda: fields.read_number(bounds, name, default), default)
        )

    return deployment_settings.DeploymentSettings(
        name=reader.read("", lambda: fields.read_text(document, "node_name"), ""),
        failure_domain=reader.read("", lambda: fields.read_text(document, "zone"), ""),
        listen=_decode_listen(document, reader),
        store=reader.read(
            "platform.", lambda: fields.read_address(platform, "address"), NO_ADDRESS
        ),
        heartbeat_s=reader.read(
            "",
            lambda: fields.read_number(document, "heartbeat_s", DEFAULT_HEARTBEAT_S),
            DEFAULT_HEARTBEAT_S,
        ),
        max_lease_s=bound("max_hold_s", 10.0),
        drain_s=bound("drain_s", 2.0),
        grace_s=bound("grace_s", 6.0),
        retries=deployment_settings.RetryLimits(
            ratio=bound("retry_budget_ratio", defaults.ratio),
            window_s=bound("budget_window_s", defaults.window_s),
            slack=bound("budget_slack", defaults.slack),
        ),
        machine=_decode_machine(limits, reader),
        cold_servers=deployment_settings.ColdServerLimits(
            overshoot=bound("cold_overshoot", cold_defaults.overshoot),
            slack=bound("cold_slack", cold_defaults.slack),
        ),
        evacuation_s=bound("evac_s", deployment_settings.DEFAULT_EVACUATION_S),
        may_evacuate="evac_s" in bounds,
        max_record_bytes=reader.read(
            "platform.",
            lambda: fields.read_count(
                platform, "max_record_bytes", deployment_settings.DEFAULT_MAX_RECORD_BYTES
            ),
            deployment_settings.DEFAULT_MAX_RECORD_BYTES,
        ),
        is_first_start=document.get("bootstrap") is True,
    )


def _decode_machine(
    limits: dict[str, Any], reader: _ErrorCollector
) -> deployment_settings.MachineLimits:
    defaults = deployment_settings.MachineLimits()

    def limit(name: str, default: float) -> float:
        return float(
            reader.read("limits.", lambda: fields.read_number(limits, name, default), default)
        )

    return deployment_settings.MachineLimits(
        # `cpu_share` is the usable fraction of each core, not of the machine.
        cores=limit("cores", 1.0) * limit("cpu_share", defaults.cores),
        link_mbps=limit("link_mbps", defaults.link_mbps),
        memory_mb=reader.read(
            "limits.",
            lambda: fields.read_count(limits, "memory_mb", defaults.memory_mb),
            defaults.memory_mb,
        ),
        max_fds=reader.read(
            "limits.",
            lambda: fields.read_count(limits, "max_fds", defaults.max_fds),
            defaults.max_fds,
        ),
    )


def _decode_listen(
    document: dict[str, Any], reader: _ErrorCollector
) -> deployment_settings.DeploymentListen:
    listen = reader.read("", lambda: fields.read_object(document, "listen"), {})
    admin = None
    if "admin" in listen:
        admin = reader.read("listen.", lambda: fields.read_address(listen, "admin"), None)
    return deployment_settings.DeploymentListen(
        # Callers connect to `http`; only the load balancer queries `readiness`.
        callers=reader.read("listen.", lambda: fields.read_address(listen, "http"), NO_ADDRESS),
        readiness=reader.read(
            "listen.", lambda: fields.read_address(listen, "readiness"), NO_ADDRESS
        ),
        peers=reader.read("", lambda: _read_peer_address(document), NO_ADDRESS),
        admin=admin,
    )


def _read_peer_address(document: dict[str, Any]) -> identity.Address:
    ports = document.get("port_range")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise exceptions.MalformedEntryError("port_range: must be a list of two ports")
    return identity.Address(fields.read_text(document, "ip"), ports[0])


def _read_bounds(document: dict[str, Any]) -> dict[str, Any]:
    bounds: dict[str, Any] = {}
    assignments = document.get("bounds", [])
    if not isinstance(assignments, list):
        raise exceptions.MalformedEntryError("bounds: must be a list")
    for assignment in assignments:
        name, _, value = str(assignment).partition("=")
        bounds[name] = _parse_bound(value)
    return bounds


def _parse_bound(value: str) -> Any:
    try:
        return float(value)
    except ValueError:
        # Some bounds are booleans.
        return value
