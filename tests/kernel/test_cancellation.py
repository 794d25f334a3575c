"""Tests of the cancellation of work in progress."""

from __future__ import annotations

import threading

from goldcresthall.kernel import cancellation


def test_block_does_not_end_while_its_interrupt_runs() -> None:
    """A late interrupt shut a connection that served another request already."""
    cancelled = cancellation.Cancellation()
    began, may_end, has_ended = threading.Event(), threading.Event(), threading.Event()
    ended_after_interrupt: list[bool] = []

    def interrupt() -> None:
        began.set()
        may_end.wait(5.0)
        ended_after_interrupt.append(not has_ended.is_set())

    def work() -> None:
        with cancelled.call_on_cancel(interrupt):
            began.wait(5.0)
        has_ended.set()

    worker = threading.Thread(target=work, daemon=True)
    worker.start()
    while not cancelled._interrupts:
        threading.Event().wait(0.001)
    canceller = threading.Thread(target=cancelled.cancel, daemon=True)
    canceller.start()
    assert began.wait(5.0)
    assert not has_ended.wait(0.1)
    may_end.set()
    worker.join(5.0)
    canceller.join(5.0)
    assert ended_after_interrupt == [True]
