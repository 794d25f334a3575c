"""Runs one seed of the soak test: draws the faults, injects them and checks the invariants."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from typing import TYPE_CHECKING

from tests.soak import deployment
from tests.soak import drawing
from tests.soak import faults
from tests.soak import invariants

if TYPE_CHECKING:
    import pathlib

RECOVERY_TIMEOUT_S = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedResult:
    """Result of one seed.

    Attributes
    ----------
    statuses
        Pairs of a status and the number of requests with it; status 0 for no response.
    """

    seed: int
    faults: tuple[faults.Fault, ...]
    violations: tuple[invariants.Violation, ...]
    statuses: tuple[tuple[int, int], ...]

    @property
    def answered(self) -> int:
        """Number of requests with status 200."""
        return dict(self.statuses).get(200, 0)


def run_seed(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    size: deployment.DeploymentSize | None = None,
    profile: drawing.Profile = drawing.EVERYTHING,
) -> SeedResult:
    """Run one seed; `folder` receives the settings and logs of the instances."""
    generator = random.Random(seed)
    drawn_faults = drawing.draw_faults(generator, duration_s, profile)
    running = deployment.SoakDeployment(folder, size or deployment.DeploymentSize(), generator)
    try:
        running.start()
        _inject_faults(drawn_faults, running)
        running.wait_until(running.has_converged, RECOVERY_TIMEOUT_S, "converged after the faults")
        running.publish()
        running.wait_until(
            running.serves_latest_configuration,
            RECOVERY_TIMEOUT_S,
            "serving the latest configuration",
        )
        running.stop_callers()
        running.checker.check_drains()
    finally:
        running.stop()
    statuses = tuple(sorted(running.checker.count_results().items()))
    return SeedResult(seed, tuple(drawn_faults), running.checker.violations, statuses)


def _inject_faults(drawn_faults: list[faults.Fault], running: deployment.SoakDeployment) -> None:
    """Inject each fault in a task of its own and wait until all have ended."""
    stopped = threading.Event()
    began_at_s = time.monotonic()
    injections = []
    for fault in drawn_faults:
        time.sleep(max(0.0, began_at_s + fault.at_s - time.monotonic()))
        injection = threading.Thread(
            target=faults.inject, args=(fault, running, stopped), daemon=True
        )
        injection.start()
        injections.append(injection)
    for injection in injections:
        injection.join()
