"""Tests of the memory ledger with a manual clock."""

from __future__ import annotations

import threading

import hypothesis
from hypothesis import strategies

from goldcresthall.memory import holders
from goldcresthall.memory import ledger
from goldcresthall.memory import shedding

MB = 1_048_576
TOTAL_BYTES = 16 * MB
SILENT_S = shedding.SILENT_S


class Clock:
    """A clock that is set by the test."""

    now_s = 0.0

    def read_s(self) -> float:
        return self.now_s


def create_ledger(clock: Clock | None = None, wait_s: float = 0.0) -> ledger.MemoryLedger:
    return ledger.MemoryLedger(TOTAL_BYTES, (clock or Clock()).read_s, wait_s)


def fill(memory: ledger.MemoryLedger, size_bytes: int, step_bytes: int = MB // 8) -> list[int]:
    """Fill the memory with complete bodies of a size; return what each was granted."""
    granted = []
    while True:
        account = memory.open(holders.RequestHolder())
        steps = 0
        while steps * step_bytes < size_bytes and account.take(step_bytes):
            steps += 1
        account.complete()
        granted.append(steps * step_bytes)
        if steps * step_bytes < size_bytes:
            return granted


def test_large_bodies_leave_room_for_ordinary_ones() -> None:
    memory = create_ledger()
    assert fill(memory, 4 * MB)[:3] == [4 * MB, 4 * MB, 4 * MB]
    assert not memory.open(holders.RequestHolder()).make_room(2 * MB)
    assert memory.open(holders.RequestHolder()).take(MB // 2)


def test_small_request_fits_beside_others_that_fill_the_rest() -> None:
    memory = create_ledger()
    fill(memory, MB)
    assert memory.used_bytes <= TOTAL_BYTES * holders.ORDINARY_SHARE + holders.SMALL_BYTES
    assert memory.open(holders.RequestHolder()).take(holders.SMALL_BYTES)


def test_complete_body_is_never_reclaimed() -> None:
    clock = Clock()
    memory = create_ledger(clock)
    complete = memory.open(holders.RequestHolder())
    assert complete.take(12 * MB)
    complete.complete()
    clock.now_s = 10 * SILENT_S
    assert not memory.open(holders.RequestHolder()).take(5 * MB)
    assert not memory.open(holders.ResponseHolder()).take(4 * MB)
    assert not complete.is_reclaimed


def test_silent_body_is_reclaimed_for_one_that_arrives() -> None:
    clock = Clock()
    memory = create_ledger(clock)
    silent = memory.open(holders.RequestHolder())
    assert silent.take(12 * MB)
    clock.now_s = SILENT_S
    arriving = memory.open(holders.RequestHolder())
    assert not arriving.take(4 * MB)
    assert silent.is_reclaimed
    assert not silent.take(1)
    silent.release()
    assert arriving.take(4 * MB)
    assert not arriving.is_reclaimed


def test_silent_request_behind_another_one_is_reclaimed_as_others() -> None:
    """Heads whose bodies never began kept half of the memory until the idle timeout."""
    clock = Clock()
    memory = create_ledger(clock)
    behind = memory.open(holders.PipelinedHolder())
    assert behind.try_take(8 * MB)
    clock.now_s = SILENT_S
    assert not memory.open(holders.RequestHolder()).take(6 * MB)
    assert behind.is_reclaimed


def test_room_is_made_for_a_declared_body_as_for_its_bytes() -> None:
    """A body of declared length was refused where the same one in chunks was accepted."""
    clock = Clock()
    memory = create_ledger(clock)
    silent = memory.open(holders.RequestHolder())
    assert silent.take(11 * MB)
    clock.now_s = SILENT_S
    declared = memory.open(holders.RequestHolder())
    assert not declared.make_room(2 * MB)
    assert silent.is_reclaimed
    silent.release()
    assert declared.make_room(2 * MB)
    assert memory.used_bytes == 0


def test_body_that_trickles_counts_as_silent() -> None:
    """A byte now and then once protected bodies that stop short of their end."""
    clock = Clock()
    memory = create_ledger(clock)
    trickling = memory.open(holders.RequestHolder())
    sound = memory.open(holders.RequestHolder())
    assert trickling.take(MB)
    assert sound.take(MB)
    for _ in range(8):
        clock.now_s += SILENT_S / 4
        assert trickling.take(1)
        assert sound.take(ledger.PROGRESS_BYTES // 2)
    fill(memory, MB)
    assert trickling.is_reclaimed
    assert not sound.is_reclaimed


def test_request_waits_until_reclaimed_memory_is_free() -> None:
    memory = create_ledger(wait_s=10.0)
    large = memory.open(holders.RequestHolder())
    assert large.take(12 * MB)

    def release_when_reclaimed() -> None:
        while not large.is_reclaimed:
            threading.Event().wait(0.001)
        large.release()

    releasing = threading.Thread(target=release_when_reclaimed, daemon=True)
    releasing.start()
    assert memory.open(holders.RequestHolder()).take(3 * MB)
    releasing.join(timeout=10)


def test_response_takes_the_memory_of_an_incomplete_body_of_any_size() -> None:
    """The request was run, so that its response must not be lost to bodies that may never end."""
    memory = create_ledger()
    for _ in range(120):
        assert memory.open(holders.RequestHolder()).take(MB // 8)
    assert not memory.open(holders.RequestHolder()).take(2 * MB)
    assert not any(each.is_reclaimed for each in memory._incomplete.values())
    assert not memory.open(holders.ResponseHolder()).take(2 * MB)
    assert any(each.is_reclaimed for each in memory._incomplete.values())


def test_pipelined_requests_leave_half_of_the_memory() -> None:
    memory = create_ledger()
    while memory.open(holders.PipelinedHolder()).try_take(MB // 32):
        pass
    assert memory.used_bytes == TOTAL_BYTES * holders.PIPELINED_SHARE
    assert memory.open(holders.RequestHolder()).take(MB // 32)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                (holders.RequestHolder(), holders.PipelinedHolder(), holders.ResponseHolder())
            ),
            strategies.lists(strategies.integers(0, 6 * MB), max_size=6),
        ),
        max_size=12,
    )
)
def test_total_is_never_exceeded_and_all_is_released(
    bodies: list[tuple[holders.HolderKind, list[int]]],
) -> None:
    memory = create_ledger()
    accounts = [memory.open(kind) for kind, _ in bodies]
    for account, (_, parts) in zip(accounts, bodies, strict=True):
        for part in parts:
            account.take(part)
        assert memory.used_bytes <= TOTAL_BYTES
    for account in accounts:
        account.release()
    assert memory.used_bytes == 0
