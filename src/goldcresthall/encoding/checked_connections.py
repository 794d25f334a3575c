"""HTTP connections that return only responses with a valid head, to requests that were sent."""

from __future__ import annotations

import http.client
import re
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import urllib3
from urllib3 import connection

if TYPE_CHECKING:
    from typing import BinaryIO

MAX_HEAD_BYTES: Final = 131_072
MAX_STATUS: Final = 599
BLANK_LINES: Final = frozenset({b"\r\n", b"\n"})
STATUS_LINE_START: Final = b"HTTP/"
# The library takes a line that is no field for the end of the head, and a bare CR for a line end.
FIELD_LINE: Final = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n", re.DOTALL
)


class HeaderReader:
    """Reads a response's header lines and records whether the end of the header was seen.

    The lines of interim responses count as well; the library skips some of them itself.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._last_line = b""
        self._read_bytes = 0

    @property
    def has_ended(self) -> bool:
        """Whether the last line read was the empty line that ends the header."""
        return self._last_line in BLANK_LINES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        http.client.HTTPException
            If the lines exceed `MAX_HEAD_BYTES`, or one is neither a status line nor a field.
        """
        self._last_line = self._file.readline(limit)
        self._read_bytes += len(self._last_line)
        if self._read_bytes > MAX_HEAD_BYTES:
            raise http.client.IncompleteRead(b"")
        if self._last_line.endswith(b"\n") and not _is_valid(self._last_line):
            raise http.client.BadStatusLine("a header line is no field")
        return self._last_line

    def close(self) -> None:
        """Close the response; the library does so on a malformed status line."""
        self._file.close()


class CheckedResponse(http.client.HTTPResponse):
    """A response with a valid and complete head.

    The standard library drops what follows an invalid line of the head, and takes the end of the
    connection for the end of the head.
    """

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            If the head is invalid or truncated.
        """
        self.read_head(HeaderReader(self.fp))

    def read_head(self, reader: HeaderReader) -> None:
        """Read the next head through a reader."""
        file = self.fp
        self.fp = reader  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            self.fp = file
        if not reader.has_ended:
            raise http.client.IncompleteRead(b"")
        if self.status > MAX_STATUS:
            raise http.client.BadStatusLine(str(self.status))


class CheckedConnection(connection.HTTPConnection):
    """A connection on which no response is read after a failed send.

    The sender takes the error of a reset. The reader would then get what came before as if the
    server had ended the response there.
    """

    response_class = CheckedResponse

    def send(self, data: Any) -> None:
        """Send a part of a request.

        Raises
        ------
        urllib3.exceptions.ProtocolError
            If the connection fails; the library ignores other errors here.
        """
        try:
            super().send(data)
        except (BrokenPipeError, ConnectionResetError) as error:
            raise urllib3.exceptions.ProtocolError("reset while sending", error) from error


class CheckedPool(urllib3.HTTPConnectionPool):
    """A pool of checked connections to one address."""

    ConnectionCls = CheckedConnection


def _is_valid(line: bytes) -> bool:
    return (
        line in BLANK_LINES
        or line.startswith(STATUS_LINE_START)
        or FIELD_LINE.fullmatch(line) is not None
    )
