"""The record by which a lessor takes back a move whose fate it does not know."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveCancelled(records.Record):
    """A lessor takes back a move on the move's own base; the first of the two wins.

    Attributes
    ----------
    cancelled_id
        Identifier of the move, for the explanation of decisions.
    """

    server: str
    cancelled_id: str
    lessor: identity.Incarnation
    lessor_epoch: int
