"""What the head of a request will hold once it is parsed, counted from its first byte."""

from __future__ import annotations

import re
from typing import Final

# The thread of a request and what the parser and the gateway keep for it.
REQUEST_BYTES: Final = 32_768
# A field of four bytes becomes several objects; a head of 16 KiB can hold thousands of them.
FIELD_BYTES: Final = 512
END_OF_HEAD: Final = re.compile(rb"\n\r?\n")
# The longest part of the end of a head that is not all of it.
MAX_SPLIT_END_BYTES: Final = 2


class HeadCost:
    """The memory of one head. Its fields count when it is complete, right before it is parsed."""

    def __init__(self) -> None:
        self._line_count = 0
        self._tail = b""
        self._has_ended = False

    def add(self, data: bytes) -> int:
        """Return how many bytes more a head holds with a block that was received.

        What follows the end of the head is not counted.
        """
        if self._has_ended:
            return 0
        joined = self._tail + data
        end = END_OF_HEAD.search(joined)
        part = joined if end is None else joined[: end.end()]
        size = max(0, len(part) - len(self._tail))
        self._line_count += part.count(b"\n") - self._tail.count(b"\n")
        if end is not None:
            self._has_ended = True
            return size + REQUEST_BYTES + FIELD_BYTES * self._line_count
        self._tail = joined[-MAX_SPLIT_END_BYTES:]
        return size
