"""Plays one seed: draws the faults, lets them act, and checks all promises."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from typing import TYPE_CHECKING

from tests.soak import deployment
from tests.soak import faults
from tests.soak import invariants

if TYPE_CHECKING:
    import pathlib

RECOVER_S = 25.0
FAULTS_PER_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one seed showed."""

    seed: int
    faults: tuple[faults.Fault, ...]
    violations: tuple[invariants.Violation, ...]
    statuses: tuple[tuple[int, int], ...]

    @property
    def answered(self) -> int:
        """Number of requests with a good answer."""
        return dict(self.statuses).get(200, 0)


def play(
    seed: int, length_s: float, folder: pathlib.Path, size: deployment.Size | None = None
) -> Outcome:
    """Play one seed; the folder holds the instances' settings and logs afterwards."""
    generator = random.Random(seed)
    drawn = faults.draw_faults(generator, length_s, FAULTS_PER_S)
    played = deployment.SoakWorld(folder, size or deployment.Size(), generator)
    try:
        played.start()
        _inject_all(drawn, played)
        played.await_true(played.is_whole, RECOVER_S, "whole after the faults")
        played.publish()
        played.await_true(played.serves_latest, RECOVER_S, "serving the latest configuration")
        played.stop_callers()
    finally:
        played.stop()
    counted = tuple(sorted(played.seen.count_results().items()))
    return Outcome(seed, tuple(drawn), played.seen.violations, counted)


def _inject_all(drawn: list[faults.Fault], played: deployment.SoakWorld) -> None:
    """Let each fault act in a task of its own and wait for the end of all."""
    ended = threading.Event()
    began_at_s = time.monotonic()
    acting = []
    for fault in drawn:
        time.sleep(max(0.0, began_at_s + fault.at_s - time.monotonic()))
        task = threading.Thread(target=faults.inject, args=(fault, played, ended), daemon=True)
        task.start()
        acting.append(task)
    for task in acting:
        task.join()
