"""Presets service: publishes the presets that operators submit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import identity
from goldcresthall.core import records
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.replication import commits
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

COMMIT_TIMEOUT_S = 5.0


class PresetPublisher(service.Service):
    """Publishes presets by committing them to the log."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> PresetPublisher:
        """Return the preset publisher of an instance."""
        return cls(service_kernel)

    def start(self) -> None:
        """Look up the replica."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)

    def stop(self) -> None:
        """Do nothing; a publication in progress ends by its own timeout."""

    def publish(
        self,
        published: preset.Preset,
        author: str,
        reason: str,
        base: int | None,
        record_id: str = "",
    ) -> commits.CommitOutcome:
        """Append a preset and wait until replay has accepted or rejected it.

        Parameters
        ----------
        base
            Offset of the state on which the publication is based; `None` for the current one.
        record_id
            Identifier chosen by the operator, by which the outcome can be queried if the
            response is lost; empty to create one.
        """
        record = records.PresetPublished(
            record_id=record_id or identity.create_record_id(),
            base=self._replica.state.next_offset if base is None else base,
            author=author,
            reason=reason,
            preset=published,
        )
        return self._replica.commit(record, COMMIT_TIMEOUT_S)

    def find_outcome(self, record_id: str) -> commits.CommitOutcome:
        """Return the outcome of a publication, or unknown if this replica has not seen it."""
        outcome = self._replica.find_outcome(record_id)
        return outcome or commits.CommitUnknown("this instance has not seen the record")
