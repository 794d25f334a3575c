"""The work of one request, measured from its response without the time in the server's queue."""

from __future__ import annotations

import dataclasses
import functools

from goldcresthall.core import attempts

MIN_SERVER_ERROR_STATUS = 500
QUEUED_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Work in seconds of one request at its server, as at the usual speed of its machine.

    Attributes
    ----------
    weight
        How much the measurement counts, from 0 to 1.
    """

    work_s: float
    weight: float


@functools.singledispatch
def measure(attempt: attempts.Attempt, duration_s: float, slots: int) -> Measurement | None:
    """Return the work of a request that took `duration_s` seconds; `None` if it is unknown.

    A response that leaves nobody waiting behind it has most likely not waited itself, so its
    duration is all work. If some wait, as many presumably waited before it, each for a share of
    the slots; the division by that share is right on average only, so the result counts less. It
    is not left out: the servers that always have a queue are the slow ones, which would then
    never be known as such. A response from a machine that is slowed down at the moment counts
    less in the same proportion, since the slowdown may have begun or ended in the meantime.
    """
    raise NotImplementedError(type(attempt).__name__)


@measure.register
def _(attempt: attempts.AttemptAnswered, duration_s: float, slots: int) -> Measurement | None:
    if attempt.answer.status >= MIN_SERVER_ERROR_STATUS or duration_s <= 0.0:
        return None
    queued = attempt.signals.queued or 0
    weight = QUEUED_WEIGHT if queued else 1.0
    work_s = duration_s / (1.0 + queued / max(1, slots))
    slowdown = attempt.signals.slowdown or 1.0
    return Measurement(work_s / slowdown, weight / max(1.0, slowdown))


@measure.register
def _(attempt: attempts.AttemptNotRun, duration_s: float, slots: int) -> Measurement | None:
    return None


@measure.register
def _(attempt: attempts.AttemptUnknown, duration_s: float, slots: int) -> Measurement | None:
    return None
