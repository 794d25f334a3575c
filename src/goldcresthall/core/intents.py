"""Records of intents: non-idempotent work is recorded before it is dispatched."""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall.core import outcomes
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A caller's name for one piece of work, and since when it may have been in use.

    Attributes
    ----------
    issued_at
        Offset of the log that was known when the key was made. An intent of this
        key can only stand at or after it.
    text
        The caller's own part, by which repeats are recognized.
    """

    issued_at: int
    text: str

    def __str__(self) -> str:
        """Return ``issued_at.text``, the form callers send."""
        return f"{self.issued_at}.{self.text}"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An answer small enough to be kept for repeats; the body is in base64."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: str


class Conclusion(enum.Enum):
    """How an attempt ended; only the instance that holds it may say so."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentRecorded(records.Record):
    """An instance is about to dispatch a piece of work; the first accepted one wins.

    Attributes
    ----------
    digest
        Digest of the request, so that a key used for another one is noticed.
    attempt
        One, or one more than the last attempt if that was not run.
    """

    service: str
    key: IdempotencyKey
    digest: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntentConcluded(records.Record):
    """The holder of an intent says how its attempt ended.

    Attributes
    ----------
    intent_id
        Identifier of the `IntentRecorded` that is concluded. If it does not stand
        in the log yet, a conclusion `NOT_RUN` keeps it from being accepted later.
    server
        Backend server that answered; empty if none did.
    status
        Status of the answer; zero without one.
    answer_digest
        Digest of the answer's body; empty without one.
    answer
        The whole answer if it is small; none otherwise.
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
    """Intents below an offset are forgotten; keys issued before it are expired."""

    below: int
