"""Proposes that the oldest intents be forgotten when there are too many."""

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

SUBJECT: Final = "intents"
CHECK_INTERVAL_S: Final = 1.0
RANK_DELAY_S: Final = 1.0
COMMIT_TIMEOUT_S: Final = 2.0
KEPT_SHARE: Final = 0.75


class IntentPruner:
    """Keeps the number of remembered intents near its limit."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        intent_settings: settings.IntentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._limit = intent_settings.remembered_limit
        self._task = tasks.Task("forgetter", self._run)

    def start(self) -> None:
        """Begin to watch the number of intents."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._task.start()

    def stop(self) -> None:
        """Stop watching."""
        self._task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(CHECK_INTERVAL_S):
            if self._is_over_limit() and not stop_signal.wait(self._find_delay_s()):
                self.propose()

    def propose(self) -> None:
        """Propose to forget the oldest intents if there are still too many."""
        if not self._is_over_limit():
            return
        state = self._replica.state
        record = intents.IntentsForgotten(
            record_id=identity.create_record_id(),
            base=state.next_offset,
            author=str(self._incarnation),
            reason=f"more than {self._limit} intents",
            below=find_horizon(state, int(self._limit * KEPT_SHARE)),
        )
        logging.info("forget intents: %s", self._replica.commit(record, COMMIT_TIMEOUT_S))

    def _is_over_limit(self) -> bool:
        return len(self._replica.state.intents) > self._limit

    def _find_delay_s(self) -> float:
        live = [entry.name for entry in self._list.listing.live]
        ranked = rendezvous.rank_names(SUBJECT, live)
        own_name = self._incarnation.name
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return rank * RANK_DELAY_S


def find_horizon(state: replicated.State, kept: int) -> int:
    """Return the offset below which all but the newest `kept` intents stand."""
    offsets = sorted(held.offset for held in state.intents.values())
    if len(offsets) <= kept:
        return state.intents_horizon
    return offsets[-kept] if kept else state.next_offset
