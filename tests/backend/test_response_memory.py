"""Tests of the bounds on the memory for response bodies."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcresthall.backend import response_memory
from goldcresthall.memory import holders
from goldcresthall.memory import ledger

FREE = response_memory.UNCOUNTED_BODY_BYTES
LIMITS = response_memory.ResponseLimits(max_body_bytes=10 * FREE, total_bytes=12 * FREE)


def test_body_up_to_its_limit_is_received_and_released() -> None:
    memory = response_memory.ResponseMemory(LIMITS)
    with memory.create_reservation() as reservation:
        assert reservation.add(LIMITS.max_body_bytes)
        assert memory.used_bytes == LIMITS.max_body_bytes - FREE
        assert not reservation.add(1)
    assert memory.used_bytes == 0


def test_small_bodies_are_received_while_large_ones_use_up_the_total() -> None:
    """Bodies without end must not make an order's small response fail."""
    memory = response_memory.ResponseMemory(LIMITS)
    with memory.create_reservation() as first, memory.create_reservation() as second:
        assert first.add(LIMITS.max_body_bytes)
        assert not second.add(LIMITS.max_body_bytes)
        with memory.create_reservation() as small:
            assert small.add(FREE)
            assert not small.add(5 * FREE)


@hypothesis.given(
    strategies.lists(strategies.lists(strategies.integers(0, 4 * FREE), max_size=8), max_size=8)
)
def test_total_is_never_exceeded_and_all_is_released(bodies: list[list[int]]) -> None:
    memory = response_memory.ResponseMemory(LIMITS)
    reservations = [memory.create_reservation() for _ in bodies]
    for reservation, parts in zip(reservations, bodies, strict=True):
        for part in parts:
            if not reservation.add(part):
                break
        assert memory.used_bytes <= LIMITS.total_bytes
    for reservation in reservations:
        reservation.__exit__(None, None, None)
    assert memory.used_bytes == 0


def test_small_bodies_are_received_and_counted_while_they_wait() -> None:
    """Many small responses to callers that do not read leave no room for large ones."""
    memory = response_memory.ResponseMemory(LIMITS)
    waiting = [memory.create_reservation() for _ in range(20)]
    for reservation in waiting:
        assert reservation.add(FREE)
        reservation.start_waiting()
    assert memory.used_bytes == 20 * FREE
    with memory.create_reservation() as large:
        assert not large.add(2 * FREE)
        assert large.is_held_up
    for reservation in waiting:
        reservation.release()
    assert memory.used_bytes == 0
    with memory.create_reservation() as large:
        assert large.add(2 * FREE)
        assert not large.is_held_up


def test_bodies_without_end_are_not_blamed_on_callers() -> None:
    """A server whose bodies have no end must still be avoided when the total ends them."""
    memory = response_memory.ResponseMemory(LIMITS)
    with memory.create_reservation() as first, memory.create_reservation() as second:
        assert first.add(LIMITS.max_body_bytes)
        assert not second.add(LIMITS.max_body_bytes)
        assert not second.is_held_up


def test_every_byte_counts_in_the_ledger_until_the_body_is_written() -> None:
    """The first part of each body was once not counted, so that many bodies had no bound."""
    memory_ledger = ledger.MemoryLedger(20 * FREE, wait_s=0.0)
    memory = response_memory.ResponseMemory(LIMITS, memory_ledger)
    with memory.create_reservation() as reservation:
        assert reservation.add(FREE)
        reservation.start_waiting()
        assert memory_ledger.used_bytes == FREE
        assert memory_ledger.open(holders.RequestHolder()).take(FREE)
    assert memory_ledger.used_bytes == FREE


def test_server_is_not_blamed_if_requests_leave_no_memory_for_its_response() -> None:
    memory_ledger = ledger.MemoryLedger(2 * FREE, wait_s=0.0)
    others = memory_ledger.open(holders.RequestHolder())
    assert others.take(2 * FREE)
    others.complete()
    memory = response_memory.ResponseMemory(LIMITS, memory_ledger)
    with memory.create_reservation() as reservation:
        assert not reservation.add(FREE)
        assert reservation.is_held_up
    assert memory_ledger.is_short
