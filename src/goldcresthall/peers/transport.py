"""Thrift transports and protocols shared by both ends."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
from typing import Final

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

if TYPE_CHECKING:
    from thrift.protocol import TProtocol

    from goldcresthall.peers import peer_metrics

FRAME_LIMIT_BYTES: Final = 16 * 1_048_576
FRAME_HEADER_BYTES: Final = 4


class FrameTooLargeError(TTransport.TTransportException):  # type: ignore[misc]
    """A peer announced a frame beyond `FRAME_LIMIT_BYTES`."""


class LimitedFramedTransport(TTransport.TFramedTransport):  # type: ignore[misc]
    """A framed transport that refuses negative and oversized frames and counts bytes."""

    def __init__(self, inner: TTransport.TTransportBase, metrics: peer_metrics.PeerMetrics) -> None:
        super().__init__(inner)
        self._inner = inner
        self._metrics = metrics

    def readFrame(self) -> None:  # noqa: N802
        """Read one frame, checking its announced size first.

        Raises
        ------
        FrameTooLargeError
            If the size is negative or beyond the limit.
        """
        header = self._inner.readAll(FRAME_HEADER_BYTES)
        size = int.from_bytes(header, "big", signed=True)
        if not 0 <= size <= FRAME_LIMIT_BYTES:
            raise FrameTooLargeError(message=f"frame of {size} bytes")
        self._TFramedTransport__rbuf = io.BytesIO(self._inner.readAll(size))
        self._metrics.count_received(FRAME_HEADER_BYTES + size)

    def flush(self) -> None:
        """Send what was written as one frame."""
        self._metrics.count_sent(FRAME_HEADER_BYTES + self._TFramedTransport__wbuf.tell())
        super().flush()


def create_protocol(
    transport: TTransport.TTransportBase, metrics: peer_metrics.PeerMetrics
) -> TProtocol.TProtocolBase:
    """Return the compact protocol over limited frames on a transport."""
    return TCompactProtocol.TCompactProtocol(LimitedFramedTransport(transport, metrics))
