"""Tests of the order of requests that wait for capacity, and of the limits on them."""

from __future__ import annotations

import threading
import time

from goldcresthall.gateway import waiting
from goldcresthall.kernel import clock as kernel_clock
from tests.fakes import clock

LONG_S = 30.0


def create_queues() -> waiting.CapacityQueues:
    return waiting.CapacityQueues(clock.ManualClock(0.0))


def create_wait(queue: str, max_requests: int) -> waiting.CapacityWait:
    return waiting.CapacityWait(queue, max_requests, 0.1)


def enter(
    queues: waiting.CapacityQueues, priority: int = 0, target_at_s: float = 10.0
) -> waiting.QueueEntry:
    queue_entry = queues.create_entry(priority, target_at_s)
    queue_entry.record_freed_count()
    assert queue_entry.enter(create_wait("one", 9))
    return queue_entry


def list_woken(*placed: waiting.QueueEntry) -> list[bool]:
    return [
        queue_entry._waiter is not None and queue_entry._waiter.has_turn for queue_entry in placed
    ]


def test_full_queue_accepts_no_request_until_one_leaves() -> None:
    queues = create_queues()
    first, second = queues.create_entry(0, 9.0), queues.create_entry(0, 9.0)
    assert first.enter(create_wait("one", 1))
    assert not second.enter(create_wait("one", 1))
    assert second.enter(create_wait("two", 1))
    first.leave()
    assert second.enter(create_wait("one", 1))


def test_request_stays_in_its_queue_when_the_limit_falls() -> None:
    queue_entry = create_queues().create_entry(0, 9.0)
    assert queue_entry.enter(create_wait("one", 1))
    assert queue_entry.enter(create_wait("one", 0))


def test_place_is_given_up_at_the_end_of_its_context() -> None:
    queues = create_queues()
    with queues.create_entry(0, 9.0) as queue_entry:
        assert queue_entry.enter(create_wait("one", 1))
    assert queues.create_entry(0, 9.0).enter(create_wait("one", 1))


def test_free_place_wakes_only_the_most_urgent_request_and_the_earliest_of_these() -> None:
    """All waiters were once woken, and the fastest thread took the place."""
    queues = create_queues()
    late, urgent, later = enter(queues, 2), enter(queues, 0), enter(queues, 0)
    queues.notify_freed("one")
    assert list_woken(late, urgent, later) == [False, True, False]
    queues.notify_freed("one")
    assert list_woken(late, urgent, later) == [False, True, True]
    queues.notify_freed("two")
    assert list_woken(late) == [False]


def test_request_that_can_no_longer_meet_its_target_is_passed_over() -> None:
    queues = create_queues()
    expired, in_time = enter(queues, 0, target_at_s=0.05), enter(queues, 1)
    queues.notify_freed("one")
    assert list_woken(expired, in_time) == [False, True]


def test_less_urgent_request_is_passed_over_only_a_few_times() -> None:
    """Steady urgent requests would otherwise starve the others."""
    queues = create_queues()
    waiting_long = enter(queues, 2)
    passed = 0
    while not list_woken(waiting_long)[0]:
        enter(queues, 0)
        queues.notify_freed("one")
        passed += 1
    assert passed == waiting.MAX_PASSED_OVER + 1


def test_place_freed_while_a_request_enters_the_queue_is_not_lost() -> None:
    queues = create_queues()
    queue_entry = queues.create_entry(0, 9.0)
    queue_entry.record_freed_count()
    queues.notify_freed("one")
    assert queue_entry.enter(create_wait("one", 1))
    assert queue_entry.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.TURN


def test_woken_request_that_leaves_wakes_the_next_one() -> None:
    """A place that a cancelled or expired request was woken for would stay unused."""
    queues = create_queues()
    first, second = enter(queues), enter(queues)
    queues.notify_freed("one")
    first.leave()
    assert list_woken(second) == [True]


def test_new_request_does_not_pass_those_that_wait_unless_it_is_more_urgent() -> None:
    queues = create_queues()
    waiter = enter(queues, 1)
    assert queues.create_entry(0, 9.0).may_proceed("one")
    assert not queues.create_entry(1, 9.0).may_proceed("one")
    assert list_woken(waiter) == [True]
    assert waiter.may_proceed("one")
    assert queues.create_entry(1, 9.0).may_proceed("two")


def test_urgent_request_displaces_the_least_urgent_of_a_full_queue() -> None:
    queues = create_queues()
    kept, displaced = enter(queues, 1), enter(queues, 2)
    urgent = queues.create_entry(0, 9.0)
    assert urgent.enter(create_wait("one", 2))
    assert displaced.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.DISPLACED
    displaced.leave()
    assert not queues.create_entry(2, 9.0).enter(create_wait("one", 2))
    assert queues.create_entry(0, 9.0).enter(create_wait("one", 2))
    assert kept.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.DISPLACED


def test_urgent_requests_leave_a_quarter_of_a_full_queue_to_the_others() -> None:
    queues = create_queues()
    for _ in range(4):
        assert queues.create_entry(2, 9.0).enter(create_wait("one", 4))
    entered = [queues.create_entry(0, 9.0).enter(create_wait("one", 4)) for _ in range(4)]
    assert entered == [True, True, True, False]


def test_no_wake_up_is_lost_among_many_threads() -> None:
    """One place is handed from thread to thread; each waits for the end of the one before it."""
    queues = waiting.CapacityQueues(kernel_clock.MonotonicClock())
    is_free = threading.Semaphore(1)
    served: list[int] = []

    def run(number: int) -> None:
        target_at_s = kernel_clock.MonotonicClock().read_s() + LONG_S
        with queues.create_entry(number % 3, target_at_s) as queue_entry:
            while True:
                queue_entry.record_freed_count()
                if queue_entry.may_proceed("one") and is_free.acquire(blocking=False):
                    break
                assert queue_entry.enter(create_wait("one", 99))
                queue_entry.await_turn(LONG_S, LONG_S)
        time.sleep(0.0005)
        served.append(number)
        is_free.release()
        queues.notify_freed("one")

    threads = [threading.Thread(target=run, args=(number,), daemon=True) for number in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LONG_S / 3)
    assert sorted(served) == list(range(40))


def test_request_that_became_the_first_rechecks() -> None:
    """It slept until its time was over, because it was not the first when it began to wait."""
    queues = create_queues()
    ahead, waiter = enter(queues, 0), enter(queues, 1)
    earliest = enter(queues, 2)
    earliest._waiter.serial = -1  # type: ignore[union-attr]
    queues._queues["one"].passed_over = waiting.MAX_PASSED_OVER
    ends: list[waiting.WaitEnd] = []
    thread = threading.Thread(
        target=lambda: ends.append(waiter.await_turn(0.01, LONG_S)), daemon=True
    )
    thread.start()
    time.sleep(0.1)
    assert not ends
    ahead.leave()
    assert list_woken(earliest, waiter) == [True, False]
    thread.join(2.0)
    assert ends == [waiting.WaitEnd.TURN]


def test_urgent_requests_take_few_places_of_a_request_that_was_woken() -> None:
    """On a slow instance a woken thread found its place taken again and again."""
    queues = create_queues()
    waiter = enter(queues, 1)
    queues.notify_freed("one")
    passed = [queues.create_entry(0, 9.0).may_proceed("one") for _ in range(9)]
    assert passed == [True] * waiting.MAX_PASSED_OVER + [False] * (9 - waiting.MAX_PASSED_OVER)
    assert list_woken(waiter) == [True]
