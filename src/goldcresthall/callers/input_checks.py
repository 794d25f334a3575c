"""Checks of what callers send, before anything is decided on it."""

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
    """A caller's request is longer than the limit."""


def parse_count(text: str, field: str) -> int:
    """Return a number of decimal digits.

    Raises
    ------
    MalformedRequestError
        If the text is anything else.
    """
    if not (text.isascii() and text.isdigit()):
        raise MalformedRequestError(f"{field} is not a whole number")
    return int(text)


def read_body(environ: dict[str, Any], limit_bytes: int) -> bytes:
    """Return a request's whole body, chunked or not.

    Raises
    ------
    MalformedRequestError
        If it is cut off, or its length is not clear.
    RequestTooLargeError
        If it is longer than `limit_bytes`.
    """
    if "HTTP_TRANSFER_ENCODING" in environ:
        return _read_chunked(environ, limit_bytes)
    length = parse_count(environ.get("CONTENT_LENGTH") or "0", "Content-Length")
    if length > limit_bytes:
        raise RequestTooLargeError(f"the limit is {limit_bytes} bytes")
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise MalformedRequestError("the body is shorter than its Content-Length")
    return body


def check_path(path: str) -> None:
    """Check that a decoded path names one place only.

    Raises
    ------
    MalformedRequestError
        If it has a dot segment, plain or encoded.
    """
    decoded = urllib.parse.unquote(path)
    if DOT_SEGMENTS.intersection(decoded.split("/")):
        raise MalformedRequestError("the path has a dot segment")


def check_headers(headers: Iterable[outcomes.Header]) -> None:
    """Check that headers can be passed on as they are.

    Raises
    ------
    MalformedRequestError
        If a value has a control character.
    """
    for header in headers:
        if CONTROL_CHARACTERS.search(header.value):
            raise MalformedRequestError(f"{header.name} has a control character")


def _read_chunked(environ: dict[str, Any], limit_bytes: int) -> bytes:
    if environ.get("CONTENT_LENGTH"):
        raise MalformedRequestError("the body has both a length and a transfer encoding")
    try:
        body: bytes = environ["wsgi.input"].read(limit_bytes + 1)
    except (ValueError, OSError) as error:
        raise MalformedRequestError(f"the chunked body is damaged: {error}") from error
    if len(body) > limit_bytes:
        raise RequestTooLargeError(f"the limit is {limit_bytes} bytes")
    return body
