"""The intents service: records non-idempotent work before it is dispatched."""

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
ANSWER_MARGIN_S: Final = 0.02
RETRY_AFTER_S: Final = 1.0
OUTAGE_AGE_S: Final = 5.0


class Intents(service.Service):
    """Lets at most one attempt at a piece of non-idempotent work reach a backend server."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        intent_settings: settings.IntentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._settings = intent_settings
        self._concluder = conclusion_writer.ConclusionWriter(service_kernel)
        self._forgetter = pruner.IntentPruner(service_kernel, incarnation, intent_settings)

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
        """Begin to record intents, conclude them and forget old ones."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._concluder.start()
        self._forgetter.start()

    def stop(self) -> None:
        """Stop; intents not concluded stay so."""
        self._forgetter.stop()
        self._concluder.stop()

    def run_once(
        self,
        request: requests.Request,
        deadline_s: float,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome:
        """Run a request if no attempt under its key may have run; else say what became of it.

        Parameters
        ----------
        deadline_s
            Clock reading by which the caller must have an answer.
        attempt
            Dispatches the request; called at most once.
        """
        if not request.idempotency_key:
            return _refuse_key(outcomes.RefusalReason.IDEMPOTENCY_KEY_MISSING)
        key = keys.parse_key(request.idempotency_key)
        if key is None:
            return _refuse_key(outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED)
        digest = keys.digest_request(request)
        work = keys.DeduplicatedRequest(request.service, key, digest, deadline_s)
        return self._settle(work, attempt)

    def _settle(
        self, work: keys.DeduplicatedRequest, attempt: Callable[[], outcomes.Outcome]
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = None
        while outcome is None:
            state = self._replica.state
            standing = intent_status.find_status(work, state)
            outcome = self._proceed(standing, work, attempt, state)
        return outcome

    @functools.singledispatchmethod
    def _proceed(
        self,
        standing: intent_status.IntentStatus,
        work: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        """Return the outcome, or none if the state must be looked at again."""
        raise NotImplementedError(type(standing).__name__)

    @_proceed.register
    def _(
        self,
        standing: intent_status.Resolved,
        work: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        return standing.outcome

    @_proceed.register
    def _(
        self,
        standing: intent_status.InProgress,
        work: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        left_s = self._find_time_left_s(work)
        if left_s <= 0:
            reason = outcomes.UnknownReason.ATTEMPT_IN_PROGRESS
            return intent_status.tell_unknown(reason, standing.holder)
        self._replica.wait_for_newer(state.next_offset, left_s)
        return None

    @_proceed.register
    def _(
        self,
        standing: intent_status.MayRun,
        work: keys.DeduplicatedRequest,
        attempt: Callable[[], outcomes.Outcome],
        state: replicated.State,
    ) -> outcomes.Outcome | None:
        left_s = self._find_time_left_s(work)
        if left_s <= 0:
            return _refuse_record(outcomes.RefusalReason.DEADLINE_EXPIRED, "before recording")
        if not self._is_log_followed():
            return _refuse_record(outcomes.RefusalReason.INTENT_NOT_RECORDED, "log not read")
        record = self._create_record(work, standing.attempt, state.next_offset)
        timeout_s = min(left_s, self._settings.commit_timeout_ms / MS_PER_S)
        committed = self._replica.commit(record, timeout_s)
        return self._follow_up(committed, record, attempt)

    @functools.singledispatchmethod
    def _follow_up(
        self,
        committed: commits.CommitOutcome,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        """Go on after an intent's commit; only an accepted one is dispatched."""
        raise NotImplementedError(type(committed).__name__)

    @_follow_up.register
    def _(
        self,
        committed: commits.CommitAccepted,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        outcome = attempt()
        self._conclude(outcome, record)
        return outcome

    @_follow_up.register
    def _(
        self,
        committed: commits.CommitRejected,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        return None

    @_follow_up.register
    def _(
        self,
        committed: commits.CommitFailed,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        return _refuse_record(outcomes.RefusalReason.INTENT_NOT_RECORDED, committed.detail)

    @_follow_up.register
    def _(
        self,
        committed: commits.CommitUnknown,
        record: intents.IntentRecorded,
        attempt: Callable[[], outcomes.Outcome],
    ) -> outcomes.Outcome | None:
        reason = outcomes.RefusalReason.INTENT_NOT_RECORDED
        refused = _refuse_record(reason, committed.detail)
        self._conclude(refused, record)
        return refused

    def _conclude(self, outcome: outcomes.Outcome, record: intents.IntentRecorded) -> None:
        limit = self._settings.answer_limit_bytes
        self._concluder.conclude(conclusions.create_conclusion(outcome, record, limit))

    def _create_record(
        self, work: keys.DeduplicatedRequest, attempt: int, base: int
    ) -> intents.IntentRecorded:
        return intents.IntentRecorded(
            record_id=identity.create_record_id(),
            base=base,
            author=str(self._incarnation),
            reason="about to dispatch",
            service=work.service,
            key=work.key,
            digest=work.digest,
            attempt=attempt,
        )

    def _find_time_left_s(self, work: keys.DeduplicatedRequest) -> float:
        return work.deadline_s - self._clock.read_s() - ANSWER_MARGIN_S

    def _is_log_followed(self) -> bool:
        age_s = self._clock.read_s() - self._replica.freshness.read_began_at_s
        return age_s < OUTAGE_AGE_S


def _refuse_key(reason: outcomes.RefusalReason) -> outcomes.Refused:
    detail = (
        "non-idempotent work needs an Idempotency-Key: the value of Goldcresthall-Key-Offset"
        " from any earlier answer, a dot, and the caller's own text; the same for every repeat"
    )
    return outcomes.Refused(reason, outcomes.Step.RECORD_INTENT, "", detail)


def _refuse_record(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(
        reason, outcomes.Step.RECORD_INTENT, "log", detail, retry_after_s=RETRY_AFTER_S
    )
