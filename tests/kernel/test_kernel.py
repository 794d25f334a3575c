"""Tests of the kernel's registry and order."""

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
    built = kernel.Kernel()
    built.register("first", RecordingService("first", calls))
    built.register("second", RecordingService("second", calls))
    built.start()
    built.stop()
    assert calls == ["start first", "start second", "stop second", "stop first"]


def test_failed_start_stops_what_was_started() -> None:
    calls: list[str] = []
    built = kernel.Kernel()
    built.register("first", RecordingService("first", calls))
    built.register("second", RecordingService("second", calls, fails=True))
    with pytest.raises(RuntimeError):
        built.start()
    assert calls == ["start first", "start second", "stop first"]


def test_find_checks_name_and_interface() -> None:
    built = kernel.Kernel()
    built.register("clock", clock.MonotonicClock())
    assert isinstance(built.find("clock", clock.Clock), clock.MonotonicClock)
    with pytest.raises(exceptions.ServiceNotFoundError):
        built.find("other", clock.Clock)
    with pytest.raises(exceptions.ServiceTypeError):
        built.find("clock", RecordingService)
    with pytest.raises(exceptions.DuplicateServiceError):
        built.register("clock", clock.MonotonicClock())
