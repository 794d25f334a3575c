"""Conversion between callers' HTTP messages and the router's request and outcome types."""

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
    """An HTTP response."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes


class CallerCodec(abc.ABC):
    """The protocol between callers and an instance."""

    @abc.abstractmethod
    def decode(
        self, received: exchange.RawRequest, received_at_s: float
    ) -> requests.Request | outcomes.Refused:
        """Return the request in an HTTP message, or a refusal if it is malformed.

        Parameters
        ----------
        received_at_s
            Clock reading in seconds at which the message was received.
        """

    @abc.abstractmethod
    def encode(self, outcome: outcomes.Outcome, request_id: str) -> RawResponse:
        """Return the response that reports an outcome to the caller."""
