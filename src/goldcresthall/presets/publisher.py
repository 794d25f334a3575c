"""The presets service: puts an operator's preset in force."""

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
    """Publishes presets through the log."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> PresetPublisher:
        """Return the publisher of an instance."""
        return cls(service_kernel)

    def start(self) -> None:
        """Find the replica."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)

    def stop(self) -> None:
        """Do nothing; a publication under way ends by its own timeout."""

    def publish(
        self,
        published: preset.Preset,
        author: str,
        reason: str,
        base: int | None,
        record_id: str = "",
    ) -> commits.CommitOutcome:
        """Append a preset and wait until replay decided on it.

        Parameters
        ----------
        base
            Offset of the state the operator looked at; none for the present one.
        record_id
            The operator's name for this publication, by which its outcome is
            found if the answer is lost; empty for a fresh one.
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
        """Return what became of a publication, unknown if it was not seen here."""
        found = self._replica.find_outcome(record_id)
        return found or commits.CommitUnknown("no such record was seen here")
