"""Tests of the order of requests that wait for capacity, and of the limits on them."""

from __future__ import annotations

import threading
import time

from goldcresthall.gateway import waiting
from goldcresthall.kernel import clock as kernel_clock
from tests.fakes import clock

LONG_S = 30.0


def create_places() -> waiting.WaitingPlaces:
    return waiting.WaitingPlaces(clock.ManualClock(0.0))


def create_wait(queue: str, max_requests: int) -> waiting.CapacityWait:
    return waiting.CapacityWait(queue, max_requests, 0.1)


def enter(
    places: waiting.WaitingPlaces, priority: int = 0, target_at_s: float = 10.0
) -> waiting.WaitingPlace:
    place = places.create_place(priority, target_at_s)
    place.remember_freed()
    assert place.enter(create_wait("one", 9))
    return place


def list_woken(*placed: waiting.WaitingPlace) -> list[bool]:
    return [place._waiter is not None and place._waiter.has_turn for place in placed]


def test_full_queue_accepts_no_request_until_one_leaves() -> None:
    places = create_places()
    first, second = places.create_place(0, 9.0), places.create_place(0, 9.0)
    assert first.enter(create_wait("one", 1))
    assert not second.enter(create_wait("one", 1))
    assert second.enter(create_wait("two", 1))
    first.leave()
    assert second.enter(create_wait("one", 1))


def test_request_stays_in_its_queue_when_the_limit_falls() -> None:
    place = create_places().create_place(0, 9.0)
    assert place.enter(create_wait("one", 1))
    assert place.enter(create_wait("one", 0))


def test_place_is_given_up_at_the_end_of_its_context() -> None:
    places = create_places()
    with places.create_place(0, 9.0) as place:
        assert place.enter(create_wait("one", 1))
    assert places.create_place(0, 9.0).enter(create_wait("one", 1))


def test_free_place_wakes_only_the_most_urgent_request_and_the_earliest_of_these() -> None:
    """All waiters were once woken, and the fastest thread took the place."""
    places = create_places()
    late, urgent, later = enter(places, 2), enter(places, 0), enter(places, 0)
    places.free("one")
    assert list_woken(late, urgent, later) == [False, True, False]
    places.free("one")
    assert list_woken(late, urgent, later) == [False, True, True]
    places.free("two")
    assert list_woken(late) == [False]


def test_request_that_can_no_longer_meet_its_target_is_passed_over() -> None:
    places = create_places()
    expired, in_time = enter(places, 0, target_at_s=0.05), enter(places, 1)
    places.free("one")
    assert list_woken(expired, in_time) == [False, True]


def test_less_urgent_request_is_passed_over_only_a_few_times() -> None:
    """Steady urgent requests would otherwise starve the others."""
    places = create_places()
    waiting_long = enter(places, 2)
    passed = 0
    while not list_woken(waiting_long)[0]:
        enter(places, 0)
        places.free("one")
        passed += 1
    assert passed == waiting.MAX_PASSED_OVER + 1


def test_place_freed_while_a_request_enters_the_queue_is_not_lost() -> None:
    places = create_places()
    place = places.create_place(0, 9.0)
    place.remember_freed()
    places.free("one")
    assert place.enter(create_wait("one", 1))
    assert place.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.TURN


def test_woken_request_that_leaves_wakes_the_next_one() -> None:
    """A place that a cancelled or expired request was woken for would stay unused."""
    places = create_places()
    first, second = enter(places), enter(places)
    places.free("one")
    first.leave()
    assert list_woken(second) == [True]


def test_new_request_does_not_pass_those_that_wait_unless_it_is_more_urgent() -> None:
    places = create_places()
    waiter = enter(places, 1)
    assert places.create_place(0, 9.0).may_go("one")
    assert not places.create_place(1, 9.0).may_go("one")
    assert list_woken(waiter) == [True]
    assert waiter.may_go("one")
    assert places.create_place(1, 9.0).may_go("two")


def test_urgent_request_displaces_the_least_urgent_of_a_full_queue() -> None:
    places = create_places()
    kept, displaced = enter(places, 1), enter(places, 2)
    urgent = places.create_place(0, 9.0)
    assert urgent.enter(create_wait("one", 2))
    assert displaced.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.DISPLACED
    displaced.leave()
    assert not places.create_place(2, 9.0).enter(create_wait("one", 2))
    assert places.create_place(0, 9.0).enter(create_wait("one", 2))
    assert kept.await_turn(LONG_S, LONG_S) is waiting.WaitEnd.DISPLACED


def test_urgent_requests_leave_a_quarter_of_a_full_queue_to_the_others() -> None:
    places = create_places()
    for _ in range(4):
        assert places.create_place(2, 9.0).enter(create_wait("one", 4))
    entered = [places.create_place(0, 9.0).enter(create_wait("one", 4)) for _ in range(4)]
    assert entered == [True, True, True, False]


def test_no_wake_up_is_lost_among_many_threads() -> None:
    """One place is handed from thread to thread; each waits for the end of the one before it."""
    places = waiting.WaitingPlaces(kernel_clock.MonotonicClock())
    is_free = threading.Semaphore(1)
    served: list[int] = []

    def run(number: int) -> None:
        target_at_s = kernel_clock.MonotonicClock().read_s() + LONG_S
        with places.create_place(number % 3, target_at_s) as place:
            while True:
                place.remember_freed()
                if place.may_go("one") and is_free.acquire(blocking=False):
                    break
                assert place.enter(create_wait("one", 99))
                place.await_turn(LONG_S, LONG_S)
        time.sleep(0.0005)
        served.append(number)
        is_free.release()
        places.free("one")

    threads = [threading.Thread(target=run, args=(number,), daemon=True) for number in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LONG_S / 3)
    assert sorted(served) == list(range(40))


def test_request_that_became_the_first_rechecks() -> None:
    """It slept until its time was over, because it was not the first when it began to wait."""
    places = create_places()
    ahead, waiter = enter(places, 0), enter(places, 1)
    earliest = enter(places, 2)
    earliest._waiter.serial = -1  # type: ignore[union-attr]
    places._queues["one"].passed_over = waiting.MAX_PASSED_OVER
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
    places = create_places()
    waiter = enter(places, 1)
    places.free("one")
    passed = [places.create_place(0, 9.0).may_go("one") for _ in range(9)]
    assert passed == [True] * waiting.MAX_PASSED_OVER + [False] * (9 - waiting.MAX_PASSED_OVER)
    assert list_woken(waiter) == [True]
