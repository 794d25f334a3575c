"""Tests of the service registry and of the startup and shutdown order."""

from __future__ import annotations

import pytest

from goldcresthall.kernel import clock
from goldcresthall.kernel import exceptions
from goldcresthall.kernel import kernel
from goldcresthall.kernel import service


class RecordingService(service.Service):
    def __init__(self, name: str, calls: list[str], *, fails: bool = False) -> None:
        self._name = name
        self._calls = calls
        self._fails = fails

    def start(self) -> None:
        self._calls.append(f"start {self._name}")
        if self._fails:
            raise RuntimeError(self._name)

    def stop(self) -> None:
        self._calls.append(f"stop {self._name}")


def test_services_stop_in_reverse_order() -> None:
    calls: list[str] = []
    service_kernel = kernel.Kernel()
    service_kernel.register("first", RecordingService("first", calls))
    service_kernel.register("second", RecordingService("second", calls))
    service_kernel.start()
    service_kernel.stop()
    assert calls == ["start first", "start second", "stop second", "stop first"]


def test_failed_start_stops_the_services_already_started() -> None:
    calls: list[str] = []
    service_kernel = kernel.Kernel()
    service_kernel.register("first", RecordingService("first", calls))
    service_kernel.register("second", RecordingService("second", calls, fails=True))
    with pytest.raises(RuntimeError):
        service_kernel.start()
    assert calls == ["start first", "start second", "stop first"]


def test_registry_rejects_unknown_name_wrong_interface_and_duplicate() -> None:
    service_kernel = kernel.Kernel()
    service_kernel.register("clock", clock.MonotonicClock())
    assert isinstance(service_kernel.find("clock", clock.Clock), clock.MonotonicClock)
    with pytest.raises(exceptions.ServiceNotFoundError):
        service_kernel.find("other", clock.Clock)
    with pytest.raises(exceptions.ServiceTypeError):
        service_kernel.find("clock", RecordingService)
    with pytest.raises(exceptions.DuplicateServiceError):
        service_kernel.register("clock", clock.MonotonicClock())
