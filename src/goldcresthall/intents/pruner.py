"""Proposes to remove the oldest intents when their number exceeds the limit."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

RANKING_SUBJECT: Final = "intents"
CHECK_INTERVAL_S: Final = 1.0
PROPOSAL_DELAY_PER_RANK_S: Final = 1.0
COMMIT_TIMEOUT_S: Final = 2.0
RETAINED_FRACTION: Final = 0.75


class IntentPruner:
    """Bounds the number of remembered intents."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        intent_settings: settings.IntentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._limit = intent_settings.remembered_limit
        self._task = tasks.LoopTask("intent-pruner", self._run)

    def start(self) -> None:
        """Start monitoring the number of intents."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._task.start()

    def stop(self) -> None:
        """Stop monitoring."""
        self._task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(CHECK_INTERVAL_S):
            if self._is_over_limit() and not stop_signal.wait(self._get_proposal_delay_s()):
                self.propose()

    def propose(self) -> None:
        """Propose to remove the oldest intents if the limit is still exceeded."""
        if not self._is_over_limit():
            return
        state = self._replica.state
        record = intents.IntentsForgotten(
            record_id=identity.create_record_id(),
            base=state.next_offset,
            author=str(self._incarnation),
            reason=f"more than {self._limit} intents",
            below=find_horizon(state, int(self._limit * RETAINED_FRACTION)),
        )
        logging.info(
            "removal of the oldest intents: %s", self._replica.commit(record, COMMIT_TIMEOUT_S)
        )

    def _is_over_limit(self) -> bool:
        return len(self._replica.state.intents) > self._limit

    def _get_proposal_delay_s(self) -> float:
        live = [entry.name for entry in self._list.listing.live]
        ranked = rendezvous.rank_names(RANKING_SUBJECT, live)
        own_name = self._incarnation.name
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return rank * PROPOSAL_DELAY_PER_RANK_S


def find_horizon(state: replicated.State, retained_count: int) -> int:
    """Return the offset below which all but the newest `retained_count` intents are."""
    offsets = sorted(intent.offset for intent in state.intents.values())
    if len(offsets) <= retained_count:
        return state.intents_horizon
    return offsets[-retained_count] if retained_count else state.next_offset
