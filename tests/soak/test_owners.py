"""Tests of the check of owners on grants made by hand, on both sides of each rule."""

from __future__ import annotations

import time

import pytest
from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import web

from tests.soak import invariants
from tests.soak import owners

HOLD_S = 3.0
KEY = 7


class Clock:
    """A clock that tests move by hand."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def read_s(self) -> float:
        """Return the reading, in seconds."""
        return self.now_s


class Cluster:
    """Two servers whose grants are checked; requests enter without a network."""

    def __init__(self) -> None:
        store = deployment_store.StoreStandIn()
        self.checker = invariants.InvariantChecker()
        self.first, self.second = (
            deployment_server.DeploymentServer(
                store, name, "ledger", keyed=True, on_grant=self.checker.record_grant
            )
            for name in ("first", "second")
        )
        for server in (self.first, self.second):
            self.checker.add_server(server)

    @property
    def broken(self) -> list[str]:
        """Names of the violated invariants."""
        return [violation.invariant for violation in self.checker.violations]

    def grant(
        self, server: deployment_server.DeploymentServer, keys: tuple[int, int], fence: int
    ) -> None:
        """Send a grant that the server accepts."""
        assert self.command(server, "grant", keys, fence) == invariants.STATUS_OK

    def release(self, server: deployment_server.DeploymentServer, keys: tuple[int, int]) -> None:
        """Send a release."""
        assert self.command(server, "release", keys, 0) == invariants.STATUS_OK

    def command(
        self,
        server: deployment_server.DeploymentServer,
        name: str,
        keys: tuple[int, int],
        fence: int,
    ) -> int:
        """Send a command; return the status."""
        body = f'{{"from": {keys[0]}, "target": {keys[1]}, "fence": {fence}, "hold_s": {HOLD_S}}}'
        request = web.Request("POST", f"/api/{name}", {}, {}, body.encode(), connection=self)
        return server.handle_request(request).status


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock that the servers and the checker read."""
    moved_by_hand = Clock()
    monkeypatch.setattr(time, "monotonic", moved_by_hand.read_s)
    return moved_by_hand


@pytest.fixture
def cluster(clock: Clock) -> Cluster:
    """Return the servers."""
    return Cluster()


def test_range_given_on_after_its_release_is_allowed(cluster: Cluster) -> None:
    cluster.grant(cluster.first, (0, 9), 1)
    cluster.release(cluster.first, (0, 9))
    cluster.grant(cluster.second, (0, 9), 2)
    assert cluster.broken == []


@pytest.mark.parametrize(("after_s", "broken"), [(2.9, [owners.ONE_OWNER]), (3.1, [])])
def test_range_given_on_before_its_lease_has_run_out_has_two_holders(
    cluster: Cluster, clock: Clock, after_s: float, broken: list[str]
) -> None:
    cluster.grant(cluster.first, (0, 9), 1)
    clock.now_s += after_s
    cluster.grant(cluster.second, (9, 20), 2)
    assert cluster.broken == broken


@pytest.mark.parametrize(
    ("after_s", "broken"),
    [(0.2, []), (0.4, [owners.ONE_OWNER, owners.RISING_TOKENS])],
)
def test_grant_just_after_a_link_has_healed_is_excused(
    cluster: Cluster, clock: Clock, after_s: float, broken: list[str]
) -> None:
    cluster.grant(cluster.second, (0, 9), 2)
    cluster.checker.allow_late_grants()
    clock.now_s += after_s
    cluster.grant(cluster.first, (0, 9), 1)
    assert cluster.broken == broken


@pytest.mark.parametrize(
    ("keys", "fence", "broken"),
    [
        ((9, 20), 6, []),
        ((10, 20), 4, []),
        ((9, 20), 5, [owners.RISING_TOKENS]),
        ((9, 20), 4, [owners.RISING_TOKENS]),
    ],
)
def test_key_moves_only_with_a_higher_token(
    cluster: Cluster, clock: Clock, keys: tuple[int, int], fence: int, broken: list[str]
) -> None:
    cluster.grant(cluster.first, (0, 9), 5)
    clock.now_s += HOLD_S + 0.1
    cluster.grant(cluster.second, keys, fence)
    assert cluster.broken == broken


@pytest.mark.parametrize(("keys", "broken"), [((0, 9), []), ((0, 10), [owners.RISING_TOKENS])])
def test_repeated_grant_may_have_a_lower_token(
    cluster: Cluster, clock: Clock, keys: tuple[int, int], broken: list[str]
) -> None:
    cluster.grant(cluster.first, (0, 9), 5)
    clock.now_s += HOLD_S + 0.1
    cluster.grant(cluster.second, (0, 20), 6)
    clock.now_s += HOLD_S + 0.1
    cluster.grant(cluster.first, keys, 5)
    assert cluster.broken == broken


@pytest.mark.parametrize(
    ("keys", "after_s", "broken"),
    [
        ((0, 9), 1.0, [owners.NO_WORK_ELSEWHERE]),
        ((KEY + 1, 9), 1.0, []),
        ((0, 9), HOLD_S + 0.1, []),
    ],
)
def test_key_is_not_given_on_under_running_work(
    cluster: Cluster, clock: Clock, keys: tuple[int, int], after_s: float, broken: list[str]
) -> None:
    cluster.grant(cluster.first, (0, 9), 1)
    with cluster.first.work_on(KEY):
        cluster.first.stop_new_work(range(10))
        clock.now_s += after_s
        cluster.grant(cluster.second, keys, 2)
    assert cluster.broken == broken


def test_grant_executed_late_does_not_count_for_running_work(
    cluster: Cluster, clock: Clock
) -> None:
    cluster.grant(cluster.first, (0, 9), 1)
    with cluster.first.work_on(KEY):
        cluster.first.stop_new_work(range(10))
        late = deployment_server.AcceptedGrant(cluster.second, range(10), 2, is_late=True)
        cluster.checker.record_grant(late)
    assert cluster.broken == []


def test_grant_of_a_removed_server_is_not_judged(cluster: Cluster) -> None:
    cluster.grant(cluster.first, (0, 9), 1)
    cluster.checker.remove_server(cluster.second)
    cluster.grant(cluster.second, (0, 9), 1)
    assert cluster.broken == []
