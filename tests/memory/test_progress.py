"""Tests of the deadline of a transfer by its progress."""

from __future__ import annotations

from goldcresthall.memory import progress

LIMITS = progress.ProgressLimits(max_pause_s=15.0)
# 5 Mbit/s shared by 50 uploads.
SHARED_BYTES_PER_S = 12_500


def find_end_s(bytes_per_s: float, step_s: float, duration_s: float) -> float | None:
    """Return when a steady transfer ends by its pace; `None` if it does not."""
    pace = progress.Progress(LIMITS, 0.0)
    for step in range(1, int(duration_s / step_s) + 1):
        if pace.ends_at_s <= step * step_s:
            return pace.ends_at_s
        pace.add(int(bytes_per_s * step_s), step * step_s)
    return None


def test_upload_on_a_shared_link_goes_on_past_thirty_seconds() -> None:
    """A total of 30 s once ended uploads of 360 KB on a link that fifty of them shared."""
    assert find_end_s(SHARED_BYTES_PER_S, 0.5, 300.0) is None
    assert find_end_s(SHARED_BYTES_PER_S / 5, 5.0, 300.0) is None


def test_transfer_that_pauses_ends_after_the_longest_pause() -> None:
    pace = progress.Progress(LIMITS, 0.0)
    pace.add(100_000, 4.0)
    assert pace.ends_at_s == 19.0


def test_slow_transfer_has_the_whole_first_window() -> None:
    assert find_end_s(10.0, 1.0, 29.0) is None
    assert find_end_s(10.0, 1.0, 60.0) == progress.WINDOW_S


def test_transfer_that_becomes_slow_ends_with_its_next_window() -> None:
    pace = progress.Progress(LIMITS, 0.0)
    pace.add(1_000_000, 1.0)
    for second in range(2, 60):
        if pace.ends_at_s <= second:
            break
        pace.add(1, float(second))
    assert pace.ends_at_s == 2 * progress.WINDOW_S
