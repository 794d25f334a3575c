"""Intent records: non-idempotent requests are recorded before they are dispatched."""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall.core import outcomes
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A caller's identifier of one operation and the log offset at which it was issued.

    Attributes
    ----------
    issued_at
        Log offset known when the key was created. An intent with this key can only be
        at or after it.
    text
        The caller's part, which identifies retries.
    """

    issued_at: int
    text: str

    def __str__(self) -> str:
        """Return ``issued_at.text``, the form that callers send."""
        return f"{self.issued_at}.{self.text}"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """A response small enough to be stored for retries; the body is in base64."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: str


class Conclusion(enum.Enum):
    """Result of an attempt; only the instance that holds the intent may record it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentRecorded(records.Record):
    """An instance is about to dispatch a request; the first accepted record wins.

    Attributes
    ----------
    digest
        Digest of the request, which detects reuse of the key for another request.
    attempt
        1, or the number of the last attempt plus 1 if that was not run.
    """

    service: str
    key: IdempotencyKey
    digest: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentConcluded(records.Record):
    """The holder of an intent records the result of its attempt.

    Attributes
    ----------
    intent_id
        Identifier of the concluded `IntentRecorded`. If that is not in the log yet, the
        conclusion `NOT_RUN` prevents it from being accepted later.
    server
        Backend server that responded; empty if none did.
    status
        HTTP status of the response; 0 without one.
    answer_digest
        Digest of the response body; empty without one.
    answer
        The complete response if it is small; `None` otherwise.
    """

    service: str
    key: IdempotencyKey
    digest: str
    attempt: int
    intent_id: str
    conclusion: Conclusion
    server: str = ""
    status: int = 0
    answer_digest: str = ""
    answer: RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentsForgotten(records.Record):
    """Intents below an offset are discarded; keys issued before it have expired."""

    below: int
