"""Services of an instance that tell the lessor of load, or follow what it tells of it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import estimates
from goldcresthall.kernel import names
from goldcresthall.load import work_model

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.kernel import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSources:
    """The services of one instance that observe backend servers or limit what they get."""

    estimates: estimates.Estimates
    model: work_model.WorkModel
    admissions: range_admissions.RangeAdmissions
    cold_starts: cold_starts.ColdStarts
    circuits: server_circuits.ServerCircuits

    @classmethod
    def find(cls, service_kernel: kernel.Kernel) -> LoadSources:
        """Return the services that are registered in a kernel."""
        return cls(
            service_kernel.find(names.ESTIMATES, estimates.Estimates),
            service_kernel.find(names.WORK_MODEL, work_model.WorkModel),
            service_kernel.find(names.RANGE_ADMISSIONS, range_admissions.RangeAdmissions),
            service_kernel.find(names.COLD_STARTS, cold_starts.ColdStarts),
            service_kernel.find(names.SERVER_CIRCUITS, server_circuits.ServerCircuits),
        )

    def retain(self, incarnations: frozenset[deployment.ServerIncarnation]) -> None:
        """Discard what is known of all other servers."""
        self.estimates.retain(incarnations)
        self.model.retain(incarnations)
