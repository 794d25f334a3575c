"""HTTP connections that return only responses to requests that were sent."""

from __future__ import annotations

from typing import Any

import urllib3
from urllib3 import connection


class CheckedConnection(connection.HTTPConnection):
    """A connection on which no response is read after a failed send.

    The sender takes the error of a reset. The reader would then get what came before as if the
    server had ended the response there.
    """

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
