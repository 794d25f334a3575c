"""Results of requests as callers observed them."""

from __future__ import annotations

import dataclasses
import enum


class Verdict(enum.Enum):
    """Result of a request as its caller observed it.

    UNKNOWN
        The response says that the result is unknown, or states no known outcome.
    UNREACHED
        There was no response because of a connection error or a timeout.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Result of one request.

    Attributes
    ----------
    at_s
        Scheduled send time, in seconds after the start of the run.
    latency_s
        Seconds from the scheduled send time until the complete response or an error.
    sent_late_s
        Seconds from the scheduled send time until the load worker sent the request.
    kind
        Index of the request kind in the workload.
    server
        Backend server named in the response; empty if none.
    tries
        Number of attempts reported in the response; 0 if there was no response.
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
    """Contents of the result file of a load worker."""

    samples: tuple[Sample, ...]
