"""The work of one request, measured from its response without the time in the server's queue."""

from __future__ import annotations

import dataclasses
import functools

from goldcresthall.core import attempts

BUSY_WEIGHT = 0.25


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

    A response from a server with a free slot has most likely not waited, so its duration is all
    work. At a full server it may have waited although nobody waits behind it: a short request
    does so more often behind long ones. If some wait, as many presumably waited before it, each
    for a share of the slots. Both are right on average at best, so such responses count less.
    They are not left out: the servers that are always full are the slow ones, which would then
    never be known as such. A response from a machine that is slowed down at the moment counts
    less in the same proportion, since the slowdown may have begun or ended in the meantime.
    """
    raise NotImplementedError(type(attempt).__name__)


@measure.register
def _(attempt: attempts.AttemptAnswered, duration_s: float, slots: int) -> Measurement | None:
    if attempt.answer.is_server_error or duration_s <= 0.0:
        return None
    queued = attempt.signals.queued or 0
    load = attempt.signals.load or 0.0
    weight = BUSY_WEIGHT if queued or load >= slots else 1.0
    work_s = duration_s / (1.0 + queued / max(1, slots))
    slowdown = attempt.signals.slowdown or 1.0
    return Measurement(work_s / slowdown, weight / max(1.0, slowdown))


@measure.register
def _(attempt: attempts.AttemptNotRun, duration_s: float, slots: int) -> Measurement | None:
    return None


@measure.register
def _(attempt: attempts.AttemptUnknown, duration_s: float, slots: int) -> Measurement | None:
    return None
