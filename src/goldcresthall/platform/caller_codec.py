"""The platform's protocol between callers and an instance."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.callers import codec
from goldcresthall.core import outcomes
from goldcresthall.core import requests
from goldcresthall.platform import names

if TYPE_CHECKING:
    from goldcresthall.backend import exchange

MS_PER_S = 1_000
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
DEFAULT_RETRY_AFTER_S = 0.3

# These refusals are permanent. All others have status 503, which guarantees that the request
# was not run and will not be.
PERMANENT_REFUSAL_STATUSES: Final = {
    outcomes.RefusalReason.MALFORMED_REQUEST: 400,
    outcomes.RefusalReason.UNKNOWN_ROUTE: 404,
    outcomes.RefusalReason.REQUEST_TOO_LARGE: 413,
}


class PlatformCallerCodec(codec.CallerCodec):
    """Decodes callers' requests and encodes outcomes."""

    def decode(
        self, received: exchange.RawRequest, received_at_s: float
    ) -> requests.Request | outcomes.Refused:
        """Return the request in an HTTP message, or a refusal if it is malformed."""
        values = {header.name.lower(): header.value for header in received.headers}
        request_id = values.get(names.REQUEST_ID, "")
        if not request_id or not received.target.startswith("/"):
            return outcomes.Refused(
                outcomes.RefusalReason.MALFORMED_REQUEST,
                outcomes.Step.DECODE,
                "caller",
                "no request id" if not request_id else "the target is not a path",
            )
        path, _, query = received.target.partition("?")
        return requests.Request(
            request_id=request_id,
            service="",
            host=values.get("host", ""),
            method=received.method,
            path=path,
            query=query,
            raw_target=received.target,
            key=values.get(names.SHARD_KEY, ""),
            headers=received.headers,
            body=received.body,
            received_at_s=received_at_s,
            deadline_s=_find_deadline_s(values.get(names.DEADLINE), received_at_s),
        )

    def encode(self, outcome: outcomes.Outcome, request_id: str) -> codec.RawResponse:
        """Return the response that reports an outcome to the caller."""
        return _encode(outcome, (outcomes.Header(names.REQUEST_ID, request_id),))


def _find_deadline_s(text: str | None, received_at_s: float) -> float | None:
    # The header holds the remaining milliseconds, not a point in time.
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return received_at_s + int(text) / MS_PER_S


@functools.singledispatch
def _encode(outcome: outcomes.Outcome, common: tuple[outcomes.Header, ...]) -> codec.RawResponse:
    raise NotImplementedError(type(outcome).__name__)


@_encode.register
def _(outcome: outcomes.Answered, common: tuple[outcomes.Header, ...]) -> codec.RawResponse:
    answer = outcome.answer
    return codec.RawResponse(answer.status, answer.headers, answer.body)


@_encode.register
def _(outcome: outcomes.Refused, common: tuple[outcomes.Header, ...]) -> codec.RawResponse:
    status = PERMANENT_REFUSAL_STATUSES.get(outcome.reason)
    if status is not None:
        return codec.RawResponse(status, common, b"")
    seconds = DEFAULT_RETRY_AFTER_S if outcome.retry_after_s is None else outcome.retry_after_s
    retry = outcomes.Header("Retry-After", f"{seconds:.2f}")
    return codec.RawResponse(STATUS_UNAVAILABLE, (*common, retry), b"")


@_encode.register
def _(outcome: outcomes.OutcomeUnknown, common: tuple[outcomes.Header, ...]) -> codec.RawResponse:
    is_timeout = outcome.reason is outcomes.UnknownReason.ANSWER_TIMEOUT
    return codec.RawResponse(
        STATUS_GATEWAY_TIMEOUT if is_timeout else STATUS_BAD_GATEWAY, common, b""
    )
