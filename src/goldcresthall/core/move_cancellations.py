"""The record by which a lessor cancels a move whose outcome is unknown to it."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveCancelled(records.Record):
    """A lessor cancels a move on the same base; the first of the two in the log wins.

    Attributes
    ----------
    cancelled_id
        Identifier of the cancelled move, for operators.
    """

    server: str
    cancelled_id: str
    lessor: identity.Incarnation
    lessor_epoch: int
