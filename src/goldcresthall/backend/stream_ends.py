"""Why the stream of responses on a connection ended."""

from __future__ import annotations

import enum


class StreamEnd(enum.Enum):
    """Cause of the end of a stream, recorded before the reader can see the end.

    Without it an interrupted connection reads like one that the server closed in order,
    and a body that has no length would look complete where it was cut.
    """

    SERVER = "the server closed the connection"
    INTERRUPTED = "the exchange was interrupted"

    @property
    def completes_body(self) -> bool:
        """Whether a body that ends with its stream is complete."""
        return self is StreamEnd.SERVER
