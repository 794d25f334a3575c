"""Tests of the pace at which a lessor publishes changes."""

from __future__ import annotations

import pytest

from goldcresthall.ranges import publication


@pytest.mark.parametrize(
    ("reporters", "pause_s"), [(0, 0.03), (11, 0.03), (70, 0.056), (194, 0.1552), (919, 0.3)]
)
def test_pause_between_publications_grows_with_the_instances(
    reporters: int, pause_s: float
) -> None:
    """Thirty publications a second each made 194 instances take a reply and report again."""
    assert publication.find_publish_pause_s(reporters) == pytest.approx(pause_s)
