"""Outcomes of a caller's request: answered, refused and not run, or unknown."""

from __future__ import annotations

import dataclasses
import enum

MIN_SERVER_ERROR_STATUS = 500


class Step(enum.Enum):
    """The step of request processing that produced an outcome."""

    DECODE = "decode"
    ROUTE = "route"
    ADMIT = "admit"
    RECORD_INTENT = "record_intent"
    FIND_OWNER = "find_owner"
    CHOOSE_SERVER = "choose_server"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    EXECUTE = "execute"


class RefusalReason(enum.Enum):
    """Why a request was refused; a refused request was never run."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    NO_PRESET = "no_preset"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    KEY_MISSING = "key_missing"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    NO_SERVER_AVAILABLE = "no_server_available"
    LIST_OUTDATED = "list_outdated"
    CONNECT_FAILED = "connect_failed"
    SERVER_SHED = "server_shed"
    SERVER_DRAINING = "server_draining"
    SERVER_PAUSED = "server_paused"
    SERVER_COLD = "server_cold"
    DOMAIN_EVACUATED = "domain_evacuated"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    CIRCUIT_OPEN = "circuit_open"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXPIRED = "deadline_expired"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_MALFORMED = "idempotency_key_malformed"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    INTENT_NOT_RECORDED = "intent_not_recorded"
    STATE_MISSING = "state_missing"
    STATE_HALTED = "state_halted"
    SHUTTING_DOWN = "shutting_down"


class UnknownReason(enum.Enum):
    """Why it is unknown whether a request was run."""

    ANSWER_TIMEOUT = "answer_timeout"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_FORGOTTEN = "connection_forgotten"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_TOO_LARGE = "answer_too_large"
    MEMORY_SHORT = "memory_short"
    ANSWER_MISMATCHED = "answer_mismatched"
    SEND_INTERRUPTED = "send_interrupted"
    CALLER_LEFT = "caller_left"
    SERVER_ERROR = "server_error"
    INTENT_UNKNOWN = "intent_unknown"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    ATTEMPT_IN_PROGRESS = "attempt_in_progress"


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header field of a request or a response."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete response of a backend server."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    @property
    def is_server_error(self) -> bool:
        """Whether the status says that the server failed to run the request."""
        return self.status >= MIN_SERVER_ERROR_STATUS


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request was run; carries its complete response."""

    answer: Answer
    server: str
    tries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run by any backend server.

    Attributes
    ----------
    retry_after_s
        Seconds after which a retry may succeed; `None` if a retry is useless.
    """

    reason: RefusalReason
    step: Step
    peer: str
    detail: str = ""
    retry_after_s: float | None = None
    tries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may or may not have been run."""

    reason: UnknownReason
    step: Step
    peer: str
    detail: str = ""
    tries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """An earlier request with the same idempotency key was run; its response is not stored.

    Attributes
    ----------
    status
        HTTP status of the earlier response.
    digest
        Digest of the earlier response's body.
    """

    status: int
    server: str
    digest: str
    tries: int = 0


Outcome = Answered | Refused | OutcomeUnknown | AlreadyAnswered
