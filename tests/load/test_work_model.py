"""Tests of the work model: own samples, relayed tables and their ageing."""

from __future__ import annotations

import dataclasses
import logging as standard_logging
import random
import statistics

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import work_combiner
from goldcresthall.load import work_estimates
from goldcresthall.load import work_model
from goldcresthall.load import work_table
from tests.fakes import clock
from tests.gateway import conftest

WORKS_S = {"light": 0.1, "heavy": 0.4}
RATE_PER_PAIR_S = 0.15
STEP_S = 0.5
SPREAD = 0.8
SERVERS = tuple(conftest.create_server(f"server-{number}") for number in range(12))
# The servers differ by 2.7 times; the mean over the servers is 1.
FACTORS = tuple(0.54 + 0.084 * number for number in range(12))


def create_model(manual: clock.ManualClock) -> work_model.WorkModel:
    """Return a started model."""
    built = kernel.Kernel()
    built.register(names.CLOCK, manual)
    model = work_model.WorkModel(built)
    model.start()
    return model


def answer(queued: int | None = 0, slowdown: float | None = None) -> attempts.AttemptAnswered:
    """Return a successful attempt."""
    signals = attempts.ServerSignals(load=1.0, queued=queued, slowdown=slowdown)
    return attempts.AttemptAnswered(outcomes.Answer(200, (), b""), signals)


class Site:
    """Instances that measure the same servers and share their samples through a combiner."""

    def __init__(self, instance_count: int, *, is_shared: bool) -> None:
        self.clock = clock.ManualClock()
        self.models = [create_model(self.clock) for _ in range(instance_count)]
        self.combiner = work_combiner.WorkCombiner(lambda incarnation: "agenda")
        self.tables: list[work_table.WorkTable] = []
        self._is_shared = is_shared
        self._generator = random.Random(5)

    def run(self, duration_s: float, heavy_share: float = 0.5) -> None:
        """Let all instances measure and report; odd servers get `heavy_share` of heavy work."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            for model in self.models:
                self._measure(model, heavy_share)
                samples = model.take_server_samples(), model.take_route_samples()
                self.combiner.add(*samples, self.clock.read_s())
            table = self.combiner.update_table(self.clock.read_s())
            if self._is_shared:
                self._relay(table)

    def _relay(self, table: work_table.WorkTable) -> None:
        is_new = table not in self.tables
        self.tables += [table] if is_new else []
        for model in self.models:
            if is_new:
                model.apply_table(table)
            else:
                model.confirm_table()

    def find_errors(self) -> list[float]:
        """Return the relative errors of the expected work over all instances and servers."""
        return [
            abs(model.expect_s(route, server) / (work_s * factor) - 1.0)
            for model in self.models
            for server, factor in zip(SERVERS, FACTORS, strict=True)
            for route, work_s in WORKS_S.items()
        ]

    def _measure(self, model: work_model.WorkModel, heavy_share: float) -> None:
        for number, (server, factor) in enumerate(zip(SERVERS, FACTORS, strict=True)):
            if self._generator.random() < RATE_PER_PAIR_S * STEP_S:
                share = heavy_share if number % 2 else 1.0 - heavy_share
                route = "heavy" if self._generator.random() < share else "light"
                spread = self._generator.gammavariate(SPREAD**-2, SPREAD**2)
                model.record(route, server, answer(), WORKS_S[route] * factor * spread + 1e-6)


def test_rare_samples_converge_when_shared_and_not_when_alone() -> None:
    """Each instance knew only its own few samples, so that slow servers looked like others."""
    shared, alone = Site(40, is_shared=True), Site(40, is_shared=False)
    shared.run(40.0)
    alone.run(40.0)
    assert statistics.mean(shared.find_errors()) < 0.1
    assert statistics.mean(alone.find_errors()) > 0.2


def test_slow_server_is_told_apart_from_a_server_of_heavy_work() -> None:
    site = Site(40, is_shared=True)
    site.run(60.0, heavy_share=0.85)
    assert statistics.mean(site.find_errors()) < 0.12
    factors = {row.server: row.factor for row in site.tables[-1].servers}
    odd = statistics.mean(factors[server.incarnation] for server in SERVERS[1::2])
    even = statistics.mean(factors[server.incarnation] for server in SERVERS[::2])
    assert odd / even == pytest.approx(1.0 + 0.084 / 0.96, abs=0.12)


def test_instance_that_just_started_uses_the_relayed_table_at_once() -> None:
    model = create_model(clock.ManualClock())
    slow = work_table.ServerSlowness(SERVERS[0].incarnation, 2.0)
    model.apply_table(work_table.WorkTable(3, (slow,), (work_table.RouteWork("heavy", 0.4),)))
    assert model.expect_s("heavy", SERVERS[0]) == pytest.approx(0.8)
    assert model.expect_s("heavy", SERVERS[1]) == pytest.approx(0.4)
    assert model.expect_work_s("heavy") == pytest.approx(0.4)


def test_table_that_no_lessor_confirms_fades_to_what_the_instance_sees() -> None:
    """A table of servers as they were minutes ago would send requests to the wrong ones."""
    manual = clock.ManualClock()
    model = create_model(manual)
    slow = work_table.ServerSlowness(SERVERS[0].incarnation, 3.0)
    model.apply_table(work_table.WorkTable(3, (slow,), ()))
    expected = []
    for _ in range(5):
        expected.append(model.expect_s("heavy", SERVERS[0]))
        manual.advance(10.0)
    assert expected == pytest.approx([0.6, 0.6, 0.2 * (1 + 4 / 3), 0.2 * (1 + 2 / 3), 0.2])
    assert model.table == work_table.WorkTable()


def test_confirmed_table_does_not_fade() -> None:
    manual = clock.ManualClock()
    model = create_model(manual)
    model.apply_table(
        work_table.WorkTable(3, (work_table.ServerSlowness(SERVERS[0].incarnation, 3.0),), ())
    )
    for _ in range(60):
        manual.advance(1.0)
        model.confirm_table()
    assert model.expect_s("heavy", SERVERS[0]) == pytest.approx(0.6)


def test_without_samples_the_default_or_the_average_of_the_service_is_expected() -> None:
    model = create_model(clock.ManualClock())
    assert model.expect_s("heavy", SERVERS[0]) == work_estimates.DEFAULT_WORK_S
    assert model.expect_work_s("heavy") == work_estimates.DEFAULT_WORK_S
    for _ in range(3):
        model.record("light", SERVERS[1], answer(), 0.1)
    assert model.expect_s("heavy", SERVERS[0]) == pytest.approx(0.1)
    ledger = conftest.create_server("other", "ledger")
    assert model.expect_s("light-too", ledger) == work_estimates.DEFAULT_WORK_S


def test_reported_slowdown_counts_while_it_is_fresh() -> None:
    manual = clock.ManualClock()
    model = create_model(manual)
    for _ in range(200):
        model.record("light", SERVERS[0], answer(slowdown=1.0), 0.1)
    model.record("light", SERVERS[0], answer(slowdown=3.0), 0.3)
    assert model.expect_s("light", SERVERS[0]) == pytest.approx(0.3, rel=0.05)
    manual.advance(work_model.SLOWDOWN_FADE_S)
    assert model.expect_s("light", SERVERS[0]) == pytest.approx(0.1, rel=0.05)


def test_server_samples_wait_until_the_routes_work_is_known() -> None:
    """Before, a server's slowness can't be told from the work of the route it served."""
    model = create_model(clock.ManualClock())
    for _ in range(3):
        model.record("heavy", SERVERS[0], answer(), 0.4)
    assert model.take_server_samples() == ()
    (routes,) = model.take_route_samples()
    assert (routes.route, routes.count) == ("heavy", 3)
    assert routes.total_s == pytest.approx(1.2)


def test_server_samples_are_in_seconds_of_the_services_average_request() -> None:
    model = create_model(clock.ManualClock())
    table = work_table.WorkTable(
        1, (), tuple(work_table.RouteWork(route, work_s) for route, work_s in WORKS_S.items())
    )
    model.apply_table(table)
    for _ in range(300):
        model.record("light", SERVERS[0], answer(), 0.1)
        model.record("heavy", SERVERS[1], answer(), 0.4)
    model.take_server_samples()
    for _ in range(100):
        model.record("light", SERVERS[0], answer(), 0.1)
        model.record("heavy", SERVERS[1], answer(), 0.4)
    means_s = [sample.total_s / sample.count for sample in model.take_server_samples()]
    assert means_s == pytest.approx([0.25, 0.25], rel=0.05)


def test_work_of_a_server_that_warms_up_is_not_measured() -> None:
    """A server would be avoided as slow for minutes after it was warm."""
    manual = clock.ManualClock()
    model = create_model(manual)
    model.apply_table(work_table.WorkTable(1, (), (work_table.RouteWork("light", 0.1),)))
    cold = dataclasses.replace(SERVERS[0], slow_start_remaining_s=8.0)
    for _ in range(20):
        model.record("light", cold, answer(), 0.5)
        manual.advance(0.39)
    assert model.take_server_samples() == ()
    assert model.expect_s("light", cold) == pytest.approx(0.1)
    manual.advance(0.21)
    model.record("light", cold, answer(), 0.1)
    assert len(model.take_server_samples()) == 1
    cold_again = dataclasses.replace(cold, slow_start_remaining_s=9.0)
    model.record("light", cold_again, answer(), 0.5)
    assert model.take_server_samples() == ()


def test_memory_is_bounded_by_the_registered_servers_and_the_known_routes() -> None:
    model = create_model(clock.ManualClock())
    for number in range(work_table.MAX_ROUTES + 50):
        for server in SERVERS:
            model.record(f"route-{number}", server, answer(slowdown=1.0), 0.1)
    model.retain(frozenset({SERVERS[0].incarnation}))
    assert len(model.route_works_s) == work_table.MAX_ROUTES
    assert set(model._slowdowns) == {SERVERS[0].incarnation}
    assert len(model.take_server_samples()) <= 1


def test_large_change_of_a_servers_factor_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(standard_logging.INFO, logger="absl")
    model = create_model(clock.ManualClock())
    for revision, factor in enumerate((1.4, 1.6, 1.7, 1.0)):
        row = work_table.ServerSlowness(SERVERS[0].incarnation, factor)
        model.apply_table(work_table.WorkTable(revision, (row,), ()))
    lines = [record.getMessage() for record in caplog.records if "work at server" in record.msg]
    assert [line.partition(" takes ")[2] for line in lines] == [
        "1.60 times its service's average, before 1.00",
        "1.00 times its service's average, before 1.60",
    ]
