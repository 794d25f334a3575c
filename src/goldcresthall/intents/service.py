"""Intents service: records non-idempotent requests before they are dispatched."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.intents import conclusion_writer
from goldcresthall.intents import conclusions
from goldcresthall.intents import intent_status
from goldcresthall.intents import keys
from goldcresthall.intents import pruner
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.replication import commits
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.core import requests
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S: Final = 1_000
RESPONSE_MARGIN_S: Final = 0.02
RETRY_AFTER_S: Final = 1.0
LOG_STALE_AFTER_S: Final = 5.0


class Intents(service.Service):
    """Ensures that at most one attempt of a non-idempotent request can take effect."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        intent_settings: settings.IntentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._settings = intent_settings
        self._conclusion_writer = conclusion_writer.ConclusionWriter(service_kernel)
        self._pruner = pruner.IntentPruner(service_kernel, incarnation, intent_settings)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        intent_settings: settings.IntentSettings,
    ) -> Intents:
        """Return the intents service of an instance."""
        return cls(service_kernel, incarnation, intent_settings)

    def start(self) -> None:
        """Start the conclusion writer and the pruner."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._conclusion_writer.start()
        self._pruner.start()

    def stop(self) -> None:
        """Stop the pruner and the conclusion writer; conclusions not appended in time are lost."""
        self._pruner.stop()
        self._conclusion_writer.stop()

    def run_once(
        self,
        request: requests.Request,
        deadline_s: float,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome:
        """Dispatch a request, or return the outcome of an earlier attempt that may have run.

        Parameters
        ----------
        deadline_s
            Clock reading by which the caller must have a response.
        attempt
            Dispatches the request; called at most once.
        """
        if not request.idempotency_key:
            return _create_key_refusal(outcomes.RefusalReason.IDEMPOTENCY_KEY_MISSING)
        key = keys.parse_key(request.idempotency_key)
        if key is None:
            return _create_key_refusal(outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED)
        digest = keys.digest_request(request)
        deduplicated = keys.DeduplicatedRequest(request.service, key, digest, deadline_s)
        return self._resolve(deduplicated, attempt)

    def _resolve(
        self, request: keys.DeduplicatedRequest, attempt: Callable[[], outcomes.Outcome]
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = None
        while outcome is None:
            state = self._replica.state
            status = intent_status.find_status(request, state)
            outcome = self._proceed(status, request, attempt, state)
        return outcome

    @functools.singledispatchmethod
    def _proceed(
        self,
        status: intent_status.IntentStatus,
        request: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        """Return the outcome, or `None` if the state must be read again."""
        raise NotImplementedError(type(status).__name__)

    @_proceed.register
    def _(
        self,
        status: intent_status.Resolved,
        request: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        return status.outcome

    @_proceed.register
    def _(
        self,
        status: intent_status.InProgress,
        request: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        remaining_s = self._get_remaining_s(request)
        if remaining_s <= 0:
            reason = outcomes.UnknownReason.ATTEMPT_IN_PROGRESS
            return intent_status.create_unknown_outcome(reason, status.holder)
        self._replica.wait_for_newer(state.next_offset, remaining_s)
        return None

    @_proceed.register
    def _(
        self,
        status: intent_status.MayRun,
        request: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        remaining_s = self._get_remaining_s(request)
        if remaining_s <= 0:
            return _create_record_refusal(
                outcomes.RefusalReason.DEADLINE_EXPIRED,
                "the deadline expired before the intent was recorded",
            )
        if not self._is_log_current():
            return _create_record_refusal(
                outcomes.RefusalReason.INTENT_NOT_RECORDED, "the log was not read recently enough"
            )
        record = self._create_record(request, status.attempt, state.next_offset)
        timeout_s = min(remaining_s, self._settings.commit_timeout_ms / MS_PER_S)
        committed = self._replica.commit(record, timeout_s)
        return self._handle_commit(committed, record, attempt)

    @functools.singledispatchmethod
    def _handle_commit(
        self,
        committed: commits.CommitOutcome,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        """Handle the commit outcome of an intent; only an accepted intent is dispatched."""
        raise NotImplementedError(type(committed).__name__)

    @_handle_commit.register
    def _(
        self,
        committed: commits.CommitAccepted,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        outcome = attempt()
        self._record_conclusion(outcome, record)
        return outcome

    @_handle_commit.register
    def _(
        self,
        committed: commits.CommitRejected,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        return None

    @_handle_commit.register
    def _(
        self,
        committed: commits.CommitFailed,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        return _create_record_refusal(outcomes.RefusalReason.INTENT_NOT_RECORDED, committed.detail)

    @_handle_commit.register
    def _(
        self,
        committed: commits.CommitUnknown,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        reason = outcomes.RefusalReason.INTENT_NOT_RECORDED
        refusal = _create_record_refusal(reason, committed.detail)
        self._record_conclusion(refusal, record)
        return refusal

    def _record_conclusion(self, outcome: outcomes.Outcome, record: intents.IntentRecorded) -> None:
        limit = self._settings.answer_limit_bytes
        self._conclusion_writer.write(conclusions.create_conclusion(outcome, record, limit))

    def _create_record(
        self, request: keys.DeduplicatedRequest, attempt: int, base: int
    ) -> intents.IntentRecorded:
        return intents.IntentRecorded(
            record_id=identity.create_record_id(),
            base=base,
            author=str(self._incarnation),
            reason="about to dispatch",
            service=request.service,
            key=request.key,
            digest=request.digest,
            attempt=attempt,
        )

    def _get_remaining_s(self, request: keys.DeduplicatedRequest) -> float:
        return request.deadline_s - self._clock.read_s() - RESPONSE_MARGIN_S

    def _is_log_current(self) -> bool:
        age_s = self._clock.read_s() - self._replica.freshness.read_began_at_s
        return age_s < LOG_STALE_AFTER_S


def _create_key_refusal(reason: outcomes.RefusalReason) -> outcomes.Refused:
    detail = (
        "a non-idempotent request needs an Idempotency-Key header: the Goldcresthall-Key-Offset"
        " of any earlier response, a dot, and a text chosen by the caller; repeats must send the"
        " same key"
    )
    return outcomes.Refused(reason, outcomes.Step.RECORD_INTENT, "", detail)


def _create_record_refusal(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(
        reason, outcomes.Step.RECORD_INTENT, "log", detail, retry_after_s=RETRY_AFTER_S
    )
