"""Tests of the limits on requests that wait for capacity."""

from __future__ import annotations

from goldcresthall.gateway import waiting


def create_wait(queue: str, max_requests: int) -> waiting.CapacityWait:
    return waiting.CapacityWait(queue, max_requests, 0.1)


def test_full_queue_accepts_no_request_until_one_leaves() -> None:
    places = waiting.WaitingPlaces()
    first, second = places.create_place(), places.create_place()
    assert first.enter(create_wait("one", 1))
    assert not second.enter(create_wait("one", 1))
    assert second.enter(create_wait("two", 1))
    first.leave()
    assert second.enter(create_wait("one", 1))


def test_request_stays_in_its_queue_when_the_limit_falls() -> None:
    place = waiting.WaitingPlaces().create_place()
    assert place.enter(create_wait("one", 1))
    assert place.enter(create_wait("one", 0))


def test_place_is_given_up_at_the_end_of_its_context() -> None:
    places = waiting.WaitingPlaces()
    with places.create_place() as place:
        assert place.enter(create_wait("one", 1))
    assert places.create_place().enter(create_wait("one", 1))
