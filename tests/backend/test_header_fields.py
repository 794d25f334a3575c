"""Tests of the header fields of messages."""

from __future__ import annotations

import h11

from goldcresthall.backend import header_fields
from goldcresthall.core import outcomes


def test_names_and_values_are_passed_on_as_received() -> None:
    """Some servers compare names by case, and values may have bytes beyond ASCII."""
    raw = [(b"Host", b"a.example"), (b"X-Name", b"\xe9t\xe9"), (b"x-name", b"2")]
    head = h11.Request(method="GET", target="/", headers=raw)
    headers = header_fields.decode(head)
    assert header_fields.encode(headers) == raw
    assert header_fields.find(headers, "x-name") == "\u00e9t\u00e9"
    assert header_fields.find(headers, "x-other") is None
    assert header_fields.find((outcomes.Header("X-Empty", ""),), "x-empty") == ""
