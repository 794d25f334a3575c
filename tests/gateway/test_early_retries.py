"""Tests of the early end of attempts that are probably lost."""

from __future__ import annotations

from goldcresthall.gateway import early_retries
from goldcresthall.kernel import tasks
from tests.fakes import clock


class Watched:
    """One watched attempt, with what was asked and done."""

    def __init__(self, latest_s: float = 10.0) -> None:
        self.clock = clock.ManualClock(0.0)
        self.retries = early_retries.EarlyRetries(self.clock)
        self.is_suspected = False
        self.asked = 0
        self.ended = 0
        self.watch = early_retries.AttemptWatch(latest_s, self.should_end, self.end)
        self.retries.add(1.0, self.watch)

    def should_end(self) -> bool:
        self.asked += 1
        return self.is_suspected

    def end(self) -> None:
        self.ended += 1

    def check_at(self, now_s: float) -> None:
        self.clock.advance(now_s - self.clock.read_s())
        self.retries.check()


def test_attempt_is_ended_once_its_server_is_suspected_and_not_before_its_time() -> None:
    watched = Watched()
    watched.is_suspected = True
    watched.check_at(0.9)
    assert watched.ended == 0
    watched.is_suspected = False
    watched.check_at(1.0)
    assert watched.ended == 0
    watched.is_suspected = True
    watched.check_at(1.2)
    watched.check_at(3.0)
    assert watched.ended == 1
    assert watched.watch.is_given_up


def test_attempt_that_is_over_is_not_ended() -> None:
    watched = Watched()
    watched.is_suspected = True
    watched.watch.finish()
    watched.check_at(2.0)
    assert watched.asked == watched.ended == 0


def test_attempt_is_left_alone_once_a_retry_could_not_meet_the_target() -> None:
    watched = Watched(latest_s=1.5)
    watched.check_at(1.2)
    watched.is_suspected = True
    watched.check_at(1.6)
    watched.check_at(2.0)
    assert watched.asked == 1
    assert watched.ended == 0


def test_attempt_that_is_answered_while_it_is_given_up_is_not_checked_again() -> None:
    watched = Watched()
    watched.is_suspected = True
    watched.check_at(1.0)
    watched.watch.finish()
    watched.check_at(2.0)
    assert (watched.asked, watched.ended) == (1, 1)


def test_task_ends_soon_after_it_is_asked_to_stop() -> None:
    watched = Watched()
    task = tasks.start_loop("early-retries", watched.retries.run)
    task.stop()
    assert not task._thread.is_alive()
