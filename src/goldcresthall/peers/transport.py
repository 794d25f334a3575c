"""Thrift transport and protocol used by both sides of a peer connection."""

from __future__ import annotations

import io
import time
from typing import TYPE_CHECKING
from typing import Final

from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

if TYPE_CHECKING:
    from goldcresthall.peers import peer_metrics

MAX_FRAME_BYTES: Final = 16 * 1_048_576
FRAME_HEADER_BYTES: Final = 4
READ_BYTES: Final = 65_536
# The timeout of a connection starts anew with each byte.
MAX_FRAME_S: Final = 10.0
# An element may take a single byte in a frame, but many in memory.
MAX_CONTAINER_ELEMENTS: Final = 262_144


# The compiled decoder raises the last two, for a container too large and for malformed text.
DECODE_ERRORS: Final = (TProtocol.TProtocolException, OverflowError, ValueError)


class FrameTooLargeError(TTransport.TTransportException):  # type: ignore[misc]
    """A peer announced a frame larger than `MAX_FRAME_BYTES`."""


class FrameTooLateError(TTransport.TTransportException):  # type: ignore[misc]
    """A peer's frame took longer than `MAX_FRAME_S` from its size to its end."""


class LimitedFramedTransport(TTransport.TFramedTransport):  # type: ignore[misc]
    """A framed transport that rejects negative and oversized frames and counts bytes."""

    def __init__(self, inner: TTransport.TTransportBase, metrics: peer_metrics.PeerMetrics) -> None:
        super().__init__(inner)
        self._inner = inner
        self._metrics = metrics

    def readFrame(self) -> None:  # noqa: N802
        """Read one frame after checking its announced size.

        Raises
        ------
        FrameTooLargeError
            If the size is negative or exceeds the limit.
        """
        header = self._inner.readAll(FRAME_HEADER_BYTES)
        size = int.from_bytes(header, "big", signed=True)
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise FrameTooLargeError(message=f"frame size of {size} bytes is out of range")
        self._TFramedTransport__rbuf = io.BytesIO(self._read_content(size))
        self._metrics.count_received(FRAME_HEADER_BYTES + size)

    def _read_content(self, size: int) -> bytes:
        """Read a frame's content; the library would copy all of it with each part received."""
        ends_at_s = time.monotonic() + MAX_FRAME_S
        content = bytearray()
        while len(content) < size:
            part = self._inner.read(min(READ_BYTES, size - len(content)))
            if not part:
                raise EOFError
            content += part
            if time.monotonic() > ends_at_s:
                raise FrameTooLateError(
                    message=f"{len(content)} of {size} bytes in {MAX_FRAME_S} s"
                )
        return bytes(content)

    def flush(self) -> None:
        """Send the buffered data as one frame."""
        self._metrics.count_sent(FRAME_HEADER_BYTES + self._TFramedTransport__wbuf.tell())
        super().flush()


def create_protocol(
    transport: TTransport.TTransportBase, metrics: peer_metrics.PeerMetrics
) -> TProtocol.TProtocolBase:
    """Return a compact protocol over size-limited frames on a transport.

    The library's compiled encoder is used where it is installed; its bytes are the same.
    """
    framed = LimitedFramedTransport(transport, metrics)
    return TCompactProtocol.TCompactProtocolAccelerated(
        framed, container_length_limit=MAX_CONTAINER_ELEMENTS, fallback=True
    )
