"""Tests of admission: concurrency limits, queues, request classes and fairness."""

from __future__ import annotations

import dataclasses
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
from goldcresthall.routing import admission
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
TEST_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.001
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
    """Return a spec for the pool, or for the first server as the owner of `key`."""
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


def take_permits(
    queue: queues.ServiceQueue, spec: queues.AttemptSpec, count: int
) -> list[queues.Permit]:
    permits = [queue.request_permit(spec) for _ in range(count)]
    return [permit for permit in permits if isinstance(permit, queues.Permit)]


def enqueue(queue: queues.ServiceQueue, spec: queues.AttemptSpec) -> queues.Waiter:
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
    """Poll until a condition set by another thread holds; fail after `TEST_TIMEOUT_S`."""
    ends_at_s = time.monotonic() + TEST_TIMEOUT_S
    while not is_true():
        assert time.monotonic() < ends_at_s
        time.sleep(POLL_INTERVAL_S)


@pytest.mark.parametrize(
    ("slots", "connections", "instances", "fair_limit", "max_limit"),
    [(4, 130, 1, 4, 4), (4, 130, 12, 1, 4), (4, 130, 2, 2, 4), (3, 50, 8, 1, 3), (4, 6, 6, 1, 1)],
)
def test_share_divides_slots_and_connections_among_instances(
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


def test_limit_is_halved_when_server_sheds_and_grows_while_requests_wait() -> None:
    limiter = concurrency_limiters.ConcurrencyLimiter(SHARE)
    limiter.adapt(backends.SHED, SHORT, 0.01, has_waiters=True)
    assert limiter.limit == 2
    for _ in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.01, has_waiters=False)
    assert limiter.limit == 2
    for _ in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.01, has_waiters=True)
    assert limiter.limit == 4


def test_limit_shrinks_to_fair_share_on_high_latency_but_not_on_outliers() -> None:
    limiter = concurrency_limiters.ConcurrencyLimiter(
        concurrency_limiters.Share(fair_limit=2, max_limit=4)
    )
    for number in range(3 * concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.5 if number % 5 == 0 else 0.01, has_waiters=True)
    assert limiter.limit == 4
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.03, has_waiters=True)
    assert limiter.limit == 2
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.05, has_waiters=True)
    assert limiter.limit == 2
    limiter.adapt(backends.SHED, SHORT, 0.01, has_waiters=True)
    assert limiter.limit == 1
    for _ in range(concurrency_limiters.WINDOW_RESPONSES):
        limiter.adapt(backends.ANSWERED, SHORT, 0.5, has_waiters=True)
    assert limiter.limit == 1


def test_long_requests_leave_slots_for_short_requests(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1)
    queue = create_queue(harness, policy)
    long_spec = create_spec(policy, request_class=LONG)
    assert len(take_permits(queue, long_spec, 2)) == 2
    waiter = enqueue(queue, long_spec)
    assert len(take_permits(queue, create_spec(policy), 2)) == 2
    assert waiter.result is None


def test_instance_sends_long_requests_to_its_subset_of_servers(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(9)
    harness.publish(policy)
    harness.instances.list_routers(12)
    harness.handle("GET", "/reports/molde")
    sent = {dispatch.server.name for dispatch in harness.backends.sent}
    for _ in range(50):
        harness.handle("GET", "/reports/molde")
    assert {dispatch.server.name for dispatch in harness.backends.sent} == sent


def test_long_request_falls_back_to_other_servers_if_its_subset_is_ejected(
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


def test_hot_key_does_not_delay_other_keys(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1, keyed=True)
    queue = create_queue(harness, policy)
    permits = take_permits(queue, create_spec(policy, "hot"), 4)
    hot = [enqueue(queue, create_spec(policy, "hot")) for _ in range(20)]
    other = enqueue(queue, create_spec(policy, "other"))
    release(queue, permits[0])
    assert other.result is not None
    assert all(waiter.result is None for waiter in hot)


def test_hot_key_fills_at_most_its_fraction_of_the_queue(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1, keyed=True)
    queue = create_queue(harness, policy)
    results = [queue.request_permit(create_spec(policy, "hot")) for _ in range(policy.queue_limit)]
    refused = [result for result in results if isinstance(result, outcomes.Refused)]
    assert refused[0].reason is outcomes.RefusalReason.QUEUE_FULL
    assert refused[0].retry_after_s is not None
    assert isinstance(queue.request_permit(create_spec(policy, "other")), queues.Waiter)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(1)
    queue = create_queue(harness, policy)
    in_flight = harness.observations.start_attempt("program-1", SHORT)
    harness.clock.advance(0.5)
    harness.observations.finish_attempt(in_flight, policy, backends.ANSWERED)
    take_permits(queue, create_spec(policy), 4)
    refused = queue.request_permit(create_spec(policy, remaining_s=0.05))
    assert isinstance(refused, outcomes.Refused)
    assert refused.reason is outcomes.RefusalReason.DEADLINE_TOO_SHORT
    assert isinstance(queue.request_permit(create_spec(policy)), queues.Waiter)


def test_maximum_wait_leaves_time_for_one_attempt_before_deadline(
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


def test_requests_over_the_limit_wait_in_the_queue_of_the_router(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(1)
    harness.publish(policy)
    request_sent = threading.Semaphore(0)
    may_respond = threading.Semaphore(0)

    def respond(_: attempts.Dispatch) -> attempts.Attempt:
        request_sent.release()
        may_respond.acquire()
        return backends.ANSWERED

    harness.backends.on_send = respond
    results: list[outcomes.Outcome] = []
    callers = [threading.Thread(target=lambda: results.append(harness.handle())) for _ in range(12)]
    for caller in callers:
        caller.start()
    for _ in range(4):
        assert request_sent.acquire(timeout=TEST_TIMEOUT_S)
    wait_until(lambda: harness.admission.count_waiting() == 8)
    assert len(harness.backends.sent) == 4
    for _ in callers:
        may_respond.release()
    for caller in callers:
        caller.join(TEST_TIMEOUT_S)
    assert all(isinstance(outcome, outcomes.Answered) for outcome in results)
    assert harness.admission.count_outstanding() == 0


def test_queued_request_follows_its_key_to_the_new_owner(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(2, keyed=True)
    harness.publish(policy)
    harness.set_owner("program-1")
    queue = harness.admission._find_queue(policy)
    assert len(take_permits(queue, create_spec(policy, "molde"), 4)) == 4
    results: list[outcomes.Outcome] = []
    caller = threading.Thread(target=lambda: results.append(harness.handle()), daemon=True)
    caller.start()
    wait_until(lambda: harness.admission.count_waiting() == 1)
    harness.set_owner("program-2")
    harness.admission.apply_state(harness.replica.state)
    caller.join(TEST_TIMEOUT_S)
    (outcome,) = results
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.server == "program-2"


def test_service_with_backlog_cannot_exhaust_threads_of_others() -> None:
    quotas = thread_quotas.ThreadQuotas(64)
    acquired = [quotas.acquire_thread("hot", 4) for _ in range(64)]
    assert 30 < sum(acquired) < 40
    for name in ("first", "second", "third"):
        assert [quotas.acquire_thread(name, 4) for _ in range(7)] == [True] * 7
    assert not quotas.acquire_thread("hot", 4)
    quotas.release_thread("hot")
    assert quotas.acquire_thread("hot", 4)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Requests, releases and cancels in any order, over three servers."""

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
    def requests_in_flight_stay_within_the_limits(self) -> None:
        for server in self._policy.servers:
            at_server = [item for item in self._permits if item.candidate.server == server]
            long_at_server = [item for item in at_server if item.spec.request_class is LONG]
            assert len(at_server) <= 4
            assert len(long_at_server) <= 2
        assert self._queue.outstanding == len(self._permits)

    @stateful.invariant()
    def no_waiter_has_a_server_with_free_capacity(self) -> None:
        assert self._queue.length == len(self._waiters)
        for waiter in self._waiters:
            assert not any(
                self._queue._find_limiter(name).has_capacity(waiter.spec.request_class)
                for name in waiter.server_names
            )

    def teardown(self) -> None:
        """Check that every waiter gets a permit once earlier requests have finished."""
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


def test_waiter_without_a_usable_server_does_not_hold_up_those_behind_it(
    harness: conftest.RouterHarness,
) -> None:
    policy = conftest.create_policy(2)
    queue = create_queue(harness, policy)
    owned_spec = create_spec(policy, "owned")
    permits = take_permits(queue, owned_spec, 4)
    second = tuple(targets.CandidateServer(server, None) for server in policy.servers[1:])
    take_permits(queue, dataclasses.replace(create_spec(policy, "other"), servers=second), 4)
    ejected = policy.servers[0].name
    for _ in range(5):
        in_flight = harness.observations.start_attempt(ejected, LONG)
        harness.observations.finish_attempt(in_flight, policy, backends.CONNECTION_LOST)
    assert ejected in harness.observations.list_blocked()
    without_server = enqueue(queue, create_spec(policy))
    owned = enqueue(queue, owned_spec)
    release(queue, permits[0])
    assert without_server.result is None
    assert isinstance(owned.result, queues.Permit)


def test_wait_that_timed_out_says_when_to_retry(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(1)
    harness.publish(policy)
    target = targets.PoolTarget.from_config(policy)
    servers = tuple(targets.CandidateServer(server, None) for server in policy.servers)
    request = admission.AdmissionRequest(
        target=target,
        request_class=SHORT,
        servers=servers,
        tried=frozenset(),
        remaining_s=REMAINING_S,
    )
    results = [harness.admission.admit(request)]
    while isinstance(results[-1], queues.Permit):
        results.append(harness.admission.admit(request))
    refused = results[-1]
    assert isinstance(refused, outcomes.Refused)
    assert refused.reason is outcomes.RefusalReason.DEADLINE_EXPIRED
    assert refused.retry_after_s
