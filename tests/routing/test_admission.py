"""Tests of admission: shares, queues, classes, fairness, and the state machine over them."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import concurrency_limiters
from goldcresthall.routing import queues
from goldcresthall.routing import targets
from goldcresthall.routing import thread_quotas
from tests.fakes import backends
from tests.routing import conftest

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.routing import observations

REMAINING_S = 1.0
GIVE_UP_S = 10.0
POLL_S = 0.001
SHARE = concurrency_limiters.Share(fair_limit=4, max_limit=4)
SHORT = preset.RequestClass.SHORT
LONG = preset.RequestClass.LONG


def create_queue(
    harness: conftest.RouterHarness,
    policy: preset.ServicePolicy,
    share: concurrency_limiters.Share = SHARE,
) -> queues.ServiceQueue:
    return queues.ServiceQueue(policy, share, harness.observations, random.Random(5))


def create_spec(
    policy: preset.ServicePolicy,
    key: str = "",
    request_class: preset.RequestClass = SHORT,
    remaining_s: float = REMAINING_S,
) -> queues.AttemptSpec:
    """Return pool work, or work for the first server as the owner of a key."""
    target = targets.KeyTarget(policy, key) if key else targets.PoolTarget.from_config(policy)
    servers = tuple(targets.CandidateServer(server, None) for server in policy.servers)
    usable = servers[:1] if key else servers
    return queues.AttemptSpec(
        target=target,
        key=key,
        request_class=request_class,
        servers=usable,
        long_servers=usable,
        tried=frozenset(),
        remaining_s=remaining_s,
    )


def ask_for_permits(
    queue: queues.ServiceQueue, spec: queues.AttemptSpec, count: int
) -> list[queues.Permit]:
    permits = [queue.request_permit(spec) for _ in range(count)]
    return [permit for permit in permits if isinstance(permit, queues.Permit)]


def ask_to_wait(queue: queues.ServiceQueue, spec: queues.AttemptSpec) -> queues.Waiter:
    waiter = queue.request_permit(spec)
    assert isinstance(waiter, queues.Waiter)
    return waiter


def release(
    queue: queues.ServiceQueue,
    permit: queues.Permit,
    attempt: attempts.Attempt = backends.ANSWERED,
    duration_s: float = 0.01,
) -> None:
    queue.release(permit, attempt, duration_s)


def wait_until(is_true: Callable[[], bool]) -> None:
    """Wait for what another thread does; the time limit only ends a failing test."""
    ends_at_s = time.monotonic() + GIVE_UP_S
    while not is_true():
        assert time.monotonic() < ends_at_s
        time.sleep(POLL_S)


@pytest.mark.parametrize(
    ("slots", "connections", "instances", "fair_limit", "max_limit"),
    [(4, 130, 1, 4, 4), (4, 130, 12, 1, 4), (4, 130, 2, 2, 4), (3, 50, 8, 1, 3), (4, 6, 6, 1, 1)],
)
def test_share_splits_slots_and_connections(
    slots: int, connections: int, instances: int, fair_limit: int, max_limit: int
) -> None:
    policy = preset.ServicePolicy(
        name="program",
        keyed=False,
        servers=(),
        slots_per_server=slots,
        connections_per_server=connections,
    )
    assert concurrency_limiters.Share.from_config(policy, instances) == concurrency_limiters.Share(
        fair_limit, max_limit
    )


def test_share_shrinks_when_the_server_sheds_and_grows_when_work_waits() -> None:
    gate = concurrency_limiters.ConcurrencyLimiter(SHARE)
    gate.adapt(backends.SHED, SHORT, 0.01, has_waiters=True)
    assert gate.limit == 2
    for _ in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.01, has_waiters=False)
    assert gate.limit == 2
    for _ in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.01, has_waiters=True)
    assert gate.limit == 4


def test_share_shrinks_to_the_fair_one_when_answers_come_later_but_not_for_a_straggler() -> None:
    gate = concurrency_limiters.ConcurrencyLimiter(
        concurrency_limiters.Share(fair_limit=2, max_limit=4)
    )
    for number in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.5 if number % 5 == 0 else 0.01, has_waiters=True)
    assert gate.limit == 4
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.03, has_waiters=True)
    assert gate.limit == 2
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.05, has_waiters=True)
    assert gate.limit == 2
    gate.adapt(backends.SHED, SHORT, 0.01, has_waiters=True)
    assert gate.limit == 1
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        gate.adapt(backends.ANSWERED, SHORT, 0.5, has_waiters=True)
    assert gate.limit == 1


def test_long_work_leaves_slots_and_short_work_goes_by_it(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1)
    queue = create_queue(harness, policy)
    long_work = create_spec(policy, request_class=LONG)
    assert len(ask_for_permits(queue, long_work, 2)) == 2
    waiting = ask_to_wait(queue, long_work)
    assert len(ask_for_permits(queue, create_spec(policy), 2)) == 2
    assert waiting.result is None


def test_instances_send_long_work_to_different_servers(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(9)
    harness.publish(policy)
    harness.instances.list_routers(12)
    harness.handle("GET", "/reports/molde")
    sent = {dispatch.server.name for dispatch in harness.backends.sent}
    for _ in range(50):
        harness.handle("GET", "/reports/molde")
    assert {dispatch.server.name for dispatch in harness.backends.sent} == sent


def test_long_work_goes_elsewhere_when_its_own_servers_are_ejected(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(9))
    harness.instances.list_routers(12)
    harness.handle("GET", "/reports/molde")
    own = harness.backends.sent[0].server.name
    for _ in range(5):
        in_flight = harness.observations.start_attempt(own, LONG)
        harness.observations.finish_attempt(
            in_flight, conftest.create_policy(9), backends.CONNECTION_LOST
        )
    assert isinstance(harness.handle("GET", "/reports/molde"), outcomes.Answered)


def test_hot_key_holds_up_no_other_key(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1, keyed=True)
    queue = create_queue(harness, policy)
    permits = ask_for_permits(queue, create_spec(policy, "hot"), 4)
    hot = [ask_to_wait(queue, create_spec(policy, "hot")) for _ in range(20)]
    other = ask_to_wait(queue, create_spec(policy, "other"))
    release(queue, permits[0])
    assert other.result is not None
    assert all(waiter.result is None for waiter in hot)


def test_hot_key_fills_only_part_of_the_queue(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1, keyed=True)
    queue = create_queue(harness, policy)
    results = [queue.request_permit(create_spec(policy, "hot")) for _ in range(policy.queue_limit)]
    refused = [result for result in results if isinstance(result, outcomes.Refused)]
    assert refused[0].reason is outcomes.RefusalReason.QUEUE_FULL
    assert refused[0].retry_after_s is not None
    assert isinstance(queue.request_permit(create_spec(policy, "other")), queues.Waiter)


def test_work_that_cannot_make_its_deadline_is_refused_at_once(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(1)
    queue = create_queue(harness, policy)
    in_flight = harness.observations.start_attempt("program-1", SHORT)
    harness.clock.advance(0.5)
    harness.observations.finish_attempt(in_flight, policy, backends.ANSWERED)
    ask_for_permits(queue, create_spec(policy), 4)
    refused = queue.request_permit(create_spec(policy, remaining_s=0.05))
    assert isinstance(refused, outcomes.Refused)
    assert refused.reason is outcomes.RefusalReason.DEADLINE_TOO_SHORT
    assert isinstance(queue.request_permit(create_spec(policy)), queues.Waiter)


def test_wait_ends_while_a_try_still_fits_in_before_the_deadline(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(1)
    queue = create_queue(harness, policy)
    in_flight = harness.observations.start_attempt("program-1", SHORT)
    harness.clock.advance(0.4)
    harness.observations.finish_attempt(in_flight, policy, backends.ANSWERED)
    average_s = harness.observations.find_min_average_s(("program-1",))
    spec = create_spec(policy, remaining_s=1.0)
    assert average_s > 0
    assert queue.find_max_wait_s(spec) == pytest.approx(1.0 - average_s)
    assert queue.find_max_wait_s(create_spec(policy, remaining_s=average_s / 2)) == 0.0


def test_request_waits_at_the_router_for_a_place(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1)
    harness.publish(policy)
    entered = threading.Semaphore(0)
    gate = threading.Semaphore(0)

    def answer(_: attempts.Dispatch) -> attempts.Attempt:
        entered.release()
        gate.acquire()
        return backends.ANSWERED

    harness.backends.on_send = answer
    results: list[outcomes.Outcome] = []
    callers = [threading.Thread(target=lambda: results.append(harness.handle())) for _ in range(12)]
    for caller in callers:
        caller.start()
    for _ in range(4):
        assert entered.acquire(timeout=GIVE_UP_S)
    wait_until(lambda: harness.admission.count_waiting() == 8)
    assert len(harness.backends.sent) == 4
    for _ in callers:
        gate.release()
    for caller in callers:
        caller.join(GIVE_UP_S)
    assert all(isinstance(outcome, outcomes.Answered) for outcome in results)
    assert harness.admission.count_outstanding() == 0


def test_waiting_for_an_owner_ends_when_the_key_moves(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(2, keyed=True)
    harness.publish(policy)
    harness.give_ownership("program-1")
    queue = harness.admission._find_queue(policy)
    assert len(ask_for_permits(queue, create_spec(policy, "molde"), 4)) == 4
    results: list[outcomes.Outcome] = []
    caller = threading.Thread(target=lambda: results.append(harness.handle()), daemon=True)
    caller.start()
    wait_until(lambda: harness.admission.count_waiting() == 1)
    harness.give_ownership("program-2")
    harness.admission.apply_state(harness.replica.state)
    caller.join(GIVE_UP_S)
    (outcome,) = results
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.server == "program-2"


def test_backlog_of_one_service_leaves_threads_to_others() -> None:
    shares = thread_quotas.ThreadQuotas(64)
    entered = [shares.acquire_thread("hot", 4) for _ in range(64)]
    assert 30 < sum(entered) < 40
    for name in ("first", "second", "third"):
        assert [shares.acquire_thread(name, 4) for _ in range(7)] == [True] * 7
    assert not shares.acquire_thread("hot", 4)
    shares.release_thread("hot")
    assert shares.acquire_thread("hot", 4)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Asks, waits, releases and gives up in any order, over three servers."""

    def __init__(self) -> None:
        super().__init__()
        harness = conftest.RouterHarness()
        self._observed: observations.Observations = harness.observations
        self._policy = conftest.create_policy(3)
        self._keyed = conftest.create_policy(3, keyed=True)
        self._queue = create_queue(
            harness, self._policy, concurrency_limiters.Share(fair_limit=2, max_limit=4)
        )
        self._permits: list[queues.Permit] = []
        self._waiters: list[queues.Waiter] = []

    @stateful.rule(
        key=strategies.sampled_from(["", "hot", "other"]),
        request_class=strategies.sampled_from(preset.RequestClass),
    )
    def request_permit(self, key: str, request_class: preset.RequestClass) -> None:
        policy = self._keyed if key else self._policy
        result = self._queue.request_permit(create_spec(policy, key, request_class))
        if isinstance(result, queues.Permit):
            self._permits.append(result)
        elif isinstance(result, queues.Waiter):
            self._waiters.append(result)
        else:
            assert result.step is outcomes.Step.ADMIT

    @stateful.precondition(lambda self: self._permits)
    @stateful.rule(
        index=strategies.integers(min_value=0),
        attempt=strategies.sampled_from(
            [backends.ANSWERED, backends.SHED, backends.CONNECTION_LOST]
        ),
        duration_s=strategies.sampled_from([0.01, 0.02, 0.5]),
    )
    def release(self, index: int, attempt: attempts.Attempt, duration_s: float) -> None:
        permit = self._permits.pop(index % len(self._permits))
        self._queue.release(permit, attempt, duration_s)
        self._collect()

    @stateful.precondition(lambda self: self._waiters)
    @stateful.rule(index=strategies.integers(min_value=0))
    def cancel(self, index: int) -> None:
        waiter = self._waiters.pop(index % len(self._waiters))
        assert self._queue.cancel(waiter) is None

    @stateful.invariant()
    def never_more_than_the_share_is_outstanding(self) -> None:
        for server in self._policy.servers:
            here = [item for item in self._permits if item.candidate.server == server]
            long_here = [item for item in here if item.spec.request_class is LONG]
            assert len(here) <= 4
            assert len(long_here) <= 2
        assert self._queue.outstanding == len(self._permits)

    @stateful.invariant()
    def nobody_waits_for_a_server_with_room(self) -> None:
        assert self._queue.length == len(self._waiters)
        for waiter in self._waiters:
            assert not any(
                self._queue._find_limiter(name).has_capacity(waiter.spec.request_class)
                for name in waiter.server_names
            )

    def teardown(self) -> None:
        """Every waiter gets a place once the work before it ends."""
        while self._permits:
            self._queue.release(self._permits.pop(), backends.ANSWERED, 0.01)
            self._collect()
        assert self._waiters == []
        assert self._queue.length == 0

    def _collect(self) -> None:
        for waiter in list(self._waiters):
            if isinstance(waiter.result, queues.Permit):
                self._waiters.remove(waiter)
                self._permits.append(waiter.result)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = hypothesis.settings(max_examples=60, stateful_step_count=40)
