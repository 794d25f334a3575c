"""Reports of the instances on servers that lost requests or refused connections."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment


@dataclasses.dataclass(frozen=True, slots=True)
class LostServer:
    """A server that lost a request, or to which a connect failed.

    Attributes
    ----------
    age_s
        Seconds from that observation to the message that carries it.
    has_failed_connect
        Whether a connect failed; otherwise a request got no response.
    failure_domain
        Failure domain of the instance that observed it; empty if unknown.
    """

    server: deployment.ServerIncarnation
    age_s: float
    has_failed_connect: bool = False
    failure_domain: str = ""
