"""What became of each request, as a caller saw it."""

from __future__ import annotations

import dataclasses
import enum


class Verdict(enum.Enum):
    """What a caller was told."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request's result.

    Attributes
    ----------
    at_s
        Seconds after the run's start at which the request was due.
    latency_s
        Seconds from that moment until the caller had its whole answer.
    sent_late_s
        Seconds from that moment until the load worker had a free connection.
    server
        Backend server that answered; empty if none did.
    """

    number: int
    at_s: float
    latency_s: float
    sent_late_s: float
    kind: int
    key: int
    verdict: Verdict
    reason: str
    server: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class SampleFile:
    """The body of a worker's result file."""

    samples: tuple[Sample, ...]
