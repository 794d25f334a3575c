"""Tests of the bounds on what a peer sends."""

from __future__ import annotations

import prometheus_client
import pytest
from thrift.transport import TTransport

from goldcresthall.generated.lessor import ttypes
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import transport

# Field 4, a list of structs; its size follows.
LIST_FIELD = b"\x49\xfc"
ELEMENTS = 1_000_000
SIZE = bytes([ELEMENTS & 0x7F | 0x80, ELEMENTS >> 7 & 0x7F | 0x80, ELEMENTS >> 14])


def create_metrics() -> peer_metrics.PeerMetrics:
    return peer_metrics.PeerMetrics(prometheus_client.CollectorRegistry(), "server")


def test_list_of_empty_elements_is_rejected() -> None:
    """A frame of 15 MiB with empty elements once took 880 MB and 9 s of a core."""
    content = LIST_FIELD + SIZE + bytes(ELEMENTS)
    inner = TTransport.TMemoryBuffer(len(content).to_bytes(4, "big") + content)
    with pytest.raises(transport.DECODE_ERRORS):
        ttypes.OwnershipChanges().read(transport.create_protocol(inner, create_metrics()))


class DrippingTransport(TTransport.TTransportBase):  # type: ignore[misc]
    """Announces the largest frame and sends it byte by byte."""

    def __init__(self) -> None:
        self.read_bytes = 0

    def readAll(self, size: int) -> bytes:  # noqa: N802
        """Return the size of the frame, or the content at once if it is asked for."""
        return transport.MAX_FRAME_BYTES.to_bytes(size, "big")

    def read(self, size: int) -> bytes:
        """Return one byte."""
        self.read_bytes += 1
        return b"a"


def test_frame_that_comes_byte_by_byte_ends_at_a_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each byte once restarted the timeout, and all bytes before it were copied."""
    monkeypatch.setattr(transport, "MAX_FRAME_S", 0.0)
    inner = DrippingTransport()
    framed = transport.LimitedFramedTransport(inner, create_metrics())
    with pytest.raises(transport.FrameTooLateError):
        framed.readFrame()
    assert inner.read_bytes < transport.READ_BYTES


def test_frame_in_parts_is_read_whole() -> None:
    content = bytes(range(256)) * 1_000
    inner = TTransport.TMemoryBuffer(len(content).to_bytes(4, "big") + content)
    assert transport.LimitedFramedTransport(inner, create_metrics()).read(len(content)) == content


def test_truncated_frame_is_an_error() -> None:
    inner = TTransport.TMemoryBuffer((100).to_bytes(4, "big") + b"short")
    with pytest.raises(EOFError):
        transport.LimitedFramedTransport(inner, create_metrics()).readFrame()
