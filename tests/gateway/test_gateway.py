"""Tests of the gateway's path from a request to its outcome, with a sender that is scripted."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import pytest

from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.backend import request_sender
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.core import requests
from goldcresthall.gateway import gateway
from goldcresthall.gateway import list_bounds
from goldcresthall.kernel import cancellation
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import server_reports
from goldcresthall.observability import decisions
from goldcresthall.observability import metrics
from goldcresthall.platform import caller_codec
from goldcresthall.platform import request_client
from goldcresthall.ranges import owners
from tests.gateway import conftest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tests.fakes import clock

ALL_KEYS = key_ranges.KeyRange(key_ranges.FIRST_KEY, key_ranges.LAST_KEY)
OK = attempts.AttemptAnswered(outcomes.Answer(200, (), b""))
NOT_CONNECTED = attempts.AttemptNotRun(
    outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "timed out"
)
NOT_SENT = attempts.AttemptNotRun(
    outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.SEND, "reset before the first byte"
)
SHED = attempts.AttemptNotRun(
    outcomes.RefusalReason.SERVER_SHED,
    outcomes.Step.EXECUTE,
    "status 503",
    signals=attempts.ServerSignals(load=0.0),
)
LOST = attempts.AttemptUnknown(
    outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "reset"
)


FORGOTTEN = attempts.AttemptUnknown(
    outcomes.UnknownReason.CONNECTION_FORGOTTEN, outcomes.Step.RECEIVE, "reset"
)


class ScriptedSender(request_sender.RequestSender):
    """Returns attempts from a script, the last one again and again, after a time."""

    def __init__(self, manual: clock.ManualClock) -> None:
        self.clock = manual
        self.script: list[attempts.Attempt] = [OK]
        self.duration_s = 0.01
        self.sent_to: list[str] = []
        self.sent_before: list[bool] = []
        self.on_send: Callable[[], None] = lambda: None
        self.answers_anyway = False

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def has_idle(self, address: identity.Address) -> bool:
        """Keep no connection."""
        return False

    def send(
        self,
        dispatch: attempts.Dispatch,
        cancelled: cancellation.Cancellation,
        may_send: Callable[[], bool],
    ) -> attempts.Attempt:
        """Return the next attempt of the script."""
        self.sent_to.append(dispatch.server.name)
        self.sent_before.append(dispatch.sent_before)
        self.clock.advance(self.duration_s)
        interrupted: list[bool] = []
        with cancelled.call_on_cancel(lambda: interrupted.append(True)):
            self.on_send()
        if interrupted and not self.answers_anyway:
            return LOST
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


class Setup:
    """A gateway with a keyed and a pool service, a manual clock and a scripted sender."""

    def __init__(self, bounds: list_bounds.ListBounds = conftest.ALWAYS_USABLE) -> None:
        fixture = conftest.create_gateway_fixture(bounds)
        self.clock, self.directory = fixture.clock, fixture.directory
        self.circuits = fixture.circuits
        self.owners = fixture.owners
        self.shares = range_admissions.RangeAdmissions()
        self.sender = ScriptedSender(self.clock)
        built = kernel.Kernel()
        built.register(names.CLOCK, self.clock)
        built.register(names.METRICS, metrics.Metrics())
        built.register(names.DIRECTORY, fixture.directory)
        built.register(names.OWNERS, fixture.owners)
        built.register(names.ESTIMATES, fixture.estimates)
        self.instances = fixture.instances
        built.register(names.REPORTS, self.instances)
        built.register(names.REQUEST_SENDER, self.sender)
        built.register(names.REQUEST_LOG, decisions.DecisionLog.from_config(built, "one"))
        built.register(names.RANGE_ADMISSIONS, self.shares)
        built.register(names.WORK_MODEL, fixture.model)
        built.register(names.COLD_STARTS, fixture.cold_starts)
        built.register(names.SERVER_CIRCUITS, fixture.circuits)
        address = identity.Address("127.0.0.1", 7_000)
        listen = deployment_settings.DeploymentListen(
            callers=address, readiness=address, peers=address
        )
        settings = deployment_settings.DeploymentSettings(
            name="one",
            failure_domain="near",
            listen=listen,
            store=address,
            heartbeat_s=0.9,
            max_lease_s=3.0,
            drain_s=2.0,
            grace_s=5.0,
        )
        self.gateway = gateway.Gateway(built, settings, random.Random(1))
        self.gateway.start()
        self.owner = conftest.create_server("owner", "ledger")

    def configure(self, *routes: deployment.HostRoute) -> None:
        configuration = dataclasses.replace(conftest.create_configuration(1), routes=routes)
        self.directory.configurations.apply(configuration)

    def register(self, *servers: deployment.RegisteredServer) -> None:
        self.directory.apply_full_list(servers)

    def assign_keys(self, owner: str) -> None:
        incarnation = deployment.ServerIncarnation(owner, 1)
        owned = key_ranges.RangeOwner("ledger", ALL_KEYS, incarnation, True)
        view = self.owners.view
        self.owners.apply(owners.OwnersView(1, view.revision + 1, (owned,)))

    def handle(self, path: str = "/ledger/1", key: str = "7") -> outcomes.Outcome:
        request = requests.Request(
            request_id="r",
            service="",
            host="a.example",
            method="GET",
            path=path,
            raw_target=path,
            key=key,
            received_at_s=self.clock.read_s(),
        )
        return self.gateway.handle(request, cancellation.Cancellation())


def create_route(
    name: str, *services: deployment.WeightedService, **changes: object
) -> deployment.HostRoute:
    route = conftest.create_route(name, f"/{name}/", *services)
    return dataclasses.replace(route, **changes)  # type: ignore[arg-type]


@pytest.fixture
def setup() -> Iterator[Setup]:
    """Provide a gateway with one owner of all keys and two servers of the pool."""
    created = Setup()
    configure_all(created)
    yield created
    created.gateway.stop()


@pytest.fixture
def outdated() -> Iterator[Setup]:
    """Provide the same with a list of servers that has not been renewed for too long."""
    created = Setup(list_bounds.STRICTEST)
    configure_all(created)
    created.clock.advance(created.directory.bounds.use_s + 0.1)
    yield created
    created.gateway.stop()


def configure_all(created: Setup) -> None:
    """Put the routes in force and register the servers and the owner."""
    created.configure(
        create_route("ledger", deployment.WeightedService("ledger", 1.0)),
        create_route("urgent", deployment.WeightedService("ledger", 1.0), priority=0),
        create_route("agenda", deployment.WeightedService("agenda", 1.0), max_attempts=3),
    )
    register_all(created)
    created.assign_keys("owner")


def register_all(created: Setup) -> None:
    """Register all servers, as a read of the store does."""
    created.register(
        conftest.create_server("owner", "ledger"),
        conftest.create_server("one"),
        conftest.create_server("two"),
    )


def expect_refused(outcome: outcomes.Outcome, reason: outcomes.RefusalReason) -> float:
    """Return the time to retry of a refusal, which the caller sees as a 503."""
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.reason is reason
    assert caller_codec.PlatformCallerCodec().encode(outcome, "r").status == 503
    assert outcome.retry_after_s is not None
    return outcome.retry_after_s


# Guards against requests to servers that may have left, while the list is renewed late (DRAIN).
@pytest.mark.parametrize("path", ["/ledger/1", "/agenda/1"])
def test_request_waits_until_an_outdated_list_is_renewed(
    outdated: Setup, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    def renew(max_wait_s: float) -> None:
        assert not outdated.sender.sent_to
        register_all(outdated)

    monkeypatch.setattr(outdated.directory, "await_usable_list", renew)
    assert isinstance(outdated.handle(path), outcomes.Answered)
    assert len(outdated.sender.sent_to) == 1


@pytest.mark.parametrize("path", ["/ledger/1", "/agenda/1"])
def test_request_is_refused_if_an_outdated_list_is_not_renewed(
    outdated: Setup, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    monkeypatch.setattr(outdated.directory, "await_usable_list", outdated.clock.advance)
    began_at_s = outdated.clock.read_s()
    expect_refused(outdated.handle(path), outcomes.RefusalReason.LIST_OUTDATED)
    assert not outdated.sender.sent_to
    assert outdated.clock.read_s() - began_at_s < conftest.create_route("r", "/").target_latency_s


def test_request_whose_server_left_before_the_send_goes_to_another(setup: Setup) -> None:
    setup.sender.script = [request_client.WITHDRAWN, OK]
    assert isinstance(setup.handle("/agenda/1"), outcomes.Answered)
    assert sorted(setup.sender.sent_to) == ["one", "two"]


def test_requests_beyond_the_share_are_refused_at_once_and_urgent_ones_admitted(
    setup: Setup,
) -> None:
    rows = (range_admissions.RangeAdmission("ledger", key_ranges.KeyRange(7, 7), 0.65),)
    refused = {"/ledger/1": 0, "/urgent/1": 0}
    for _ in range(300):
        setup.shares.replace(rows, setup.clock.read_s())
        for path in refused:
            outcome = setup.handle(path)
            if isinstance(outcome, outcomes.Refused):
                expect_refused(outcome, outcomes.RefusalReason.OVERLOADED)
                refused[path] += 1
    assert refused["/urgent/1"] <= 6
    assert 0.6 < refused["/ledger/1"] / 300 < 0.8
    assert len(setup.sender.sent_to) == 600 - sum(refused.values())


def test_other_keys_and_old_rows_limit_no_request(setup: Setup) -> None:
    row = range_admissions.RangeAdmission("ledger", key_ranges.KeyRange(7, 7), 0.0)
    setup.shares.replace((row,), setup.clock.read_s())
    assert isinstance(setup.handle(key="8"), outcomes.Answered)
    expect_refused(setup.handle(key="7"), outcomes.RefusalReason.OVERLOADED)
    setup.clock.advance(range_admissions.MAX_AGE_S + 0.1)
    assert isinstance(setup.handle(key="7"), outcomes.Answered)


def test_times_to_retry_differ(setup: Setup) -> None:
    row = range_admissions.RangeAdmission("ledger", ALL_KEYS, 0.0)
    setup.shares.replace((row,), setup.clock.read_s())
    times_s = {expect_refused(setup.handle(), outcomes.RefusalReason.OVERLOADED) for _ in range(9)}
    assert len(times_s) == 9


@pytest.mark.parametrize("failure", [NOT_CONNECTED, NOT_SENT])
def test_request_of_which_no_byte_left_is_refused(
    setup: Setup, failure: attempts.AttemptNotRun
) -> None:
    """The caller may repeat an order only if it is told that the order was not run."""
    setup.sender.script = [failure]
    setup.sender.duration_s = 0.3
    expect_refused(
        setup.handle("/agenda/1"),
        outcomes.RefusalReason.NO_SERVER_AVAILABLE,
    )
    assert len(setup.sender.sent_to) == 2


def test_request_whose_deadline_passes_between_failed_connects_is_refused(setup: Setup) -> None:
    setup.sender.script = [NOT_CONNECTED]
    setup.sender.duration_s = 1.0
    expect_refused(setup.handle("/agenda/1"), outcomes.RefusalReason.CONNECT_FAILED)


def test_request_with_one_unknown_attempt_stays_unknown(setup: Setup) -> None:
    setup.sender.script = [LOST, NOT_CONNECTED]
    outcome = setup.handle("/agenda/1")
    assert isinstance(outcome, outcomes.OutcomeUnknown)
    assert len(setup.sender.sent_to) == 2


@pytest.mark.parametrize("instances", [4, 83])
def test_request_is_retried_after_one_failed_connect_and_others_are_served(
    setup: Setup, monkeypatch: pytest.MonkeyPatch, instances: int
) -> None:
    """A connect over 0.3 s once cost a 503, and all others for that owner one for a second."""
    monkeypatch.setattr(
        setup.owners, "wait_for_newer", lambda _, timeout_s: setup.clock.advance(timeout_s)
    )
    setup.instances.count = instances
    setup.sender.script = [NOT_CONNECTED, OK]
    outcome = setup.handle()
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 2
    setup.sender.script = [NOT_CONNECTED, NOT_CONNECTED, OK]
    assert isinstance(setup.handle(), outcomes.Answered)
    assert isinstance(setup.handle(), outcomes.Answered)


def test_request_on_a_forgotten_connection_is_sent_again_at_once(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It waited for another owner, and its server counted as failing and overloaded."""
    monkeypatch.setattr(setup.owners, "wait_for_newer", lambda *_: pytest.fail("waited"))
    setup.sender.script = [FORGOTTEN, OK]
    outcome = setup.handle()
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 2
    assert setup.sender.sent_before == [False, True]
    estimate = setup.gateway._estimates.find(setup.owner)
    assert (estimate.failure_rate, estimate.reported_load) == (0.0, 0.0)
    assert len(setup.gateway._budgets.find("ledger")._retries) == 1


@pytest.mark.parametrize("refused", [NOT_CONNECTED, SHED])
def test_refusal_after_a_forgotten_connection_is_no_refusal_of_the_request(
    setup: Setup, refused: attempts.Attempt
) -> None:
    """The soak found a 503 for a request that ran: its first send was reset, the second refused."""
    setup.sender.script = [FORGOTTEN, refused]
    assert isinstance(setup.handle("/agenda/1"), outcomes.OutcomeUnknown)


def test_request_for_an_owner_that_refused_two_connections_is_refused_at_once(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was held for 0.7 of its time, although the keys of a lost owner are free only later."""
    monkeypatch.setattr(
        setup.owners, "wait_for_newer", lambda _, timeout_s: setup.clock.advance(timeout_s)
    )
    setup.instances.count = 83
    setup.sender.script = [NOT_CONNECTED]
    expect_refused(setup.handle(), outcomes.RefusalReason.CONNECT_FAILED)
    assert len(setup.sender.sent_to) > 1
    setup.circuits.try_probe(setup.owner.incarnation, 83)
    setup.sender.sent_to.clear()
    retry_after_s = expect_refused(setup.handle(), outcomes.RefusalReason.CIRCUIT_OPEN)
    assert retry_after_s >= server_circuits.LOST_OWNER_S - 0.5
    assert not setup.sender.sent_to
    setup.sender.script = [OK]
    setup.assign_keys("owner-2")
    setup.register(conftest.create_server("owner-2", "ledger"))
    assert isinstance(setup.handle(), outcomes.Answered)


def test_request_whose_owner_moves_right_after_a_refused_connection_is_served(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    setup.register(
        conftest.create_server("owner", "ledger"), conftest.create_server("owner-2", "ledger")
    )
    monkeypatch.setattr(setup.owners, "wait_for_newer", lambda *_: setup.assign_keys("owner-2"))
    setup.sender.script = [NOT_CONNECTED, OK]
    assert isinstance(setup.handle(), outcomes.Answered)
    assert setup.sender.sent_to == ["owner", "owner-2"]


@pytest.mark.parametrize(("target_s", "waited_s"), [(0.4, 0.3), (0.709, 0.53175), (2.0, 0.6)])
def test_request_waits_for_a_move_but_not_for_a_lost_owner(
    setup: Setup, monkeypatch: pytest.MonkeyPatch, target_s: float, waited_s: float
) -> None:
    """Some moves take 0.5 s; a refusal after a longer wait is a cost to the caller."""
    setup.directory.configurations._in_force = None
    setup.configure(
        create_route(
            "ledger",
            deployment.WeightedService("ledger", 1.0),
            target_latency_s=target_s,
            timeout_s=3.0,
        )
    )
    setup.register(conftest.create_server("owner-2", "ledger"))
    monkeypatch.setattr(
        setup.owners, "wait_for_newer", lambda _, timeout_s: setup.clock.advance(timeout_s)
    )
    began_at_s = setup.clock.read_s()
    expect_refused(setup.handle(), outcomes.RefusalReason.NO_OWNER)
    assert setup.clock.read_s() - began_at_s == pytest.approx(waited_s)


def test_owner_that_two_instances_report_gets_only_probes(setup: Setup) -> None:
    owner = deployment.ServerIncarnation("owner", 1)
    setup.instances.count = 83
    setup.circuits.apply_reports((server_reports.LostServer(owner, 0.1),) * 2)
    setup.sender.duration_s = 0.0
    setup.sender.script = [LOST]
    handled = [setup.handle() for _ in range(50)]
    refused = [outcome for outcome in handled if isinstance(outcome, outcomes.Refused)]
    assert len(refused) >= 49
    setup.clock.advance(1.0)
    setup.sender.script = [OK]
    assert isinstance(setup.handle(), outcomes.Answered)


def test_reports_change_nothing_where_instances_see_for_themselves(setup: Setup) -> None:
    """With four instances each sends an owner so much that it needs no reports."""
    owner = deployment.ServerIncarnation("owner", 1)
    setup.circuits.apply_reports((server_reports.LostServer(owner, 0.1),) * 2)
    assert all(isinstance(setup.handle(), outcomes.Answered) for _ in range(20))


def test_pool_server_that_two_instances_report_is_avoided(setup: Setup) -> None:
    setup.instances.count = 83
    reported = deployment.ServerIncarnation("one", 1)
    setup.circuits.apply_reports((server_reports.LostServer(reported, 0.1),) * 2)
    for _ in range(20):
        setup.handle("/agenda/1")
    assert set(setup.sender.sent_to) == {"two"}
    setup.register(conftest.create_server("one"))
    assert isinstance(setup.handle("/agenda/1"), outcomes.Answered)


def test_attempt_at_a_suspected_server_is_given_up_for_another_one(setup: Setup) -> None:
    """Reads lost at a silent server were held until the deadline."""
    setup.instances.count = 11
    setup.configure()
    setup.directory.configurations._in_force = None
    setup.configure(
        create_route(
            "agenda",
            deployment.WeightedService("agenda", 1.0),
            target_latency_s=5.0,
            timeout_s=9.0,
        )
    )
    setup.sender.duration_s = 1.0

    def suspect() -> None:
        server = deployment.ServerIncarnation(setup.sender.sent_to[-1], 1)
        if len(setup.sender.sent_to) == 1:
            setup.circuits.apply_reports((server_reports.LostServer(server, 0.1),) * 2)
            setup.gateway._runner._watches.check()

    setup.sender.on_send = suspect
    outcome = setup.handle("/agenda/1")
    assert isinstance(outcome, outcomes.Answered)
    assert sorted(setup.sender.sent_to) == ["one", "two"]
    assert outcome.tries == 2
    assert not setup.circuits.list_observed()
    budget = setup.gateway._budgets.find("agenda")
    assert len(budget._retries) == 1


def test_attempts_are_not_given_up_beyond_the_retry_budget(setup: Setup) -> None:
    """All that were due in one pass were ended for the same last retry."""
    setup.instances.count = 11
    setup.directory.configurations._in_force = None
    weighted = deployment.WeightedService("agenda", 1.0)
    setup.configure(create_route("agenda", weighted, target_latency_s=5.0, timeout_s=9.0))
    setup.sender.duration_s = 1.0
    budget = setup.gateway._budgets.find("agenda")
    while budget.take_retry(setup.clock.read_s(), 11):
        pass
    budget._retries.pop()
    given_up: list[bool] = []

    def check() -> None:
        (watch,) = (entry[2] for entry in setup.gateway._runner._watches._due)
        server = deployment.ServerIncarnation(setup.sender.sent_to[-1], 1)
        setup.circuits.apply_reports((server_reports.LostServer(server, 0.1),) * 2)
        given_up.extend(watch.should_end() for _ in range(3))

    setup.sender.on_send = check
    setup.handle("/agenda/1")
    assert given_up == [True, False, False]


def configure_slow(setup: Setup, name: str, max_attempts: int = 2) -> None:
    """Leave time for a retry after an attempt that takes a second."""
    setup.instances.count = 11
    setup.directory.configurations._in_force = None
    weighted = deployment.WeightedService(name, 1.0)
    route = create_route(name, weighted, target_latency_s=5.0, timeout_s=9.0)
    setup.configure(dataclasses.replace(route, max_attempts=max_attempts))
    setup.sender.duration_s = 1.0


def report_lost(setup: Setup) -> None:
    """Report the server that has the request, once, and check the attempts."""
    setup.sender.on_send = lambda: None
    server = deployment.ServerIncarnation(setup.sender.sent_to[-1], 1)
    setup.circuits.apply_reports((server_reports.LostServer(server, 0.1),) * 2)
    setup.gateway._runner._watches.check()


def test_answer_that_comes_while_its_attempt_is_given_up_is_returned(setup: Setup) -> None:
    configure_slow(setup, "agenda")
    setup.sender.answers_anyway = True
    setup.sender.on_send = lambda: report_lost(setup)
    outcome = setup.handle("/agenda/1")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 1


def test_given_up_request_goes_to_the_next_owner_without_a_wait(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The retry was paid for and then refused, because no time was left to wait for an owner."""
    configure_slow(setup, "ledger")
    setup.register(
        conftest.create_server("owner", "ledger"), conftest.create_server("owner-2", "ledger")
    )
    monkeypatch.setattr(setup.gateway._waits, "wait_for_owner", lambda *_: False)

    def move() -> None:
        setup.assign_keys("owner-2")
        report_lost(setup)

    setup.sender.on_send = move
    assert isinstance(setup.handle(), outcomes.Answered)
    assert setup.sender.sent_to == ["owner", "owner-2"]


@pytest.mark.parametrize(("load", "is_lost"), [(0.0, True), (19.0, False)])
def test_wait_in_a_known_queue_is_no_evidence_of_a_loss(
    setup: Setup, load: float, *, is_lost: bool
) -> None:
    """Requests behind a queue took longer than 4 times their work, and opened circuits."""
    configure_slow(setup, "ledger", max_attempts=1)
    estimates = setup.gateway._estimates
    estimates.start_attempt(setup.owner)
    signals = attempts.ServerSignals(load=load)
    estimates.finish_attempt(setup.owner, dataclasses.replace(OK, signals=signals))
    setup.clock.advance(0.3)
    setup.sender.script = [
        attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_TIMEOUT, outcomes.Step.RECEIVE, "timed out"
        )
    ]
    setup.handle()
    assert bool(setup.circuits.list_observed()) is is_lost


def test_slow_attempt_at_a_server_that_is_not_suspected_is_left_alone(setup: Setup) -> None:
    """The server would go on with work that was given up, and the retry would add to its load."""
    setup.sender.duration_s = 0.25
    setup.sender.on_send = setup.gateway._runner._watches.check
    assert isinstance(setup.handle("/agenda/1"), outcomes.Answered)
    assert len(setup.sender.sent_to) == 1


def configure_split(setup: Setup, **weights: float) -> None:
    setup.directory.configurations._in_force = None
    parts = tuple(deployment.WeightedService(name, weight) for name, weight in weights.items())
    setup.configure(create_route("split", *parts))


def test_part_of_a_split_with_weight_zero_gets_nothing(setup: Setup) -> None:
    configure_split(setup, ledger=0.0, agenda=1.0)
    for _ in range(30):
        assert isinstance(setup.handle("/split/1"), outcomes.Answered)
    assert "owner" not in setup.sender.sent_to


def test_requests_of_a_full_part_of_a_split_are_refused_and_not_moved(setup: Setup) -> None:
    configure_split(setup, ledger=1.0, agenda=1.0)
    setup.shares.replace(
        (range_admissions.RangeAdmission("ledger", ALL_KEYS, 0.0),), setup.clock.read_s()
    )
    setup.sender.duration_s = 0.0
    handled = [setup.handle("/split/1") for _ in range(40)]
    assert sum(isinstance(outcome, outcomes.Refused) for outcome in handled) == 20
    assert len(setup.sender.sent_to) == 20
    assert "owner" not in setup.sender.sent_to


def test_requests_of_a_split_with_all_parts_full_are_refused(setup: Setup) -> None:
    configure_split(setup, ledger=1.0, agenda=1.0)
    rows = tuple(
        range_admissions.RangeAdmission(name, ALL_KEYS, 0.0) for name in ("ledger", "agenda")
    )
    setup.shares.replace(rows, setup.clock.read_s())
    for _ in range(10):
        expect_refused(setup.handle("/split/1"), outcomes.RefusalReason.OVERLOADED)
