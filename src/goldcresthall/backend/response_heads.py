"""Rules for the head of a response that its parser leaves to the caller."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    import h11

MAX_STATUS: Final = 599
# A folded line, which hides a field from its reader, or a control byte other than a tab.
INVALID_BYTES: Final = re.compile(rb"\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


class HeadBytes:
    """The bytes of a head as they were received, of which the parser changes some.

    Parameters
    ----------
    leftover
        Bytes received with an earlier response.
    """

    def __init__(self, leftover: bytes) -> None:
        self._received = bytearray(leftover)

    def add(self, data: bytes) -> None:
        """Add a block that was received before the head had ended."""
        self._received += data

    def find_fault(self, head: h11.Response, unparsed: bytes) -> str | None:
        """Return why a head is no valid one, or `None`.

        Parameters
        ----------
        unparsed
            The bytes after the head.
        """
        if head.status_code > MAX_STATUS:
            return f"status {head.status_code}"
        end = len(self._received) - len(unparsed)
        if INVALID_BYTES.search(self._received, 0, end):
            return "a folded line or a control byte in the head"
        names = {name for name, _ in head.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            return "both a length and a transfer encoding"
        return None
