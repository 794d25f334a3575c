"""Tests of the warm-up of servers as lists tell it: its end, and servers that turn cold again."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from goldcresthall.gateway import server_lists
from goldcresthall.gateway import warm_ups
from tests.gateway import conftest
from tests.gateway import test_cold_starts

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from tests.gateway.conftest import GatewayFixture


@pytest.fixture
def limited(gateway_fixture: GatewayFixture) -> GatewayFixture:
    """Return services whose cold servers have a limit."""
    configuration = test_cold_starts.create_configuration(test_cold_starts.RATE_PER_S)
    gateway_fixture.directory.configurations.apply(configuration)
    return gateway_fixture


def report(gateway_fixture: GatewayFixture, remaining_s: float) -> deployment.RegisteredServer:
    """Refresh the entry of a server, and return the server as the list has it."""
    server = dataclasses.replace(conftest.create_server("one"), slow_start_remaining_s=remaining_s)
    gateway_fixture.directory.apply_full_list((server,))
    return gateway_fixture.directory.servers.by_name["one"].server


def find_cold_s(gateway_fixture: GatewayFixture) -> float:
    server = gateway_fixture.directory.servers.by_name["one"].server
    return gateway_fixture.cold_starts.find_cold_s(server)


def test_server_is_cold_for_the_time_that_it_reported_first(limited: GatewayFixture) -> None:
    report(limited, 10.0)
    limited.clock.advance(4.0)
    report(limited, 6.3)
    assert find_cold_s(limited) == pytest.approx(6.0 + warm_ups.AGE_TOLERANCE_S)
    limited.clock.advance(7.1)
    assert find_cold_s(limited) == 0.0


def test_refreshed_entries_do_not_change_the_relayed_list(limited: GatewayFixture) -> None:
    """Each refresh of each cold server would otherwise be a change for all instances."""
    report(limited, 10.0)
    revision = limited.directory.relay().revision
    for remaining_s in (9.2, 8.4, 7.3):
        limited.clock.advance(0.9)
        report(limited, remaining_s)
    assert limited.directory.relay().revision == revision


def test_server_that_turned_cold_again_is_noticed_and_relayed(limited: GatewayFixture) -> None:
    """A warm server turned cold under the same incarnation and got full traffic."""
    report(limited, 0.0)
    assert find_cold_s(limited) == 0.0
    revision = limited.directory.relay().revision
    report(limited, 12.0)
    assert find_cold_s(limited) == pytest.approx(12.0 + warm_ups.AGE_TOLERANCE_S)
    assert limited.directory.relay().revision > revision


def test_second_warm_up_of_the_same_length_is_relayed_as_another_value(
    limited: GatewayFixture,
) -> None:
    """Followers compare values; an equal one would be no change to them."""
    first = report(limited, 12.0)
    limited.clock.advance(6.0)
    report(limited, 6.0)
    assert report(limited, 12.0).slow_start_remaining_s > first.slow_start_remaining_s
    assert find_cold_s(limited) == pytest.approx(13.0, abs=0.01)


def test_unchanged_entry_that_is_merged_again_does_not_prolong_the_warm_up(
    limited: GatewayFixture,
) -> None:
    """A relayed list holds the first value of each server, and is merged on each change."""
    cold = dataclasses.replace(conftest.create_server("one"), slow_start_remaining_s=12.0)
    version = server_lists.ListVersion(1, limited.clock.read_s())
    limited.directory.apply_relayed((cold,), version)
    limited.clock.advance(8.0)
    limited.directory.apply_relayed((cold, conftest.create_server("two")), version)
    assert find_cold_s(limited) == pytest.approx(4.0 + warm_ups.AGE_TOLERANCE_S)


def test_late_report_of_a_warm_server_does_not_end_a_later_warm_up(
    limited: GatewayFixture,
) -> None:
    """Reports may be carried out seconds late, and out of order."""
    report(limited, 12.0)
    limited.clock.advance(1.0)
    report(limited, 0.0)
    assert find_cold_s(limited) == pytest.approx(11.0 + warm_ups.AGE_TOLERANCE_S)


def test_server_is_relayed_as_warm_after_its_warm_up(limited: GatewayFixture) -> None:
    """An instance that joins later would otherwise count the whole warm-up from its own start."""
    report(limited, 5.0)
    limited.clock.advance(5.0 + 2 * warm_ups.AGE_TOLERANCE_S)
    assert report(limited, 0.0).slow_start_remaining_s == 0.0


def test_warm_up_ends_also_if_the_first_report_of_it_comes_early(
    limited: GatewayFixture,
) -> None:
    """The first 0 came within the tolerance, later ones were no change: it stayed cold for good."""
    report(limited, 5.0)
    limited.clock.advance(5.5)
    assert report(limited, 0.0).slow_start_remaining_s == 5.0
    limited.clock.advance(0.9)
    assert report(limited, 0.0).slow_start_remaining_s == 0.0
    revision = limited.directory.relay().revision
    limited.clock.advance(0.9)
    assert report(limited, 0.0).slow_start_remaining_s == 0.0
    assert limited.directory.relay().revision == revision


def test_without_a_limit_the_first_report_stands(gateway_fixture: GatewayFixture) -> None:
    """Lists of services without a limit are relayed as in earlier releases."""
    report(gateway_fixture, 5.0)
    gateway_fixture.clock.advance(9.0)
    assert report(gateway_fixture, 0.0).slow_start_remaining_s == 5.0
    assert report(gateway_fixture, 12.0).slow_start_remaining_s == 5.0
    assert find_cold_s(gateway_fixture) == 0.0
