"""Header fields of messages, as the HTTP parser and the rest of the code have them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterable

    import h11


def decode(head: h11.Request | h11.Response) -> tuple[outcomes.Header, ...]:
    """Return the headers of a received head, their names as the sender wrote them."""
    return tuple(
        outcomes.Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    )


def encode(headers: Iterable[outcomes.Header]) -> list[tuple[bytes, bytes]]:
    """Return headers as the parser takes them."""
    return [(header.name.encode("latin-1"), header.value.encode("latin-1")) for header in headers]


def find(headers: Iterable[outcomes.Header], name: str) -> str | None:
    """Return the value of the first header with a lower-case name, or `None`."""
    return next((header.value for header in headers if header.name.lower() == name), None)
