"""Bounds on the parts of a response and on its bytes that are not its body."""

from __future__ import annotations

import functools
from typing import Final

import h11

# Servers send at most one 100 and one 103 in practice.
MAX_INTERIM_RESPONSES: Final = 8
# A server that sends a part every two milliseconds keeps to this for four seconds.
MIN_PART_LIMIT: Final = 2_048
# Parts of this size are always allowed; servers that send much collect more before they send.
BODY_BYTES_PER_PART: Final = 512
# A head and trailers of the largest size that the parser accepts.
MIN_FRAMING_LIMIT_BYTES: Final = 131_072
BODY_BYTES_PER_FRAMING_BYTE: Final = 8


class FramingTally:
    """Counts what a response consists of, since its parser takes long for many parts."""

    def __init__(self) -> None:
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self._body_bytes = 0
        self._block_count = 0
        self._part_count = 0
        self._interim_count = 0

    @property
    def is_excessive(self) -> bool:
        """Whether the response exceeds a bound."""
        framing_bytes = self._parsed_bytes - self._body_bytes
        framing_limit = MIN_FRAMING_LIMIT_BYTES + self._body_bytes // BODY_BYTES_PER_FRAMING_BYTE
        # A block that the network cut short is no fault of the server.
        part_limit = MIN_PART_LIMIT + self._block_count + self._body_bytes // BODY_BYTES_PER_PART
        return (
            self._interim_count > MAX_INTERIM_RESPONSES
            or self._part_count > part_limit
            or framing_bytes > framing_limit
        )

    def add_received(self, count: int) -> None:
        """Count bytes received after the parser has used up all earlier ones."""
        self._parsed_bytes += self._unparsed_bytes
        self._unparsed_bytes = count
        self._block_count += 1

    @functools.singledispatchmethod
    def add_event(self, event: h11.Event) -> None:
        """Count a part of the response; a head and trailers count by their bytes alone."""

    @add_event.register
    def _(self, event: h11.Data) -> None:
        self._body_bytes += len(event.data)
        self._part_count += 1

    @add_event.register
    def _(self, event: h11.InformationalResponse) -> None:
        self._interim_count += 1
