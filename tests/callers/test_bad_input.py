"""Tests of malformed requests: each is refused and counted, and serving continues."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tests.callers import conftest

MALFORMED = "malformed_request"
TOO_LARGE = "request_too_large"
POST = b"POST /ordering/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
GOOD = POST + b"Content-Length: 4\r\n\r\ngood"


@pytest.mark.parametrize(
    ("request_bytes", "reason"),
    [
        (b"nonsense\r\n\r\n", MALFORMED),
        (b"GET /ordering HTTP/9.9\r\n\r\n", MALFORMED),
        (b"GET /a\x00b HTTP/1.1 x\r\n\r\n", MALFORMED),
        (POST + b"Content-Length: four\r\n\r\n", MALFORMED),
        (POST + b"Content-Length: -4\r\n\r\n", MALFORMED),
        (POST + b"Content-Length: 9\r\n\r\nshort", MALFORMED),
        (POST + b"Content-Length: 101\r\n\r\n" + b"x" * 101, TOO_LARGE),
        (POST + b"X: " + b"y" * 70_000 + b"\r\n\r\n", TOO_LARGE),
        (POST + b"No colon here\r\n\r\n", MALFORMED),
        (POST + b"X: a\rb\r\n\r\n", MALFORMED),
        (POST + b"Transfer-Encoding: gzip\r\n\r\n", MALFORMED),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nbad\r\n", MALFORMED),
        (POST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", MALFORMED),
        (
            POST + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n",
            TOO_LARGE,
        ),
        (POST + b"Goldcresthall-Deadline-Ms: soon\r\n\r\n", MALFORMED),
        (b"GET /ordering/../archive HTTP/1.1\r\nHost: a\r\n\r\n", MALFORMED),
        (b"GET /ordering/%2e%2E/archive HTTP/1.1\r\nHost: a\r\n\r\n", MALFORMED),
        (b"GET /ordering/..%2farchive HTTP/1.1\r\nHost: a\r\n\r\n", MALFORMED),
    ],
)
def test_malformed_request_is_refused_and_counted_and_serving_continues(
    harness: conftest.FrontendHarness, request_bytes: bytes, reason: str
) -> None:
    response = harness.exchange(request_bytes)
    assert b"Goldcresthall-Outcome: refused_not_run" in response
    assert b'"step":"decode"' in response
    assert b'"peer":"127.0.0.1"' in response
    assert f"Goldcresthall-Reason: {reason}".encode() in response
    assert harness.count_refused(reason) == 1
    assert harness.router.requests == []
    assert harness.exchange(GOOD).endswith(b"good")


def test_chunked_body_is_read_completely(harness: conftest.FrontendHarness) -> None:
    chunks = b"Transfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n"
    assert harness.exchange(POST + chunks).endswith(b"good")


def test_percent_encoded_characters_are_forwarded_unchanged(
    harness: conftest.FrontendHarness,
) -> None:
    harness.exchange(b"GET /ordering/a%2Fb%3Fc?d=%26 HTTP/1.1\r\nConnection: close\r\n\r\n")
    (request,) = harness.router.requests
    assert request.raw_target == "/a%2Fb%3Fc?d=%26"
    assert request.service == "ordering"
