"""Validation of callers' requests before they are decoded."""

from __future__ import annotations

import re
import urllib.parse
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from goldcresthall.core import outcomes

DOT_SEGMENTS: Final = frozenset({".", ".."})
CONTROL_CHARACTERS: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class MalformedRequestError(Exception):
    """A caller's request cannot be decoded."""


class RequestTooLargeError(Exception):
    """A caller's request exceeds the size limit."""


def parse_count(text: str, field: str) -> int:
    """Return the non-negative integer that a text holds.

    Raises
    ------
    MalformedRequestError
        If the text is not made of ASCII decimal digits.
    """
    if not (text.isascii() and text.isdigit()):
        raise MalformedRequestError(f"{field} is not a non-negative integer")
    return int(text)


def read_body(environ: dict[str, Any], limit_bytes: int) -> bytes:
    """Return a request's complete body, chunked or not.

    Raises
    ------
    MalformedRequestError
        If the body is truncated or its length is ambiguous.
    RequestTooLargeError
        If the body is longer than `limit_bytes`.
    """
    if "HTTP_TRANSFER_ENCODING" in environ:
        return _read_chunked(environ, limit_bytes)
    length = parse_count(environ.get("CONTENT_LENGTH") or "0", "Content-Length")
    if length > limit_bytes:
        raise RequestTooLargeError(f"the body exceeds {limit_bytes} bytes")
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise MalformedRequestError("the body is shorter than its Content-Length")
    return body


def check_path(path: str) -> None:
    """Check that a path is unambiguous.

    Raises
    ------
    MalformedRequestError
        If the path has a dot segment, plain or percent-encoded.
    """
    decoded = urllib.parse.unquote(path)
    if DOT_SEGMENTS.intersection(decoded.split("/")):
        raise MalformedRequestError("the path contains a dot segment")


def check_headers(headers: Iterable[outcomes.Header]) -> None:
    """Check that headers can be forwarded unchanged.

    Raises
    ------
    MalformedRequestError
        If a value contains a control character other than a tab.
    """
    for header in headers:
        if CONTROL_CHARACTERS.search(header.value):
            raise MalformedRequestError(f"{header.name} contains a control character")


def _read_chunked(environ: dict[str, Any], limit_bytes: int) -> bytes:
    if environ.get("CONTENT_LENGTH"):
        raise MalformedRequestError("the request has both Content-Length and Transfer-Encoding")
    try:
        body: bytes = environ["wsgi.input"].read(limit_bytes + 1)
    except (ValueError, OSError) as error:
        raise MalformedRequestError(f"the chunked body is malformed: {error}") from error
    if len(body) > limit_bytes:
        raise RequestTooLargeError(f"the body exceeds {limit_bytes} bytes")
    return body
