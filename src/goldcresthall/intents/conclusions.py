"""Creates the record that concludes an intent, by the type of the attempt's outcome."""

from __future__ import annotations

import base64
import dataclasses
import functools
from typing import TYPE_CHECKING

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.intents import keys

if TYPE_CHECKING:
    from collections.abc import Iterable


def create_conclusion(
    outcome: outcomes.Outcome, recorded: intents.IntentRecorded, answer_limit_bytes: int
) -> intents.IntentConcluded:
    """Return the record that concludes an intent with the outcome of its attempt.

    Parameters
    ----------
    answer_limit_bytes
        Maximum size of headers plus body of a response that is stored for repeats.
    """
    template = _create_template(recorded)
    return _apply_outcome(outcome, template, answer_limit_bytes)


def _create_template(recorded: intents.IntentRecorded) -> intents.IntentConcluded:
    return intents.IntentConcluded(
        record_id=identity.create_record_id(),
        base=recorded.base,
        author=recorded.author,
        reason="attempt ended",
        service=recorded.service,
        key=recorded.key,
        digest=recorded.digest,
        attempt=recorded.attempt,
        intent_id=recorded.record_id,
        conclusion=intents.Conclusion.UNKNOWN,
    )


@functools.singledispatch
def _apply_outcome(
    outcome: outcomes.Outcome, template: intents.IntentConcluded, limit_bytes: int
) -> intents.IntentConcluded:
    raise NotImplementedError(type(outcome).__name__)


@_apply_outcome.register
def _(
    outcome: outcomes.Answered, template: intents.IntentConcluded, limit_bytes: int
) -> intents.IntentConcluded:
    answer = outcome.answer
    return dataclasses.replace(
        template,
        conclusion=intents.Conclusion.ANSWERED,
        server=outcome.server,
        status=answer.status,
        answer_digest=keys.digest_body(answer.body),
        answer=_record_answer(answer) if _measure_bytes(answer) <= limit_bytes else None,
    )


@_apply_outcome.register
def _(
    outcome: outcomes.Refused, template: intents.IntentConcluded, limit_bytes: int
) -> intents.IntentConcluded:
    reason = f"{outcome.step.value}: {outcome.reason.value}"
    return dataclasses.replace(template, conclusion=intents.Conclusion.NOT_RUN, reason=reason)


@_apply_outcome.register
def _(
    outcome: outcomes.OutcomeUnknown, template: intents.IntentConcluded, limit_bytes: int
) -> intents.IntentConcluded:
    reason = f"{outcome.step.value}: {outcome.reason.value}"
    return dataclasses.replace(template, reason=reason, server=outcome.peer)


def _record_answer(answer: outcomes.Answer) -> intents.RecordedAnswer:
    body = base64.b64encode(answer.body).decode()
    return intents.RecordedAnswer(answer.status, answer.headers, body)


def _measure_bytes(answer: outcomes.Answer) -> int:
    return len(answer.body) + _measure_headers(answer.headers)


def _measure_headers(headers: Iterable[outcomes.Header]) -> int:
    return sum(len(header.name) + len(header.value) for header in headers)
