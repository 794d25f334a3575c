"""News of servers that lost requests because they were full."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment


@dataclasses.dataclass(frozen=True, slots=True)
class FullServer:
    """A server at which a request was lost because it was full.

    Attributes
    ----------
    age_s
        Seconds from that observation to the message that carries it.
    """

    server: deployment.ServerIncarnation
    age_s: float
