"""Translation between HTTP messages of callers and the product's own types."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from goldcresthall.backend import exchange
    from goldcresthall.core import requests


@dataclasses.dataclass(frozen=True, slots=True)
class RawResponse:
    """A response in the terms of HTTP."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes


class CallerCodec(abc.ABC):
    """The form in which callers speak to an instance."""

    @abc.abstractmethod
    def decode(
        self, received: exchange.RawRequest, received_at_s: float
    ) -> requests.Request | outcomes.Refused:
        """Return the request of a message, or why it is none."""

    @abc.abstractmethod
    def encode(self, outcome: outcomes.Outcome, request_id: str) -> RawResponse:
        """Return the message that tells a caller an outcome."""
