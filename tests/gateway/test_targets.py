"""Tests of where the next try goes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.gateway import targets
from goldcresthall.ranges import owners
from tests.gateway import conftest

if TYPE_CHECKING:
    from tests.gateway.conftest import Surroundings

GENERATOR = random.Random(1)
POOL = targets.PoolTarget("agenda")
KEY = targets.KeyTarget("ledger", 7)


def find(
    surroundings: Surroundings, target: targets.Target, tried: frozenset[str] = frozenset()
) -> str:
    """Return the name of the server found, or the reason why there is none."""
    found = surroundings.finder.find(target, tried, GENERATOR)
    if isinstance(found, targets.NotNow):
        return found.refused.reason.value
    return found.name


def give_keys(surroundings: Surroundings, owner: str, *, ready: bool = True) -> None:
    """Give all keys of the ledger to a server."""
    owned = key_ranges.RangeOwner(
        "ledger",
        key_ranges.KeyRange(0, key_ranges.LAST_KEY),
        deployment.ServerIncarnation(owner, 1),
        ready,
    )
    revision = surroundings.owners.view.revision + 1
    surroundings.owners.apply(owners.OwnersView(1, revision, (owned,)))


def answer(load: float) -> attempts.AttemptAnswered:
    """Return a good answer with the load that the server tells."""
    return attempts.AttemptAnswered(
        outcomes.Answer(200, (), b""), attempts.ServerSignals(load=load)
    )


def test_draining_and_tried_servers_get_nothing(surroundings: Surroundings) -> None:
    surroundings.directory.adopt_all(
        (
            conftest.create_server("draining", draining=True),
            conftest.create_server("tried"),
            conftest.create_server("left"),
        )
    )
    assert {find(surroundings, POOL, frozenset({"tried"})) for _ in range(20)} == {"left"}
    assert find(surroundings, POOL, frozenset({"tried", "left"})) == "no_server_available"


def test_a_server_gets_no_more_than_this_instances_part(surroundings: Surroundings) -> None:
    server = conftest.create_server("one")
    surroundings.directory.adopt_all((server,))
    for _ in range(5):
        assert find(surroundings, POOL) == "one"
        surroundings.estimates.begin(server)
    assert find(surroundings, POOL) == "queue_full"
    surroundings.estimates.finish(server, answer(1.0), 0.1)
    assert find(surroundings, POOL) == "one"


def test_a_server_that_tells_of_a_full_queue_gets_nothing_for_a_while(
    surroundings: Surroundings,
) -> None:
    server = conftest.create_server("one")
    surroundings.directory.adopt_all((server,))
    surroundings.estimates.begin(server)
    surroundings.estimates.finish(server, answer(19.0), 0.1)
    assert find(surroundings, POOL) == "queue_full"
    surroundings.clock.advance(1.5)
    assert find(surroundings, POOL) == "one"


@pytest.mark.parametrize(
    "crowded",
    [
        attempts.AttemptNotRun(
            outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "status 503"
        ),
        attempts.AttemptUnknown(
            outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "reset by peer"
        ),
    ],
)
def test_a_server_that_shed_or_reset_gets_nothing_for_a_while(
    surroundings: Surroundings, crowded: attempts.Attempt
) -> None:
    server = conftest.create_server("owner", "ledger")
    surroundings.directory.adopt_all((server,))
    give_keys(surroundings, "owner")
    surroundings.estimates.begin(server)
    surroundings.estimates.finish(server, crowded, 0.01)
    assert find(surroundings, KEY) == "queue_full"
    surroundings.clock.advance(0.8)
    assert find(surroundings, KEY) == "owner"


def test_a_server_that_shed_with_room_by_its_own_word_gets_more(
    surroundings: Surroundings,
) -> None:
    server = conftest.create_server("owner", "ledger")
    surroundings.directory.adopt_all((server,))
    give_keys(surroundings, "owner")
    shed = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_SHED,
        outcomes.Step.EXECUTE,
        "status 503",
        signals=attempts.ServerSignals(load=2.0),
    )
    surroundings.estimates.begin(server)
    surroundings.estimates.finish(server, shed, 0.01)
    assert find(surroundings, KEY) == "owner"


def test_a_server_that_refused_a_connection_is_left_out_while_there_are_others(
    surroundings: Surroundings,
) -> None:
    servers = (conftest.create_server("down"), conftest.create_server("up"))
    surroundings.directory.adopt_all(servers)
    refused = attempts.AttemptNotRun(
        outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "refused"
    )
    surroundings.estimates.begin(servers[0])
    surroundings.estimates.finish(servers[0], refused, 0.001)
    assert {find(surroundings, POOL) for _ in range(20)} == {"up"}
    assert find(surroundings, POOL, frozenset({"up"})) == "down"


def test_servers_of_other_failure_domains_get_what_is_too_much_for_the_near_ones(
    surroundings: Surroundings,
) -> None:
    near = tuple(conftest.create_server(f"near-{number}") for number in range(3))
    far = tuple(
        conftest.create_server(f"far-{number}", failure_domain="far") for number in range(9)
    )
    surroundings.directory.adopt_all((*near, *far))
    chosen = [find(surroundings, POOL) for _ in range(200)]
    assert {name.partition("-")[0] for name in chosen} == {"near"}
    for server in near:
        for _ in range(5):
            surroundings.estimates.begin(server)
    assert {find(surroundings, POOL).partition("-")[0] for _ in range(50)} == {"far"}


def test_only_the_owner_of_a_key_is_found(surroundings: Surroundings) -> None:
    assert find(surroundings, KEY) == "no_owner"
    surroundings.directory.adopt_all((conftest.create_server("owner", "ledger"),))
    give_keys(surroundings, "owner")
    assert find(surroundings, KEY) == "owner"
    give_keys(surroundings, "owner", ready=False)
    assert find(surroundings, KEY) == "no_owner"


def test_an_owner_in_another_life_is_no_owner(surroundings: Surroundings) -> None:
    surroundings.directory.adopt_all((conftest.create_server("owner", "ledger", started_ms=2),))
    give_keys(surroundings, "owner")
    assert find(surroundings, KEY) == "no_owner"


def test_a_draining_owner_gets_work_for_a_part_of_the_drain_time_only(
    surroundings: Surroundings,
) -> None:
    surroundings.directory.adopt_all((conftest.create_server("owner", "ledger", draining=True),))
    give_keys(surroundings, "owner")
    assert find(surroundings, KEY) == "owner"
    surroundings.clock.advance(0.6)
    assert find(surroundings, KEY) == "no_owner"
