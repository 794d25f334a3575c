"""Why the stream of responses on a connection ended."""

from __future__ import annotations

import enum


class StreamEnd(enum.Enum):
    """Cause of the end of a stream, recorded before the reader can see the end.

    Without it an interrupted or reset connection reads like one that the server closed in order,
    and a body that has no length would look complete where it was cut.
    """

    SERVER = "the server closed the connection"
    INTERRUPTED = "the exchange was interrupted"
    # The kernel reports a reset once. The sender took the report, so the reader sees none.
    SEND_FAILED = "the connection failed while the request was sent"

    @property
    def completes_body(self) -> bool:
        """Whether a body that ends with its stream is complete."""
        return self is StreamEnd.SERVER
